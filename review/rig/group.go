package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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
	serviceName       = "ledger"
	slots             = 2
	connectionLimit   = 16
	promoteTime       = 300 * time.Millisecond
	replicationPeriod = 3 * time.Millisecond
	demoteAfter       = time.Second
	syncTimeout       = 700 * time.Millisecond
)

type (
	// entry is a commit in a server's log.
	entry struct {
		term    int
		request string
	}

	// group is a service with its servers. It replicates logs and promotes servers as
	// the platform does.
	group struct {
		deployment *deployment
		record     *record
		// syncReplicas is the number of replicas that must have received a commit
		// before it is acknowledged.
		syncReplicas int
		client       *http.Client

		mu      sync.Mutex
		servers []*server
		term    int
		primary *server
		born    int64
		ids     int
		// promoted is called after a promotion took effect, with mu held.
		promoted func(*server)
		// platformDelay is how long the platform takes to respond to a call.
		platformDelay time.Duration
		tokens        []string
		ended         chan struct{}
		wait          sync.WaitGroup
	}

	// server is a backend server.
	server struct {
		group    *group
		id       string
		place    int
		born     int64
		running  bool
		draining bool
		leads    bool
		term     int
		log      []entry
		// deaf is true while the server receives nothing of the primary's log.
		deaf bool
		// busy is true while all slots are taken, so that STATUS is answered with BUSY.
		busy     bool
		sequence int
		target   string
		listener net.Listener
		conns    map[net.Conn]struct{}
		changed  chan struct{}
		ended    chan struct{}
		// drainAcknowledged is when a control node first acknowledged that the server
		// drains; zero: none has.
		drainAcknowledged time.Time
		// ran are the requests that reached this server, and when.
		ran []run
	}

	run struct {
		request string
		at      time.Time
	}
)

func newGroup(d *deployment, syncReplicas int) *group {
	return &group{
		deployment: d, record: d.record, syncReplicas: syncReplicas, term: 1, born: time.Now().UnixMilli(),
		client: &http.Client{Timeout: time.Second}, ended: make(chan struct{}),
	}
}

// open starts the group's servers, the first of which is the primary, and the platform.
func (g *group) open(count int) error {
	for i := range count {
		if _, err := g.startServer(i, i == 0, nil); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", g.deployment.cloudAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", g.servePromotion)
	platform := &http.Server{Handler: mux}
	g.wait.Go(func() {
		if err := platform.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.record.say("the platform ended: %v", err)
		}
	})
	g.wait.Go(func() {
		<-g.ended
		platform.Close()
	})
	g.wait.Go(g.replicate)
	return nil
}

func (g *group) close() {
	close(g.ended)
	g.mu.Lock()
	all := g.servers
	g.mu.Unlock()
	for _, s := range all {
		g.crash(s)
	}
	g.wait.Wait()
}

// startServer starts a server at a place with a log.
func (g *group) startServer(place int, leads bool, log []entry) (*server, error) {
	listener, err := net.Listen("tcp", g.deployment.serverAddress(place))
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.ids++
	s := &server{
		group: g, id: fmt.Sprintf("i-%04x%04x", 0x7f3a-g.ids*0x101, place), place: place, born: max(time.Now().UnixMilli(), g.born+1), running: true, leads: leads,
		term: g.term, log: append([]entry(nil), log...), listener: listener, conns: map[net.Conn]struct{}{},
		changed: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	g.born = s.born
	g.servers = append(g.servers, s)
	if leads {
		g.primary = s
	}
	g.mu.Unlock()
	g.record.say("server %s starts at place %d as %s with %d commits", s.id, place, s.role(), len(log))
	g.wait.Go(func() { s.accept(listener) })
	g.wait.Go(s.announce)
	return s, nil
}

// crash ends a server at once. Its log stays.
func (g *group) crash(s *server) {
	g.mu.Lock()
	if !s.running {
		g.mu.Unlock()
		return
	}
	s.running = false
	close(s.ended)
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	g.mu.Unlock()
	g.record.say("server %s ended with %d commits", s.id, len(s.log))
}

// restart starts a server that crashed again, at its place and with its log, under a new
// ID. It is the primary if no other server was promoted meanwhile.
func (g *group) restart(s *server) (*server, error) {
	g.mu.Lock()
	leads, log := g.primary == s, s.log
	g.mu.Unlock()
	return g.startServer(s.place, leads, log)
}

// replicate copies the primary's log to the replicas until the group is closed.
func (g *group) replicate() {
	ticker := time.NewTicker(replicationPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-g.ended:
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		if p := g.primary; p.running {
			for _, s := range g.servers {
				if s != p && s.running && !s.deaf && !s.leads {
					s.log, s.term = append(s.log[:0:0], p.log...), p.term
				}
			}
		}
		g.mu.Unlock()
	}
}

// holders returns the number of running replicas that have received a commit.
func (g *group) holders(index int, e entry) int {
	count := 0
	for _, s := range g.servers {
		if s != g.primary && s.running && len(s.log) > index && s.log[index] == e {
			count++
		}
	}
	return count
}

// servePromotion takes the control nodes' calls that promote a server.
func (g *group) servePromotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, InstanceID string }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.tokens = append(g.tokens, r.Header.Get("Fencing-Token"))
	target, delay := g.find(call.InstanceID), g.platformDelay
	status := http.StatusOK
	switch {
	case target == nil || !target.running:
		status = http.StatusConflict
	case target != g.primary:
		g.wait.Go(func() { g.promote(target) })
	}
	g.mu.Unlock()
	g.record.say("platform: promotion of %s by %s, token %s: %d", call.InstanceID, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), status)
	time.Sleep(delay)
	w.WriteHeader(status)
}

func (g *group) find(id string) *server {
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// promote makes a server the primary of the next term after promoteTime.
func (g *group) promote(target *server) {
	time.Sleep(promoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.running || target == g.primary {
		return
	}
	old := g.primary
	g.term++
	g.primary, target.leads, target.term = target, true, g.term
	g.record.say("server %s leads term %d with %d commits", target.id, g.term, len(target.log))
	target.notify()
	if g.promoted != nil {
		g.promoted(target)
	}
	g.wait.Go(func() {
		time.Sleep(demoteAfter)
		g.mu.Lock()
		defer g.mu.Unlock()
		if old != g.primary {
			old.leads = false
			old.notify()
		}
	})
}

// notify has the server announce itself at once.
func (s *server) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// role returns the server's role in its own view. group.mu is held, or the server has
// just been created.
func (s *server) role() string {
	if s.leads {
		return "primary"
	}
	return "replica"
}

// position returns the end of the server's log. group.mu is held.
func (s *server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)) }

// announce sends heartbeats until the server ends.
func (s *server) announce() {
	for {
		s.group.mu.Lock()
		state := "ready"
		if s.draining {
			state = "draining"
		}
		s.sequence++
		beat := map[string]any{
			"service": serviceName, "address": s.group.deployment.serverAddress(s.place), "zone": fmt.Sprintf("zone-%d", s.place%3), "version": "v1",
			"slots": slots, "state": state, "coldRemainingMs": 0, "databaseRole": s.role(), "sequence": s.sequence, "born": s.born,
		}
		s.group.mu.Unlock()
		s.call("/Instances.Heartbeat/"+s.id, beat, state == "draining")
		timer := time.NewTimer(heartbeatInterval)
		select {
		case <-s.ended:
			timer.Stop()
			return
		case <-timer.C:
		case <-s.changed:
			timer.Stop()
		}
	}
}

// call sends a message of the server to the address that it was given, or else to the
// control nodes in turn, and reports whether one acknowledged it.
func (s *server) call(path string, body map[string]any, always bool) bool {
	targets := s.group.deployment.controlAddresses()
	if s.target != "" {
		targets = append([]string{s.target}, targets...)
	}
	for _, target := range targets {
		select {
		case <-s.ended:
			return false
		default:
		}
		answer, status, err := s.group.post(target, path, body)
		if err != nil || status/100 != 2 {
			s.target = ""
			continue
		}
		var response struct{ HeartbeatAddress string }
		if json.Unmarshal(answer, &response) == nil && response.HeartbeatAddress != "" {
			s.target = response.HeartbeatAddress
		}
		if always {
			s.group.record.printf("server %s: %s state %v sequence %v acknowledged by %s", s.id, path, body["state"], body["sequence"], target)
			s.group.mu.Lock()
			if s.drainAcknowledged.IsZero() && body["state"] == "draining" {
				s.drainAcknowledged = time.Now()
			}
			s.group.mu.Unlock()
		}
		return true
	}
	return false
}

// post sends a JSON body and returns the response's body and status.
func (g *group) post(target, path string, body any) ([]byte, int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, 0, err
	}
	response, err := g.client.Post("http://"+target+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return answer, response.StatusCode, err
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		full := len(s.conns) >= connectionLimit
		if !s.running {
			conn.Close()
			s.group.mu.Unlock()
			return
		}
		s.conns[conn] = struct{}{}
		s.group.mu.Unlock()
		s.group.wait.Go(func() {
			s.serve(conn, full)
			s.group.mu.Lock()
			delete(s.conns, conn)
			s.group.mu.Unlock()
			conn.Close()
		})
	}
}

// connState is what the server holds for a connection.
type connState struct {
	inTransaction, readOnly, failed bool
	writes                          []string
	prepared                        map[string]bool
}

func (c *connState) word() string {
	switch {
	case c.failed:
		return "E"
	case c.inTransaction:
		return "T"
	default:
		return "I"
	}
}

// serve speaks the wire protocol on a connection.
func (s *server) serve(conn net.Conn, full bool) {
	reader := bufio.NewReader(conn)
	first, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(first)
	switch {
	case full:
		fmt.Fprint(conn, "ERROR TOOMANY\r\n")
		return
	case len(fields) < 3 || fields[0] != "START" || fields[1] != serviceName || len(fields) > 3 && fields[3] != s.id:
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	s.group.mu.Lock()
	greeting := "READY I " + s.position() + "\r\n"
	s.group.mu.Unlock()
	if _, err := io.WriteString(conn, greeting); err != nil {
		return
	}
	state := &connState{prepared: map[string]bool{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if fields[0] != "QUERY" || len(fields) < 3 {
			return
		}
		answer, ok := s.query(fields[1], fields[2], state)
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// query runs a statement. ok is false if the server has ended.
func (s *server) query(id, text string, c *connState) (answer string, ok bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.running {
		return "", false
	}
	result, ok := s.run(id, text, c)
	return result + "READY " + c.word() + " " + s.position() + "\r\n", ok
}

// run runs a statement and returns its answer but for READY. group.mu is held.
func (s *server) run(id, text string, c *connState) (answer string, ok bool) {
	words := strings.Fields(text)
	if words[0] == "AFTER" {
		if s.lacks(words[1]) {
			return "ERROR LAGGING\r\n", true
		}
		words = words[2:]
	}
	done := fmt.Sprintf("DONE %s.%s.%d\r\n", s.id, id, len(s.log))
	switch words[0] {
	case "STATUS", "DEMOTE":
		return s.control(words), true
	case "SET", "RESET", "DEALLOCATE":
		return "DONE -\r\n", true
	case "PREPARE":
		c.prepared[words[1]] = words[2] == "WRITE"
		return "DONE -\r\n", true
	case "BEGIN":
		if len(words) == 1 && !s.leads {
			return "ERROR READONLY " + s.id + "\r\n", true
		}
		c.inTransaction, c.readOnly = true, len(words) > 1
		return "DONE -\r\n", true
	case "ROLLBACK":
		*c = connState{prepared: c.prepared}
		return "DONE -\r\n", true
	}
	s.ran = append(s.ran, run{request: id, at: time.Now()})
	isWrite := words[0] == "WRITE" || words[0] == "EXECUTE" && c.prepared[words[1]]
	switch {
	case c.failed:
		return "ERROR MALFORMED\r\n", true
	case words[0] == "COMMIT":
		writes := c.writes
		*c = connState{prepared: c.prepared}
		if len(writes) > 0 {
			if !s.leads {
				return "ERROR READONLY " + s.id + "\r\n", true
			}
			return done, s.commit(id)
		}
		return done, true
	case isWrite && !s.leads, c.inTransaction && !c.readOnly && !s.leads:
		c.failed = c.inTransaction
		return "ERROR READONLY " + s.id + "\r\n", true
	case isWrite && c.inTransaction:
		c.writes = append(c.writes, id)
		return done, true
	case isWrite:
		return done, s.commit(id)
	}
	return fmt.Sprintf("ROW %d\r\n%s", len(s.log), done), true
}

// control answers STATUS and DEMOTE.
func (s *server) control(words []string) string {
	if s.busy {
		return "ERROR BUSY\r\n"
	}
	if words[0] == "DEMOTE" {
		if term, err := strconv.Atoi(words[1]); err == nil && s.term < term {
			s.leads = false
			s.notify()
		}
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\nDONE -\r\n", s.role(), s.term, s.position(), len(s.conns))
}

// lacks reports whether the log lacks a position.
func (s *server) lacks(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, errTerm := strconv.Atoi(termText)
	number, errNumber := strconv.Atoi(numberText)
	if errTerm != nil || errNumber != nil {
		return true
	}
	return s.term < term || s.term == term && len(s.log) < number
}

// commit appends a commit and waits, with group.mu released, until syncReplicas replicas
// have received it. It returns false if the server ended before.
func (s *server) commit(id string) bool {
	e := entry{term: s.term, request: id}
	index := len(s.log)
	s.log = append(s.log, e)
	s.group.record.printf("server %s commits %d.%d for %s", s.id, s.term, index+1, id)
	for until := time.Now().Add(syncTimeout); s.group.holders(index, e) < s.group.syncReplicas; {
		s.group.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.group.mu.Lock()
		if !s.running || time.Now().After(until) {
			return false
		}
	}
	return true
}

// has reports whether the log holds the commit of a request. group.mu is held.
func (s *server) has(request string) bool {
	for _, e := range s.log {
		if e.request == request {
			return true
		}
	}
	return false
}
