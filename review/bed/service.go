package bed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// replicationLag is how far replicas are behind their primary.
	replicationLag = 60 * time.Millisecond
	promoteTime    = 300 * time.Millisecond
	// handshakeTime is the time of a new connection, queueLength the number of
	// statements that a server queues.
	handshakeTime = 12 * time.Millisecond
	// staleTime is how long a replaced primary goes on unless it is demoted.
	staleTime   = time.Second
	queueLength = 16
)

type (
	// Service is one service of database servers, and the platform that promotes
	// them.
	Service struct {
		bed      *Bed
		name     string
		controls []string
		platform *http.Server
		group    errgroup.Group
		client   http.Client

		mu      sync.Mutex
		Servers []*Server
		leader  *Server
		// rolledBack are the writes that a promotion lost.
		rolledBack map[string]bool
	}

	// Server is a database server. Service.mu guards its fields.
	Server struct {
		service   *Service
		id        string
		address   string
		zone      string
		listener  net.Listener
		born      int64
		sequence  int
		term      int
		isPrimary bool
		log       []commit
		conns     int
		slots     chan struct{}
		queued    int
		beatAt    string
		// replacedAt is when another server was promoted; zero: none was.
		replacedAt time.Time
	}

	commit struct {
		term, number int
		at           time.Time
		writes       []write
	}

	write struct{ id, item, data string }

	// connection is one connection to a server.
	connection struct {
		server   *Server
		number   int
		conn     net.Conn
		reader   *bufio.Reader
		open     bool
		readOnly bool
		term     int
		// transaction and client are those of the first statement; 0: there was none.
		transaction int
		client      string
		writes      []write
		// prepared holds READ or WRITE by the name of a prepared statement.
		prepared map[string]string
	}
)

func newService(b *Bed, name string, controls []string) *Service {
	return &Service{bed: b, name: name, controls: controls, client: http.Client{Timeout: time.Second}, rolledBack: map[string]bool{}}
}

func (s *Service) startServer(zone, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &Server{
		service: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+len(s.Servers)), address: address, zone: zone, listener: listener,
		born: time.Now().UnixMilli(), term: 1, isPrimary: len(s.Servers) == 0, slots: make(chan struct{}, s.bed.options.Slots),
	}
	s.Servers = append(s.Servers, server)
	if server.isPrimary {
		s.leader = server
	}
	s.group.Go(func() error {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			c := &connection{server: server, number: number, conn: conn, reader: bufio.NewReader(conn), prepared: map[string]string{}}
			s.group.Go(func() error { c.serve(); return nil })
		}
	})
	return nil
}

func (s *Service) startPlatform(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", s.servePromotion)
	s.platform = &http.Server{Handler: mux}
	s.group.Go(func() error {
		if err := s.platform.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Primary returns the server that leads.
func (s *Service) Primary() *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// ID returns the server's instance id.
func (v *Server) ID() string { return v.id }

func (s *Service) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, InstanceID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token")
	s.bed.Recordf("platform: promotion of %s by %s with token %s", body.InstanceID, holder, token)
	time.Sleep(promoteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.Servers {
		if server.id == body.InstanceID && server != s.leader {
			for _, c := range s.leader.log {
				if !server.has(c.term, c.number) {
					for _, w := range c.writes {
						s.rolledBack[w.id] = true
					}
				}
			}
			s.leader.replacedAt = time.Now()
			server.term, server.isPrimary, server.replacedAt = s.leader.term+1, true, time.Time{}
			s.leader = server
			s.group.Go(func() error { server.beat(s.bed.ctx); return nil })
		}
	}
}

// run replicates the log and sends heartbeats until ctx ends.
func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	var beatDue time.Time
	var beats errgroup.Group
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			s.replicate(now)
			if now.After(beatDue) {
				beatDue = now.Add(heartbeatInterval)
				for _, server := range s.Servers {
					beats.Go(func() error { server.beat(ctx); return nil })
				}
			}
		}
	}
	_ = beats.Wait() // beat returns no error
}

func (s *Service) replicate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := len(s.leader.log)
	for visible > 0 && now.Sub(s.leader.log[visible-1].at) < replicationLag {
		visible--
	}
	for _, server := range s.Servers {
		if !server.replacedAt.IsZero() && now.Sub(server.replacedAt) < staleTime && server.isPrimary {
			continue
		}
		if server != s.leader {
			server.isPrimary = false
		}
		if server != s.leader && (server.term < s.leader.term || len(server.log) < visible) {
			server.term, server.log = s.leader.term, s.leader.log[:visible:visible]
		}
	}
}

// beat sends one heartbeat, to the next node if one doesn't acknowledge it.
func (v *Server) beat(ctx context.Context) {
	v.service.mu.Lock()
	v.sequence++
	role := "replica"
	if v.isPrimary {
		role = "primary"
	}
	body, err := json.Marshal(map[string]any{
		"service": v.service.name, "address": v.address, "zone": v.zone, "version": "v1", "slots": cap(v.slots), "state": "ready",
		"coldRemainingMs": 0, "databaseRole": role, "sequence": v.sequence, "born": v.born,
	})
	nodes := append([]string(nil), v.service.controls...)
	if v.beatAt != "" {
		nodes = append([]string{v.beatAt}, nodes...)
	}
	v.service.mu.Unlock()
	for _, node := range nodes {
		if err != nil || ctx.Err() != nil {
			return
		}
		response, postErr := v.service.client.Post("http://"+node+"/Instances.Heartbeat/"+v.id, "application/json", bytes.NewReader(body))
		if postErr != nil {
			continue
		}
		var answer struct{ HeartbeatAddress string }
		decodeErr := json.NewDecoder(response.Body).Decode(&answer)
		if response.Body.Close() != nil || response.StatusCode/100 != 2 {
			continue
		}
		if decodeErr == nil {
			v.service.mu.Lock()
			v.beatAt = answer.HeartbeatAddress
			v.service.mu.Unlock()
		}
		return
	}
}

func (s *Service) close() {
	for _, server := range s.Servers {
		// Closing the listener ends its loop.
		_ = server.listener.Close()
	}
	if s.platform != nil {
		_ = s.platform.Close() // nothing is in flight any more
	}
}

func (c *connection) serve() {
	defer func() { _ = c.conn.Close() }() // the other side may have closed it
	line, err := c.read()
	fields := strings.Fields(line)
	v, s := c.server, c.server.service
	if err != nil || len(fields) < 3 || fields[0] != "START" || fields[1] != s.name || len(fields) > 3 && fields[3] != v.id {
		c.write("ERROR MISROUTED " + v.id + "\r\n")
		return
	}
	s.mu.Lock()
	if v.conns >= s.bed.options.ConnectionLimit {
		s.mu.Unlock()
		c.write("ERROR TOOMANY " + v.id + "\r\n")
		return
	}
	v.conns++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		v.conns--
		s.mu.Unlock()
		if c.open {
			s.bed.Recordf("server %s: connection %d closed, the transaction of %s rolls back", v.id, c.number, c.client)
		}
	}()
	time.Sleep(handshakeTime)
	if !c.write("READY I " + c.position() + "\r\n") {
		return
	}
	for {
		line, err := c.read()
		if err != nil {
			return
		}
		rest, isQuery := strings.CutPrefix(line, "QUERY ")
		if !isQuery {
			return // BYE
		}
		id, text, _ := strings.Cut(rest, " ")
		if !c.write(c.run(id, text)) {
			return
		}
	}
}

func (c *connection) read() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *connection) write(text string) bool {
	_, err := c.conn.Write([]byte(text))
	return err == nil
}

func (c *connection) position() string {
	c.server.service.mu.Lock()
	defer c.server.service.mu.Unlock()
	return c.server.position()
}

// position returns the end of the server's log. Service.mu is held.
func (v *Server) position() string {
	if len(v.log) == 0 {
		return "-"
	}
	last := v.log[len(v.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// hasPosition reports whether the log has a position. Service.mu is held.
func (v *Server) hasPosition(text string) bool {
	termText, numberText, _ := strings.Cut(text, ".")
	term, errTerm := strconv.Atoi(termText)
	number, errNumber := strconv.Atoi(numberText)
	if errTerm != nil || errNumber != nil || len(v.log) == 0 {
		return false
	}
	return v.has(term, number)
}

// has reports whether the log has the position, or one of a later term. Service.mu is
// held.
func (v *Server) has(term, number int) bool {
	if len(v.log) == 0 {
		return false
	}
	last := v.log[len(v.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

// run runs a statement and returns the messages of its answer.
func (c *connection) run(id, text string) string {
	v, s := c.server, c.server.service
	if rest, after := strings.CutPrefix(text, "AFTER "); after {
		position, statement, _ := strings.Cut(rest, " ")
		s.mu.Lock()
		has := v.hasPosition(position)
		s.mu.Unlock()
		if !has {
			return c.fail("LAGGING")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		s.mu.Lock()
		isPrimary, term := v.isPrimary, v.term
		s.mu.Unlock()
		if rest == "" && !isPrimary {
			return c.fail("READONLY")
		}
		c.open, c.readOnly, c.term, c.transaction, c.client, c.writes = true, rest == "READ", term, 0, "", nil
		return c.done("-")
	case "ROLLBACK":
		c.open, c.writes = false, nil
		return c.done("-")
	case "SET":
		return c.done("-")
	case "RESET":
		clear(c.prepared)
		return c.done("-")
	case "PREPARE":
		name, rest, _ := strings.Cut(rest, " ")
		c.prepared[name], _, _ = strings.Cut(rest, " ")
		return c.done("-")
	case "DEALLOCATE":
		delete(c.prepared, rest)
		return c.done("-")
	case "DEMOTE", "PAUSE", "RESUME", "STATUS":
		return c.status(verb, rest)
	}
	return c.runData(id, text, verb, rest)
}

// status answers STATUS, and the commands that answer like it.
func (c *connection) status(verb, rest string) string {
	v, s := c.server, c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if term, err := strconv.Atoi(rest); verb == "DEMOTE" && err == nil && term > v.term {
		v.isPrimary = false
	}
	role := "replica"
	if v.isPrimary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\nDONE -\r\nREADY %s %s\r\n", role, v.term, v.position(), v.term, len(v.slots), v.conns, c.state(), v.position())
}

// runData runs a read, a write, a commit or a prepared statement in a slot.
func (c *connection) runData(id, text, verb, rest string) string {
	v, s := c.server, c.server.service
	if !v.enterQueue() {
		return c.fail("BUSY")
	}
	v.slots <- struct{}{}
	v.leaveQueue()
	time.Sleep(s.bed.options.StatementTime)
	defer func() { <-v.slots }()
	c.check(id, text)
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		p, known := c.prepared[name]
		if !known {
			return c.fail("NOSTMT")
		}
		verb, rest = p, arguments
	}
	s.mu.Lock()
	lostLead := !v.isPrimary || c.open && v.term != c.term
	s.mu.Unlock()
	if lostLead && (verb == "WRITE" || c.open && !c.readOnly && (verb != "COMMIT" || len(c.writes) > 0)) {
		c.open, c.writes = false, nil
		return c.fail("READONLY")
	}
	item, data, _ := strings.Cut(rest, " ")
	signature := "sig." + v.id + "." + id
	switch verb {
	case "READ":
		return "ROW " + v.value(item) + "\r\n" + c.done(signature)
	case "WRITE":
		c.writes = append(c.writes, write{id: id, item: item, data: data})
		if !c.open {
			c.commit(id)
		}
		return c.done(signature)
	case "COMMIT":
		if !c.open {
			return c.fail("MALFORMED")
		}
		c.open = false
		c.commit(id)
		return c.done(signature)
	default:
		return c.fail("MALFORMED")
	}
}

// check checks a statement that runs against what clients sent.
func (c *connection) check(id, text string) {
	bed := c.server.service.bed
	sent, known := bed.Ledger.Find(id)
	bed.Ledger.recordRun(id)
	bed.Recordf("server %s: connection %d runs %s %s", c.server.id, c.number, id, text)
	if !known {
		bed.Violatef("UNASKED", "the server ran %q with id %s, which no client sent", text, id)
		return
	}
	if !strings.HasPrefix(text, "EXECUTE ") && sent.Text != text {
		bed.Violatef("UNASKED", "the server ran %q with id %s; %s sent %q", text, id, sent.Client, sent.Text)
	}
	if !c.open {
		if sent.Transaction != 0 {
			bed.Violatef("PINNED", "%q of %s ran outside its transaction %d", text, sent.Client, sent.Transaction)
		}
		return
	}
	if c.transaction == 0 && c.client == "" {
		c.transaction, c.client = sent.Transaction, sent.Client
	}
	if c.transaction == sent.Transaction && c.client == sent.Client {
		return
	}
	bed.Violatef("PINNED", "%q of %s (transaction %d) ran inside transaction %d of %s, on connection %d of server %s",
		text, sent.Client, sent.Transaction, c.transaction, c.client, c.number, c.server.id)
	if text == "COMMIT" {
		bed.Violatef("UNASKED", "transaction %d of %s was committed by the COMMIT of %s; %s hasn't asked for it", c.transaction, c.client, sent.Client, c.client)
	}
}

// CheckWrites checks all writes at the end of a case.
func (s *Service) CheckWrites() {
	s.bed.Ledger.mu.Lock()
	defer s.bed.Ledger.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]int{}
	for _, c := range s.leader.log {
		for _, w := range c.writes {
			found[w.id]++
		}
	}
	for id, n := range found {
		if n > 1 {
			s.bed.Violatef("TWICE", "the write %s is in the log %d times", id, n)
		}
		if reason, promised := s.bed.Ledger.promised[id]; promised {
			s.bed.Violatef("REFUSED", "the write %s is committed, but %s", id, reason)
		}
	}
	for id := range s.bed.Ledger.acknowledged {
		if found[id] == 0 && !s.rolledBack[id] {
			s.bed.Recordf("the write %s of %s was acknowledged and isn't in the log", id, s.bed.Ledger.sent[id].Client)
		}
	}
}

// commit appends the writes of the connection to the log.
func (c *connection) commit(id string) {
	v, s := c.server, c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.writes) > 0 {
		number := 1
		if n := len(v.log); n > 0 {
			number = v.log[n-1].number + 1
		}
		v.log = append(v.log, commit{term: v.term, number: number, at: time.Now(), writes: c.writes})
		s.bed.Recordf("server %s: commit %d.%d by %s of %d writes", v.id, v.term, number, id, len(c.writes))
	}
	c.writes = nil
}

func (v *Server) enterQueue() bool {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	if v.queued >= queueLength {
		return false
	}
	v.queued++
	return true
}

func (v *Server) leaveQueue() {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	v.queued--
}

// value returns an item's value in the server's log.
func (v *Server) value(item string) string {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	for i := len(v.log) - 1; i >= 0; i-- {
		for _, w := range v.log[i].writes {
			if w.item == item {
				return w.data
			}
		}
	}
	return "none"
}

func (c *connection) state() string {
	if c.open {
		return "T"
	}
	return "I"
}

func (c *connection) done(signature string) string {
	return "DONE " + signature + "\r\nREADY " + c.state() + " " + c.position() + "\r\n"
}

func (c *connection) fail(code string) string {
	return "ERROR " + code + " " + c.server.id + "\r\nREADY " + c.state() + " " + c.position() + "\r\n"
}
