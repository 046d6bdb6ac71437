package session

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

var harbourKey, airportKey = customer.DigestOf("harbour-key"), customer.DigestOf("airport-key")

// scriptedCaller calls a function before it returns the statement with the same index.
type scriptedCaller struct {
	fakeCaller
	before map[int]func()
	sent   int
}

func (c *scriptedCaller) Next(deadline time.Time) (statement.Statement, error) {
	if before := c.before[c.sent]; before != nil {
		before()
	}
	c.sent++
	return c.fakeCaller.Next(deadline)
}

// waitingCaller sends nothing and ends when it is interrupted.
type waitingCaller struct {
	fakeCaller
	interrupted chan struct{}
}

func (c *waitingCaller) Next(time.Time) (statement.Statement, error) {
	<-c.interrupted
	return statement.Statement{}, ErrInterrupted
}

func (c *waitingCaller) Interrupt() { close(c.interrupted) }

// setCustomers puts a configuration in force in which the customers hold the keys. The
// database "bounded" is open to anyone.
func (f *fixture) setCustomers(keys map[customer.Name]customer.Digest) {
	old := f.manager.Config()
	var routes []routing.Route
	for _, database := range []string{"primary", "bounded", "read-your-writes"} {
		route, _ := old.Route(database)
		route.Anonymous = database == "bounded"
		routes = append(routes, route)
	}
	next := routing.New(old.Version+1, routes, map[cluster.GroupName]routing.Group{"g": {MaxConnections: 16}}, routing.Limits{})
	var list []customer.Customer
	for name, key := range keys {
		list = append(list, customer.Customer{Name: name, Keys: []customer.Digest{key}})
	}
	var err error
	if next.Customers, err = customer.New(list); err != nil {
		f.t.Fatal(err)
	}
	f.manager.SetConfig(next)
	f.manager.options.KeyRight.Confirm(next.Version, time.Now())
	f.manager.options.KeyRight.InForce(next.Version)
}

// TestWithdrawnKeys withdraws keys, and ends the proxy's right to use them, between and
// during the statements of a session.
func TestWithdrawnKeys(t *testing.T) {
	withdraw := func(f *fixture) { f.setCustomers(map[customer.Name]customer.Digest{"airport": airportKey}) }
	move := func(f *fixture) { f.setCustomers(map[customer.Name]customer.Digest{"airport": harbourKey}) }
	endRight := func(f *fixture) { f.manager.options.KeyRight = keyright.New(time.Minute) }
	tests := []struct {
		name, database string
		key            customer.Digest
		texts          []string
		// event happens before the statement at, or, if inBegin is true, while the
		// server begins the transaction.
		event        func(*fixture)
		at           int
		inBegin      bool
		want         string
		wantReceived string
	}{
		{"the key stands", "primary", harbourKey, []string{"READ 1", "BEGIN", "WRITE 1 x", "COMMIT"}, nil, 0, false, "ok I; ok T; ok T; ok I", "READ 1; begin; WRITE 1 x; COMMIT"},
		{"no key", "primary", customer.Digest{}, []string{"READ 1", "READ 2"}, nil, 0, false, "unknown-key I", ""},
		{"withdrawn between statements", "primary", harbourKey, []string{"READ 1", "READ 2", "READ 3"}, withdraw, 1, false, "ok I; unknown-key I", "READ 1"},
		{"withdrawn before a rollback", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "ROLLBACK"}, withdraw, 2, false, "ok T; ok T; unknown-key E", "begin; WRITE 1 x"},
		{"withdrawn before a commit", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "COMMIT"}, withdraw, 2, false, "ok T; ok T; unknown-key E", "begin; WRITE 1 x"},
		{"withdrawn as the statement goes out", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "READ 1"}, withdraw, 0, true, "ok T; unknown-key E", "begin"},
		{"another customer's inside a transaction", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "WRITE 2 y", "ROLLBACK", "READ 1"}, move, 2, false, "ok T; ok T; bad-statement E; ok I; ok I", "begin; WRITE 1 x; READ 1"},
		{"the right has ended", "primary", harbourKey, []string{"READ 1", "READ 2"}, endRight, 1, false, "ok I; busy I", "READ 1"},
		{"the right ends inside a transaction", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "WRITE 2 y", "ROLLBACK"}, endRight, 2, false, "ok T; ok T; aborted E; ok I", "begin; WRITE 1 x"},
		{"the right ends before a commit", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "COMMIT"}, endRight, 2, false, "ok T; ok T; aborted I", "begin; WRITE 1 x"},
		{"the right ends as the statement goes out", "primary", harbourKey, []string{"BEGIN", "WRITE 1 x", "ROLLBACK"}, endRight, 0, true, "ok T; busy E; ok I", "begin"},
		{"no key needed", "bounded", customer.Digest{}, []string{"WRITE 1 x"}, endRight, 0, false, "ok I", "WRITE 1 x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.manager.options.KeyRight = keyright.New(time.Minute)
			f.setCustomers(map[customer.Name]customer.Digest{"harbour": harbourKey, "airport": airportKey})
			caller := &scriptedCaller{}
			for i, text := range test.texts {
				caller.statements = append(caller.statements, parse(i, text))
			}
			switch {
			case test.inBegin:
				f.scriptResponses("p", "begin", scriptedResponse{beforeResponse: func() { test.event(f) }})
			case test.event != nil:
				caller.before = map[int]func(){test.at: func() { test.event(f) }}
			}
			err := f.manager.Serve(caller, test.database, test.key, time.Now())
			var got []string
			for _, a := range caller.answers {
				got = append(got, a.Code.String()+" "+[...]string{"I", "T", "E"}[a.State])
			}
			if strings.Join(got, "; ") != test.want {
				t.Errorf("got answers %q, want %q", strings.Join(got, "; "), test.want)
			}
			if ended := errors.Is(err, errKeyWithdrawn); ended != strings.Contains(test.want, "unknown-key") {
				t.Errorf("got the session ended by %v", err)
			}
			received := slices.DeleteFunc(f.servers["p"].receivedStatements, func(text string) bool { return text == "rollback" })
			if strings.Join(received, "; ") != test.wantReceived {
				t.Errorf("got %q at the server, want %q", received, test.wantReceived)
			}
		})
	}
}

// TestRefusalsForTheKeyAreExplained checks the fields of the log that explain reads.
func TestRefusalsForTheKeyAreExplained(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	f.manager.options.KeyRight = keyright.New(8 * time.Second)
	f.setCustomers(map[customer.Name]customer.Digest{"harbour": harbourKey})
	f.manager.options.Now = func() time.Time { return now.Add(9 * time.Second) }
	s := &session{manager: f.manager, database: "primary", key: harbourKey}
	tests := []struct {
		cause cause
		want  string
	}{
		{causeUnknownKey, "[version 2 withdrawn-in 2 key-digest " + harbourKey.String()[:8] + "]"},
		{causeNoKeyRight, "[right-ended-ms-ago "},
		{causeQueue, "[]"},
		{"", "[]"},
	}
	for _, test := range tests {
		if got := fmt.Sprint(s.refusalDetails(test.cause)); !strings.HasPrefix(got, test.want) {
			t.Errorf("%q: got %s, want %s", test.cause, got, test.want)
		}
	}
	if got := f.manager.options.KeyRight.EndedFor(now.Add(9 * time.Second)); got < time.Second || got > 2*time.Second {
		t.Errorf("got the right ended for %v, want between 1 and 2 s", got)
	}
}

// TestWithdrawnKeysAreLogged withdraws more keys at once than are logged. The lines are
// as package trace reads them.
func TestWithdrawnKeysAreLogged(t *testing.T) {
	f := newFixture(t)
	f.manager.options.KeyRight = keyright.New(time.Minute)
	var lines []string
	f.manager.options.Logger = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	const withdrawn = maxWithdrawnLogged + 5
	keys := map[customer.Name]customer.Digest{"standing": harbourKey}
	for i := range withdrawn {
		keys[customer.Name(fmt.Sprintf("c%02d", i))] = customer.DigestOf(fmt.Sprint("key ", i))
	}
	f.setCustomers(keys)
	f.setCustomers(keys)
	f.setCustomers(map[customer.Name]customer.Digest{"renamed": harbourKey})
	want := fmt.Sprintf(`"level"=0 "msg"="key withdrawn" "customer"="c00" "key-digest"=%q "version"=4`, customer.DigestOf("key 0").ForLog())
	if len(lines) != maxWithdrawnLogged+1 || lines[0] != want {
		t.Fatalf("got %d lines %q, want %d, the first %s", len(lines), lines, maxWithdrawnLogged+1, want)
	}
	if want := `"level"=0 "msg"="more keys withdrawn" "withdrawn"=5 "version"=4`; lines[maxWithdrawnLogged] != want {
		t.Errorf("got %s as the last line, want %s", lines[maxWithdrawnLogged], want)
	}
}

// TestIdleSessionsOfAWithdrawnKeyEnd withdraws the key of one of two idle sessions.
func TestIdleSessionsOfAWithdrawnKeyEnd(t *testing.T) {
	f := newFixture(t)
	f.setCustomers(map[customer.Name]customer.Digest{"harbour": harbourKey, "airport": airportKey})
	withdrawn, standing := &waitingCaller{interrupted: make(chan struct{})}, &waitingCaller{interrupted: make(chan struct{})}
	var ended, other errgroup.Group
	ended.Go(func() error { return f.manager.Serve(withdrawn, "primary", harbourKey, time.Now()) })
	other.Go(func() error { return f.manager.Serve(standing, "primary", airportKey, time.Now()) })
	for f.manager.Count() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.setCustomers(map[customer.Name]customer.Digest{"airport": airportKey})
	if err := ended.Wait(); !errors.Is(err, errKeyWithdrawn) {
		t.Errorf("got %v from the session of the withdrawn key, want its end", err)
	}
	select {
	case <-standing.interrupted:
		t.Error("the session of a key that stands was interrupted")
	default:
	}
	f.setCustomers(nil)
	if err := other.Wait(); !errors.Is(err, errKeyWithdrawn) {
		t.Errorf("got %v from the session of the other key once it is withdrawn, want its end", err)
	}
}
