package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	writesHost = "host-writes"
	readsHost  = "host-reads"

	statementTimeout = 800 * time.Millisecond
	answerTimeout    = 2 * time.Second
	callerPause      = 40 * time.Millisecond
)

type (
	// callers are the callers' sessions and what they were answered.
	callers struct {
		deployment *deployment
		record     *record
		ended      chan struct{}
		wait       sync.WaitGroup

		mu sync.Mutex
		// next numbers the requests.
		next int
		// attempts are all requests that were sent, in order.
		attempts []*attempt
	}

	// attempt is one request of a caller.
	attempt struct {
		id, text     string
		sent, ended  time.Time
		answer       string
		acknowledged bool
	}
)

func newCallers(d *deployment) *callers {
	return &callers{deployment: d, record: d.record, ended: make(chan struct{})}
}

// open starts sessions that send statements one after the other. Each one writes if writes
// is true, and else reads.
func (c *callers) open(count int, writes bool) {
	for i := range count {
		c.wait.Go(func() { c.session(i, writes) })
	}
}

func (c *callers) close() {
	close(c.ended)
	c.wait.Wait()
}

func (c *callers) isEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// session keeps a session open, to the next proxy after each failure.
func (c *callers) session(number int, writes bool) {
	for proxy := number; !c.isEnded(); proxy++ {
		host := readsHost
		if writes {
			host = writesHost
		}
		if err := c.connect(proxy%proxyCount, host, number, writes); err != nil {
			time.Sleep(callerPause)
		}
	}
}

var errSession = errors.New("the session has ended")

// connect opens a session and sends statements until it fails.
func (c *callers) connect(proxy int, host string, number int, writes bool) error {
	conn, err := net.DialTimeout("tcp", c.deployment.callerAddress(proxy), time.Second)
	if err != nil {
		c.failWithout(writes, err)
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "START %s u%d\r\n", host, number); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	line, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		c.failWithout(writes, errSession)
		return errSession
	}
	for item := 0; !c.isEnded(); item++ {
		text := fmt.Sprintf("READ item%d", item%50)
		if writes {
			text = fmt.Sprintf("WRITE item%d data%d", item%50, item)
		}
		if !c.send(conn, reader, text) {
			return errSession
		}
		time.Sleep(callerPause)
	}
	fmt.Fprint(conn, "BYE\r\n")
	return nil
}

// failWithout records a request that a caller had and couldn't send.
func (c *callers) failWithout(writes bool, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, &attempt{text: fmt.Sprintf("unsent, writes %t", writes), sent: now, ended: now, answer: err.Error()})
}

// send sends a statement and reads its answer. It returns false if the session is of no
// use any more.
func (c *callers) send(conn net.Conn, reader *bufio.Reader, text string) bool {
	c.mu.Lock()
	c.next++
	a := &attempt{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+c.next), text: text, sent: time.Now()}
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.record.printf("caller sends %s %s", a.id, text)
	answer, usable := "no answer", false
	if _, err := fmt.Fprintf(conn, "QUERY %s %s\r\n", a.id, text); err == nil && conn.SetReadDeadline(time.Now().Add(answerTimeout)) == nil {
		answer, usable = readAnswer(reader)
	}
	c.mu.Lock()
	a.ended, a.answer = time.Now(), answer
	a.acknowledged = strings.HasPrefix(answer, "DONE") && answer != "DONE -"
	c.mu.Unlock()
	c.record.printf("caller gets %s: %s", a.id, answer)
	return usable
}

func readAnswer(reader *bufio.Reader) (answer string, usable bool) {
	answer = "no answer"
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "no answer", false
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, _, _ := strings.Cut(line, " "); word {
		case "DONE", "ERROR":
			answer = line
		case "READY":
			return answer, strings.HasPrefix(line, "READY I")
		}
	}
}

// acknowledged returns the IDs of the acknowledged writes.
func (c *callers) acknowledged() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, a := range c.attempts {
		if a.acknowledged && strings.HasPrefix(a.text, "WRITE") {
			ids = append(ids, a.id)
		}
	}
	return ids
}

// served returns how many requests were sent in a time, and how many of them succeeded.
func (c *callers) served(from, to time.Time) (succeeded, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.sent.Before(from) || !a.sent.Before(to) {
			continue
		}
		sent++
		if a.acknowledged {
			succeeded++
		}
	}
	return succeeded, sent
}

// configuration returns the operator's configuration.
func configuration(version, syncReplicas int) map[string]any {
	route := func(name, host, kind string, staleness int) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": "/", "routeKind": kind, "timeoutMs": statementTimeout.Milliseconds(), "targetLatencyMs": 200,
			"priority": 1, "service": serviceName, "maxAttempts": 2,
		}
		if staleness > 0 {
			r["maxStalenessMs"] = staleness
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-writes", writesHost, "primary", 0), route("r-reads", readsHost, "bounded_staleness", 1500)},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "connectionLimit": connectionLimit, "protocol": "h1", "tlsEnabled": false, "syncReplicas": syncReplicas,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "transactionIdleMs": 3000},
	}
}

// configure sends the configuration to the control nodes in turn until one acknowledges
// it. It returns false if none has within the time.
func configure(g *group, syncReplicas int, patience time.Duration) bool {
	body := configuration(1, syncReplicas)
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, target := range g.deployment.controlAddresses() {
			answer, status, err := g.post(target, "/Configuration.Replace", body)
			g.record.printf("operator: version 1 to %s: %d %s %v", target, status, strings.TrimSpace(string(answer)), err)
			if err == nil && status == http.StatusOK {
				g.record.say("the operator's version 1 is acknowledged")
				return true
			}
		}
	}
	return false
}

// readBack reads the configuration back from any control node. It returns false if none
// has answered within the time.
func readBack(g *group, patience time.Duration) (version int, ok bool) {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, target := range g.deployment.controlAddresses() {
			response, err := g.client.Get("http://" + target + "/Configuration.Read")
			if err != nil {
				g.record.printf("operator: read from %s: %v", target, err)
				continue
			}
			var read struct{ Version int }
			err = json.NewDecoder(response.Body).Decode(&read)
			response.Body.Close()
			g.record.printf("operator: read from %s: %d version %d", target, response.StatusCode, read.Version)
			if err == nil && response.StatusCode == http.StatusOK {
				return read.Version, true
			}
		}
	}
	return 0, false
}
