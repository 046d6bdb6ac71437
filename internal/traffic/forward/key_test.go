package forward

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

var testKey = customer.DigestOf("a-key")

// ownerState is what an owner knows of keys.
type ownerState struct {
	version  uint64
	holdsKey bool
	hasRight bool
}

// maySend decides by the state, which may change.
func (s *ownerState) maySend(t *testing.T) func(statement.Request, time.Time) error {
	return func(r statement.Request, now time.Time) error {
		right := keyright.New(time.Minute)
		if s.hasRight {
			right.Confirm(s.version, now)
			right.InForce(s.version)
		}
		return keyright.Check(r, right, func() *routing.Config {
			config := routing.New(s.version, nil, nil, routing.Limits{})
			c := customer.Customer{Name: "a"}
			if s.holdsKey {
				c.Keys = []customer.Digest{testKey}
			}
			var err error
			if config.Customers, err = customer.New([]customer.Customer{c}); err != nil {
				t.Error(err)
			}
			return config
		}, now)
	}
}

// keyedRequest returns a request of the customer "a" that version 5 accepted.
func keyedRequest(verb statement.Verb, text string) statement.Request {
	r := request(verb, text)
	r.Customer, r.Key, r.ConfigVersion = "a", testKey, 5
	return r
}

// TestOwnerChecksTheKey forwards statements to owners with older and newer configurations.
// An owner that can't tell doesn't send the statement, and another one is called.
func TestOwnerChecksTheKey(t *testing.T) {
	tests := []struct {
		name     string
		first    ownerState
		second   *ownerState
		wantCode statement.Code
		wantErr  error
		// wantRunOn is the owner that sends the statement, 1 or 2; zero: none.
		wantRunOn int
	}{
		{"same version", ownerState{5, true, true}, nil, statement.OK, nil, 1},
		{"newer without the key", ownerState{6, false, true}, nil, statement.UnknownKey, nil, 0},
		{"same version without the key", ownerState{5, false, true}, nil, statement.UnknownKey, nil, 0},
		{"older without the key", ownerState{4, false, true}, nil, statement.OK, backend.ErrNotSent, 0},
		{"older without the key, another with it", ownerState{4, false, true}, &ownerState{5, true, true}, statement.OK, nil, 2},
		{"older with the key", ownerState{4, true, true}, nil, statement.OK, nil, 1},
		{"no right", ownerState{5, true, false}, nil, statement.OK, backend.ErrNotSent, 0},
		{"no right, another with it", ownerState{5, true, false}, &ownerState{5, true, true}, statement.OK, nil, 2},
	}
	for _, test := range tests {
		servers := []*fakeServer{{}, {}}
		_, conn, _ := startOwnerWith(t, servers[0], 2, test.first.maySend(t))
		owners := conn.(*connection).owners
		if test.second != nil {
			_, second, _ := startOwnerWith(t, servers[1], 2, test.second.maySend(t))
			owners = append(owners, ownership.Peer{Name: "second", Address: second.(*connection).owners[0].Address})
		}
		// The statement decides which owner is called first.
		const statements = 8
		for i := range statements {
			conn := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", owners)
			answer, err := do(t, conn, keyedRequest(statement.Write, fmt.Sprint("WRITE ", i)))
			if !errors.Is(err, test.wantErr) || answer.Code != test.wantCode {
				t.Errorf("%s: got %v, %v, want %v, %v", test.name, answer.Code, err, test.wantCode, test.wantErr)
			}
		}
		for i, server := range servers {
			want := 0
			if test.wantRunOn == i+1 {
				want = statements
			}
			if got := len(server.receivedStatements); got != want {
				t.Errorf("%s: got %d statements run by owner %d, want %d", test.name, got, i+1, want)
			}
		}
	}
}

// TestOwnerRollsBackAfterAWithdrawal withdraws the key of an open transaction. The commit
// isn't sent, and the transaction's connection is closed.
func TestOwnerRollsBackAfterAWithdrawal(t *testing.T) {
	server, state := &fakeServer{}, &ownerState{5, true, true}
	service, conn, _ := startOwnerWith(t, server, 2, state.maySend(t))
	for _, r := range []statement.Request{request(statement.Begin, ""), keyedRequest(statement.Write, "WRITE 1 x")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	state.version, state.holdsKey = 6, false
	answer, err := do(t, conn, keyedRequest(statement.Commit, "COMMIT"))
	if err != nil || answer.Code != statement.UnknownKey {
		t.Errorf("got %v, %v, want the key unknown", answer.Code, err)
	}
	if want := []string{"begin", "WRITE 1 x"}; !slices.Equal(server.receivedStatements, want) || len(service.transactions) != 0 {
		t.Errorf("got %q at the server and %d open transactions, want %q and none", server.receivedStatements, len(service.transactions), want)
	}
}
