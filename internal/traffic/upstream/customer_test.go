package upstream

import (
	"errors"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// TestConnectionsServeOneCustomer runs statements of more customers than the server
// accepts connections: each runs on a connection of its own customer, and an idle one of
// another customer is closed for it.
func TestConnectionsServeOneCustomer(t *testing.T) {
	servers := &fakeServers{limit: 3}
	_, pool := newManager(servers, 1)
	for _, name := range []customer.Name{"a", "b", "a", "c", "d", "", "b", "a"} {
		o := options(time.Second)
		o.Customer = name
		conn, err := pool.Acquire(o)
		if err != nil {
			t.Fatal(err)
		}
		if conn.customer != name {
			t.Errorf("got a connection of customer %q for work of %q", conn.customer, name)
		}
		request := statement.Request{Statement: statement.Statement{Verb: statement.Read}, Customer: name}
		if _, err := conn.Do(request, o.Deadline); err != nil {
			t.Error(err)
		}
		request.Customer = "another"
		if _, err := conn.Do(request, o.Deadline); !errors.Is(err, backend.ErrNotSent) {
			t.Errorf("another customer's statement on a connection of %q: got %v, want ErrNotSent", name, err)
		}
		conn.Release()
	}
	if servers.open > servers.limit || len(servers.requests) != 8 {
		t.Errorf("got %d connections and %d statements, want at most %d and 8", servers.open, len(servers.requests), servers.limit)
	}
}
