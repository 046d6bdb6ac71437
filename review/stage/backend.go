package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "ledger"
	serverCount = 3
	// replicationInterval is how often replicas receive what they lack. They receive each
	// commit at once, too.
	replicationInterval = 5 * time.Millisecond
	heartbeatInterval   = 1200 * time.Millisecond
	// promoteTime is the time from a promotion to its effect.
	promoteTime = 300 * time.Millisecond
	// oldPrimaryTime is how long a replaced primary goes on once it reaches the new one.
	oldPrimaryTime = time.Second
	// workTime is how long a read, a write or a commit takes.
	workTime = 3 * time.Millisecond
	// reportReply stands for the messages of an answer with many rows.
	reportReply = "REPORT "
)

type (
	// backend is one service of stand-in servers, and the platform that promotes them.
	backend struct {
		record *record
		client *http.Client
		// ctx ends when the servers stop.
		ctx    context.Context
		cancel context.CancelFunc
		waits  sync.WaitGroup

		// mu guards the fields below and those of the servers.
		mu      sync.Mutex
		changed *sync.Cond
		servers []*server
		// newest is the server that leads the newest term.
		newest *server
		// syncReplicas is the number of replicas that must have received a commit.
		syncReplicas int
		apis         []string
		nextAPI      int
		// host and port are those of the first server.
		host string
		port int
		// promotions are the calls that took effect, commits what servers committed.
		promotions []promotion
		commits    map[string]commit
		// callTime returns how long the platform takes for a call that arrives now
		// before it carries it out; nil: no time.
		callTime func() time.Duration
	}

	// commit is a commit of a write at a server.
	commit struct {
		at   time.Time
		by   *server
		term uint64
	}

	promotion struct {
		at       time.Time
		instance string
		term     uint64
		token    string
		// log holds the requests of all writes in the log of the promoted server.
		log map[string]bool
	}

	// server is a stand-in server.
	server struct {
		backend   *backend
		id        string
		address   string
		born      int64
		sequence  uint64
		isPrimary bool
		term      uint64
		log       []entry
		running   bool
		draining  bool
		// deaf is true while the server receives nothing from the primary.
		deaf     bool
		listener net.Listener
		conns    map[net.Conn]struct{}
		// demoteAt is when a replaced primary becomes a replica; zero: it wasn't replaced.
		demoteAt time.Time
	}

	// entry is a commit.
	entry struct {
		term, number uint64
		writes       []change
	}

	change struct{ item, data, request string }

	// serverSession is a connection to a server.
	serverSession struct {
		server   *server
		state    string
		readOnly bool
		term     uint64
		writes   []change
		prepared map[string]bool
	}
)

func newBackend(r *record, syncReplicas int) *backend {
	b := &backend{record: r, client: &http.Client{Timeout: time.Second}, syncReplicas: syncReplicas, commits: map[string]commit{}}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// start starts the servers on one host, at ports from port on.
func (b *backend) start(host string, port int, apis []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel, b.apis, b.host, b.port = cancel, apis, host, port
	for i := range serverCount {
		s := &server{
			backend: b, id: fmt.Sprintf("i-%d", i), address: net.JoinHostPort(host, strconv.Itoa(port+i)),
			isPrimary: i == 0, term: 1,
		}
		b.servers = append(b.servers, s)
		if err := s.listen(); err != nil {
			return err
		}
		b.waits.Go(func() { s.announceUntil(ctx) })
	}
	b.ctx = ctx
	b.newest = b.servers[0]
	b.waits.Go(func() { b.replicateUntil(ctx) })
	return nil
}

func (b *backend) stop() {
	if b.cancel == nil {
		return
	}
	b.cancel()
	for _, s := range b.servers {
		s.crash()
	}
	b.waits.Wait()
}

func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.backend.mu.Lock()
	s.listener, s.conns, s.running = listener, map[net.Conn]struct{}{}, true
	s.born = time.Now().UnixMilli()
	s.backend.mu.Unlock()
	s.backend.waits.Go(func() { s.accept(listener) })
	return nil
}

// crash ends the server; its log stays.
func (s *server) crash() {
	s.backend.mu.Lock()
	defer s.backend.mu.Unlock()
	if !s.running {
		return
	}
	s.running = false
	// Errors of closing don't matter: the server has ended.
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.backend.changed.Broadcast()
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.backend.mu.Lock()
		s.conns[conn] = struct{}{}
		s.backend.mu.Unlock()
		s.backend.waits.Go(func() {
			s.serve(conn)
			s.backend.mu.Lock()
			delete(s.conns, conn)
			s.backend.mu.Unlock()
			_ = conn.Close()
		})
	}
}

func readMessage(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	first, err := readMessage(reader)
	if err != nil {
		return
	}
	fields := strings.Fields(first)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != serviceName || len(fields) > 3 && fields[3] != s.id {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	session := &serverSession{server: s, state: "I", prepared: map[string]bool{}}
	if _, err := io.WriteString(conn, session.ready()); err != nil {
		return
	}
	for {
		line, err := readMessage(reader)
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(line, " ")
		if verb != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if err := session.answer(conn, id, text); err != nil {
			return
		}
	}
}

// ready returns the message that ends each answer.
func (c *serverSession) ready() string {
	c.server.backend.mu.Lock()
	defer c.server.backend.mu.Unlock()
	return fmt.Sprintf("READY %s %s\r\n", c.state, c.server.position())
}

// position returns the end of the log. backend.mu is held.
func (s *server) position() string {
	if len(s.log) == 0 {
		return "-"
	}
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// answer runs a statement and writes the messages of its answer.
func (c *serverSession) answer(conn net.Conn, id, text string) error {
	reply := c.run(id, text)
	if item, ok := strings.CutPrefix(reply, reportReply); ok {
		return c.writeReport(conn, item)
	}
	_, err := io.WriteString(conn, reply+c.ready())
	return err
}

// writeReport answers a read whose result has many rows.
func (c *serverSession) writeReport(conn net.Conn, item string) error {
	rows, err := strconv.Atoi(strings.TrimPrefix(item, "report-"))
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(conn, 64<<10)
	for row := range rows {
		if _, err := fmt.Fprintf(out, "ROW %0*x\r\n", reportRowBytes, row); err != nil {
			return err
		}
	}
	if _, err := out.WriteString("DONE " + c.server.signature() + "\r\n" + c.ready()); err != nil {
		return err
	}
	return out.Flush()
}

func (s *server) signature() string { return "sig." + s.id }

func fail(code, id string) string { return "ERROR " + code + " " + id + "\r\n" }

// run executes a statement and returns the messages of its answer except the last.
func (c *serverSession) run(id, text string) string {
	s := c.server
	b := s.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.has(position) {
			return fail("LAGGING", s.id)
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		if rest == "" && !s.isPrimary {
			return fail("READONLY", s.id)
		}
		c.state, c.readOnly, c.term, c.writes = "T", rest == "READ", s.term, nil
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "RESET":
		clear(c.prepared)
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = strings.HasPrefix(shape, "WRITE ")
	case "SET", "DEALLOCATE", "PAUSE", "RESUME":
	case "STATUS":
		role := "replica"
		if s.isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, s.term, s.position(), s.term, len(s.conns))
	case "DEMOTE":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && term > s.term {
			s.isPrimary = false
		}
	default:
		return c.runData(id, verb, rest)
	}
	return "DONE -\r\n"
}

// runData runs a read, a write or a commit. backend.mu is held.
func (c *serverSession) runData(id, verb, rest string) string {
	s := c.server
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		writes, known := c.prepared[name]
		if !known {
			return fail("NOSTMT", s.id)
		}
		verb, rest = "READ", arguments
		if writes {
			verb = "WRITE"
		}
	}
	if c.state == "T" && !c.readOnly && (!s.isPrimary || s.term != c.term) && (verb != "COMMIT" || len(c.writes) > 0) {
		c.state, c.writes = "E", nil
		return fail("READONLY", s.id)
	}
	s.backend.mu.Unlock()
	time.Sleep(workTime)
	s.backend.mu.Lock()
	switch verb {
	case "READ":
		if strings.HasPrefix(rest, "report-") {
			return reportReply + rest
		}
		return "ROW " + s.value(rest) + "\r\nDONE " + s.signature() + "\r\n"
	case "WRITE":
		if !s.isPrimary {
			return fail("READONLY", s.id)
		}
		item, data, _ := strings.Cut(rest, " ")
		c.writes = append(c.writes, change{item: item, data: data, request: id})
		if c.state == "I" {
			return c.commit()
		}
		return "DONE " + s.signature() + "\r\n"
	case "COMMIT":
		c.state = "I"
		return c.commit()
	default:
		return fail("MALFORMED", s.id)
	}
}

// commit appends the writes to the log, and waits for replicas if the service asks for
// them. backend.mu is held.
func (c *serverSession) commit() string {
	s := c.server
	writes := c.writes
	c.writes = nil
	if len(writes) == 0 {
		return "DONE " + s.signature() + "\r\n"
	}
	if !s.isPrimary {
		return fail("READONLY", s.id)
	}
	next := entry{term: s.term, number: uint64(len(s.log) + 1), writes: writes}
	s.log = append(s.log, next)
	for _, w := range writes {
		s.backend.commits[w.request] = commit{at: time.Now(), by: s, term: s.term}
		s.backend.record.logf("%s ran %s as commit %d.%d", s.id, w.request, next.term, next.number)
	}
	s.backend.replicate(time.Now())
	for s.backend.receivedBy(s, next) < s.backend.syncReplicas && s.running {
		s.backend.changed.Wait()
	}
	return "DONE " + s.signature() + "\r\n"
}

// receivedBy returns the number of other servers that hold an entry of a server's log.
// b.mu is held.
func (b *backend) receivedBy(primary *server, e entry) int {
	count := 0
	for _, s := range b.servers {
		if s != primary && uint64(len(s.log)) >= e.number && s.log[e.number-1].term == e.term {
			count++
		}
	}
	return count
}

// has reports whether the log holds a position. backend.mu is held.
func (s *server) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	if errTerm != nil || errNumber != nil {
		return false
	}
	if len(s.log) == 0 {
		return n == 0
	}
	last := s.log[len(s.log)-1]
	return last.term > t || last.term == t && last.number >= n
}

// requests returns the requests of all writes in the log. backend.mu is held.
func (s *server) requests() map[string]bool {
	list := map[string]bool{}
	for _, e := range s.log {
		for _, w := range e.writes {
			list[w.request] = true
		}
	}
	return list
}

// value returns the newest data of an item. backend.mu is held.
func (s *server) value(item string) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		for j := len(s.log[i].writes) - 1; j >= 0; j-- {
			if s.log[i].writes[j].item == item {
				return s.log[i].writes[j].data
			}
		}
	}
	return "none"
}

// replicateUntil copies the log of the newest primary to the other servers.
func (b *backend) replicateUntil(ctx context.Context) {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.mu.Lock()
			b.replicate(now)
			b.mu.Unlock()
		}
	}
}

// replicate has the other servers receive what the newest primary has. b.mu is held.
func (b *backend) replicate(now time.Time) {
	if !b.newest.running {
		return
	}
	for _, s := range b.servers {
		if s == b.newest || !s.running || s.deaf {
			continue
		}
		if s.isPrimary {
			if s.demoteAt.IsZero() {
				s.demoteAt = now.Add(oldPrimaryTime)
			}
			if now.Before(s.demoteAt) {
				continue
			}
		}
		s.isPrimary, s.demoteAt = false, time.Time{}
		s.log, s.term = append([]entry(nil), b.newest.log...), b.newest.term
	}
	b.changed.Broadcast()
}

// servePromotion serves POST /promotion.
func (b *backend) servePromotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, InstanceID string }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token")
	b.record.logf("platform: call to promote %s by %s, token %s", call.InstanceID, holder, token)
	b.mu.Lock()
	callTime := b.callTime
	b.mu.Unlock()
	if callTime != nil {
		time.Sleep(callTime())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.id != call.InstanceID || !s.running {
			continue
		}
		b.record.logf("platform: carries out the call to promote %s", s.id)
		if s != b.newest {
			time.AfterFunc(promoteTime, func() { b.promote(s, token) })
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// drain has a server report that it is about to end. It goes on serving.
func (b *backend) drain(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.find(id).draining = true
	b.record.logf("%s drains", id)
}

func (b *backend) promote(s *server, token string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.running || s == b.newest {
		return
	}
	s.term, s.isPrimary = b.newest.term+1, true
	b.newest = s
	b.promotions = append(b.promotions, promotion{at: time.Now(), instance: s.id, term: s.term, token: token, log: s.requests()})
	b.record.logf("%s leads term %d with %d commits", s.id, s.term, len(s.log))
}

// find returns the server with an ID. b.mu is held.
func (b *backend) find(id string) *server {
	for _, s := range b.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// setDeaf sets whether a server receives nothing from the primary.
func (b *backend) setDeaf(id string, deaf bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.find(id).deaf = deaf
	b.record.logf("%s receives nothing: %v", id, deaf)
}

// crash ends a server without a word.
func (b *backend) crash(id string) {
	b.mu.Lock()
	s := b.find(id)
	b.record.logf("%s crashes with %d commits", id, len(s.log))
	b.mu.Unlock()
	s.crash()
}

// join starts a new server at an address of its own.
func (b *backend) join(id string) error {
	b.mu.Lock()
	host, port := b.host, b.port+len(b.servers)
	s := &server{backend: b, id: id, address: net.JoinHostPort(host, strconv.Itoa(port))}
	b.servers = append(b.servers, s)
	b.record.logf("%s starts", id)
	b.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	b.waits.Go(func() { s.announceUntil(b.ctx) })
	return nil
}

// leave ends a server as planned: it says that it leaves, and ends.
func (b *backend) leave(id string) error {
	b.mu.Lock()
	s := b.find(id)
	body := fmt.Sprintf(`{"born":%d}`, s.born)
	b.mu.Unlock()
	for try := range len(b.apis) {
		response, err := b.client.Post("http://"+b.apis[try]+"/Instances.Leave/"+id, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		if err := response.Body.Close(); err != nil {
			return err
		}
		if response.StatusCode/100 != 2 {
			continue
		}
		s.crash()
		b.record.logf("%s has left with %d commits", id, len(s.log))
		return nil
	}
	return fmt.Errorf("no control node acknowledged that %s leaves", id)
}

// succeed starts a server at the address of one that has left, with its log.
func (b *backend) succeed(old, id string) error {
	b.mu.Lock()
	left := b.find(old)
	s := &server{backend: b, id: id, address: left.address, term: left.term, log: append([]entry(nil), left.log...)}
	left.log = nil
	b.servers = append(b.servers, s)
	b.record.logf("%s starts at the address of %s, with its log of %d commits", id, old, len(s.log))
	b.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	b.waits.Go(func() { s.announceUntil(b.ctx) })
	return nil
}

// announceUntil sends the server's heartbeats.
func (s *server) announceUntil(ctx context.Context) {
	lastRole, lastDraining := false, false
	for next := time.Now(); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		s.backend.mu.Lock()
		running, role, draining := s.running, s.isPrimary, s.draining
		s.backend.mu.Unlock()
		if !running || role == lastRole && draining == lastDraining && time.Now().Before(next) {
			continue
		}
		lastRole, lastDraining = role, draining
		if s.announce(ctx) {
			next = time.Now().Add(heartbeatInterval)
		} else {
			next = time.Now().Add(heartbeatInterval / 4)
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (s *server) announce(ctx context.Context) bool {
	b := s.backend
	b.mu.Lock()
	role, state := "replica", "ready"
	if s.isPrimary {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	s.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"coldRemainingMs":0,"databaseRole":%q,"sequence":%d,"born":%d}`,
		serviceName, s.address, state, role, s.sequence, s.born)
	b.nextAPI++
	target := b.apis[b.nextAPI%len(b.apis)]
	b.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/Instances.Heartbeat/"+s.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}
