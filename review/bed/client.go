package bed

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/socket"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 4 * time.Second

// ErrSessionClosed is returned if a session was closed while no request was outstanding.
var ErrSessionClosed = errors.New("the session is closed")

type (
	// Ledger holds what clients sent, by request id.
	Ledger struct {
		mu       sync.Mutex
		sent     map[string]Sent
		lastTx   int
		sessions int
		// acknowledged are the writes whose success a client has received;
		// promised those of which a client was told that nothing is kept.
		acknowledged map[string]struct{}
		promised     map[string]string
		// ran is when a server last ran each request.
		ran map[string]time.Time
	}

	// Sent is a request of a client.
	Sent struct {
		Client, Text string
		At           time.Time
		// Transaction numbers the client's transaction; 0: the request is a single
		// statement.
		Transaction int
	}

	// Client is one session of a client.
	Client struct {
		bed         *Bed
		Name        string
		conn        net.Conn
		reader      *bufio.Reader
		transaction int
		// writes are the ids of the writes that may be kept when it ends.
		writes []string
		// last is the request that was sent last.
		last   Sent
		lastID string
	}

	// Answer is what a client received.
	Answer struct {
		Rows []string
		// Done is the signature of a success; empty: Error holds code and text.
		Done, Error string
		State       string
	}
)

// promises are the codes after which nothing of the client's attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

func newLedger() *Ledger {
	return &Ledger{sent: map[string]Sent{}, acknowledged: map[string]struct{}{}, promised: map[string]string{}, ran: map[string]time.Time{}}
}

// Find returns the request with an id.
func (l *Ledger) Find(id string) (Sent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.sent[id]
	return s, ok
}

// RanAt returns when a server last ran a request, and false if none has.
func (l *Ledger) RanAt(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ran := l.ran[id]
	return at, ran
}

func (l *Ledger) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id] = time.Now()
}

func (l *Ledger) add(id string, s Sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = s
}

func (l *Ledger) nextTransaction() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTx++
	return l.lastTx
}

// Connect opens a session through a proxy.
func (b *Bed) Connect(p *Process, database string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", p.Entry(), time.Second)
	if err != nil {
		return nil, err
	}
	b.Ledger.mu.Lock()
	b.Ledger.sessions++
	c := &Client{bed: b, Name: fmt.Sprint("client-", b.Ledger.sessions), conn: conn, reader: bufio.NewReader(conn)}
	b.Ledger.mu.Unlock()
	if err := c.Send("START " + database + " " + c.Name + "\r\n"); err != nil {
		return nil, err
	}
	line, err := c.read()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		return nil, fmt.Errorf("START was answered with %q", line)
	}
	b.Recordf("%s connected to %s", c.Name, p.Name)
	return c, nil
}

// Outstanding returns the request that was sent last.
func (c *Client) Outstanding() (id string, sent Sent) { return c.lastID, c.last }

// Query sends a request and returns its answer. Errors: ErrSessionClosed if the session was
// closed before the request was sent.
func (c *Client) Query(text string) (Answer, error) {
	if socket.IsClosed(c.conn) {
		return Answer{}, ErrSessionClosed
	}
	message := c.Message(text)
	if err := c.Send(message); err != nil {
		return Answer{}, err
	}
	return c.ReadAnswer()
}

// Message enters a request into the ledger and returns its message.
func (c *Client) Message(text string) string {
	if strings.HasPrefix(text, "BEGIN") {
		c.transaction, c.writes = c.bed.Ledger.nextTransaction(), nil
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	sent := Sent{Client: c.Name, Text: text, At: time.Now(), Transaction: c.transaction}
	if strings.HasPrefix(text, "WRITE ") {
		c.writes = append(c.writes, id)
	}
	c.last, c.lastID = sent, id
	c.bed.Ledger.add(id, sent)
	c.bed.Recordf("%s sends %s %s", c.Name, id, text)
	return "QUERY " + id + " " + text + "\r\n"
}

// settle records what an answer says of the outstanding request.
func (c *Client) settle(a Answer) {
	verb, _, _ := strings.Cut(c.last.Text, " ")
	code, _, _ := strings.Cut(a.Error, " ")
	isPromise := slices.Contains(promises, code)
	endsWrites := verb == "COMMIT" || c.transaction == 0 && len(c.writes) > 0
	l := c.bed.Ledger
	l.mu.Lock()
	for _, id := range c.writes {
		if a.Error == "" && endsWrites {
			l.acknowledged[id] = struct{}{}
		}
		if isPromise {
			l.promised[id] = c.Name + " got " + code + " for " + verb
		}
	}
	l.mu.Unlock()
	if endsWrites || verb == "ROLLBACK" {
		c.writes = nil
	}
	runsOnServer := verb == "READ" || verb == "WRITE" || verb == "COMMIT"
	if a.Error == "" && runsOnServer && !strings.HasSuffix(a.Done, "."+c.lastID) {
		c.bed.Violatef("MIXED", "%s got %q for its request %s %.40q", c.Name, a.Done, c.lastID, c.last.Text)
	}
	if a.State == "I" {
		c.transaction = 0
	}
}

// Send sends bytes.
func (c *Client) Send(bytes string) error {
	_, err := c.conn.Write([]byte(bytes))
	return err
}

// ReadAnswer reads the answer to one request.
func (c *Client) ReadAnswer() (Answer, error) {
	var a Answer
	for {
		line, err := c.read()
		if err != nil {
			c.bed.Recordf("%s got no answer: %v", c.Name, err)
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "DONE":
			a.Done = rest
		case "ERROR":
			a.Error = rest
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			c.bed.Recordf("%s got %s", c.Name, a)
			c.settle(a)
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Error != "" {
		return "ERROR " + a.Error + ", state " + a.State
	}
	return fmt.Sprintf("%d rows, DONE %s, state %s", len(a.Rows), a.Done, a.State)
}

func (c *Client) read() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// Close closes the session.
func (c *Client) Close() {
	// The connection may be closed already.
	_ = c.conn.Close()
}
