package customer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	oldKey = "an-old-key-of-the-hotel"
	newKey = "a-new-key-of-the-hotel"
)

// fakeControl keeps the text of the declarations. Its one proxy has the version laggard
// versions before the newest in force.
type fakeControl struct {
	controlpb.Control
	texts   []string
	laggard uint64
	// failAt is the number of the call of Apply that is refused; 0: none.
	failAt int
	calls  int
}

func (c *fakeControl) GetDeclarations(context.Context, *controlpb.GetDeclarationsRequest) (*controlpb.GetDeclarationsResponse, error) {
	return &controlpb.GetDeclarationsResponse{Version: uint64(len(c.texts)), Declarations: c.texts[len(c.texts)-1]}, nil
}

func (c *fakeControl) Apply(_ context.Context, request *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	c.calls++
	if c.calls == c.failAt || request.GetExpectVersion() != uint64(len(c.texts)) {
		return nil, twirp.NewError(twirp.InvalidArgument, "refused by the test")
	}
	c.texts = append(c.texts, request.GetDeclarations())
	return &controlpb.ApplyResponse{Accepted: true, Version: uint64(len(c.texts))}, nil
}

func (c *fakeControl) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	version := uint64(len(c.texts)) - c.laggard
	return &controlpb.StatusResponse{Proxies: []*controlpb.ProxyStatus{{Proxy: &controlpb.ProxyPeer{Name: "p1"}, Version: version}}}, nil
}

func TestRotateKeyGoesOnAfterAFailure(t *testing.T) {
	control := &fakeControl{texts: []string{declared("a", oldKey) + declaredNext("b", "the-other-customers-key")}, failAt: 2}
	if _, err := run(t, control, "rotate-key", "a", "--yes"); err == nil {
		t.Fatal("the second step is refused: got no error")
	}
	if got, want := keysOf(t, control, "a"), []string{oldKey, newKey}; !slices.Equal(got, want) {
		t.Fatalf("keys after the first step: got %q, want %q", got, want)
	}
	control.laggard = 1
	if _, err := run(t, control, "rotate-key", "a", "--yes", "--wait-time=200ms"); err == nil || len(keysOf(t, control, "a")) != 2 {
		t.Fatalf("while a proxy lags: got %v and the keys %q, want an error and both keys", err, keysOf(t, control, "a"))
	}
	control.laggard = 0
	for range 2 {
		out, err := run(t, control, "rotate-key", "a", "--yes")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := keysOf(t, control, "a"), []string{newKey}; !slices.Equal(got, want) {
			t.Errorf("keys: got %q, want %q", got, want)
		}
		if strings.Contains(out, newKey) || strings.Contains(strings.Join(control.texts, ""), newKey) {
			t.Errorf("output or declarations: got the key in %q, want digests only", out)
		}
	}
	if got, want := len(control.texts), 3; got != want {
		t.Errorf("versions: got %d, want %d", got, want)
	}
	if got := keysOf(t, control, "b"); len(got) != 1 {
		t.Errorf("keys of the other customer: got %q, want one", got)
	}
}

func TestRotateKeyWithoutWithdrawal(t *testing.T) {
	control := &fakeControl{texts: []string{declared("a", oldKey)}}
	out, err := run(t, control, "rotate-key", "a", "--dry-run")
	if err != nil || len(control.texts) != 1 || !strings.Contains(out, "+key added: ") || !strings.Contains(out, "-key removed: ") {
		t.Errorf("dry run: got %q, %v and %d versions, want both steps and no change", out, err, len(control.texts))
	}
	if _, err := run(t, control, "rotate-key", "a"); err == nil || len(control.texts) != 1 {
		t.Errorf("without --yes: got %v and %d versions, want an error and no change", err, len(control.texts))
	}
	if _, err := run(t, control, "rotate-key", "a", "--add-only"); err != nil || len(keysOf(t, control, "a")) != 2 {
		t.Errorf("--add-only: got %v and the keys %q, want both keys", err, keysOf(t, control, "a"))
	}
}

func TestPlanRotation(t *testing.T) {
	first, second := customer.DigestOf("first-key"), customer.DigestOf("second-key")
	next := customer.DigestOf(newKey)
	tests := []struct {
		name string
		keys []customer.Digest
		old  string
		want rotation
		err  error
	}{
		{"no key yet", nil, "", rotation{add: true}, nil},
		{"one key", []customer.Digest{first}, "", rotation{add: true, old: first}, nil},
		{"added already", []customer.Digest{first, next}, "", rotation{old: first}, nil},
		{"done already", []customer.Digest{next}, first.String()[:6], rotation{}, nil},
		{"several keys", []customer.Digest{first, second}, "", rotation{}, errWhichKey},
		{"several keys, one named", []customer.Digest{first, second}, second.String()[:6], rotation{add: true, old: second}, nil},
		{"no such key", []customer.Digest{first}, "zzzzzz", rotation{}, errUnknownKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			declared := &declaration.Declarations{Customers: declaration.Customers{{Name: "a", Keys: test.keys}}}
			got, err := planRotation(declared, "a", next, test.old)
			if test.err == nil {
				test.want.name, test.want.next = "a", next
			}
			if !errors.Is(err, test.err) || got != test.want {
				t.Errorf("got %+v, %v, want %+v, %v", got, err, test.want, test.err)
			}
		})
	}
	taken := &declaration.Declarations{Customers: declaration.Customers{{Name: "a"}, {Name: "b", Keys: []customer.Digest{next}}}}
	if _, err := planRotation(taken, "a", next, ""); !errors.Is(err, errKeyTaken) {
		t.Errorf("key of another customer: got %v, want %v", err, errKeyTaken)
	}
}

func TestListPages(t *testing.T) {
	text := "format: burdockwood-1\ncustomers:\n"
	for i := range 700 {
		text += fmt.Sprintf("  - {name: customer-%03d}\n", i)
	}
	control := &fakeControl{texts: []string{text}}
	out, err := run(t, control, "list", "--after=customer-299")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 301 || lines[0] != "customer-300\t0\t0\t0\t1\t0" || lines[300] != "100 more: --after customer-599" {
		t.Errorf("second page: got %d lines from %q to %q, %v", len(lines), lines[0], lines[len(lines)-1], err)
	}
}

// TestWindowSumsProxies replays the counts of two proxies, one of which starts again.
func TestWindowSumsProxies(t *testing.T) {
	start := time.Unix(1000, 0)
	counts := func(admitted, refused int64) map[string]*scrape.Customer {
		return map[string]*scrape.Customer{
			"a": {Operations: map[string]int64{metrics.OutcomeAdmitted: admitted, metrics.OutcomeRefusedLimit: refused}, Tokens: 3, Connections: 2, Opened: admitted / 10},
			"b": {Operations: map[string]int64{metrics.OutcomeAdmitted: admitted / 3}},
		}
	}
	var w window
	for second := range 8 {
		n := int64(second) * 30
		proxies := map[string]map[string]*scrape.Customer{"p1": counts(n, n/30)}
		switch {
		case second < 6:
			proxies["p2"] = counts(n+900, 0)
		case second > 6: // not heard of at 6 s, started again before 7 s
			proxies["p2"] = counts(60, 0)
		}
		w.add(sample{at: start.Add(time.Duration(second) * time.Second), proxies: proxies})
	}
	got := w.uses()
	if len(got) != 2 || got[0].name != "a" {
		t.Fatalf("uses: got %+v, want those of a and b", got)
	}
	a := got[0]
	if a.now != 30 || a.admitted != 150+60 || a.recent != 42 || a.refused["limit"] != 5 || a.tokens != 6 || a.connections != 4 || a.opened != 15+6 {
		t.Errorf("a: got %+v, want 30 a second now, 210 in 5 s, 5 refused, 6 tokens, 4 connections, 21 opened", a)
	}
	if a.share != 0.75 {
		t.Errorf("share of a: got %v, want 0.75", a.share)
	}
}

func TestTopReadsAdminAddresses(t *testing.T) {
	registry := metrics.NewRegistry()
	operations := metrics.Counter(registry, metrics.CustomerOperations, metrics.LabelCustomer, "quarry", metrics.LabelOutcome, metrics.OutcomeAdmitted)
	metrics.Gauge(registry, metrics.CustomerConnections, metrics.LabelCustomer, "quarry").Update(4)
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		operations.Inc(5)
		if err := metrics.WriteJSON(w, registry); err != nil {
			t.Error(err)
		}
	})
	address := serve(t, mux)
	out, err := run(t, nil, "top", "--admin", address, "--admin", "127.0.0.1:1", "--interval=20ms", "--json=customer,connections,share-percent")
	if want := `[{"connections":4,"customer":"quarry","share-percent":100}]`; err != nil || !strings.Contains(out, want) || !strings.Contains(out, "127.0.0.1:1: ") {
		t.Errorf("got %q, %v, want %q and the proxy that doesn't answer", out, err, want)
	}
}

func declared(name, key string) string {
	return "format: burdockwood-1\ncustomers:\n" + declaredNext(name, key)
}

func declaredNext(name, key string) string {
	return fmt.Sprintf("  - {name: %s, key-digests: [%s]}\n", name, customer.DigestOf(key))
}

// keysOf returns which of the two keys a customer has, and the digests of others.
func keysOf(t *testing.T, control *fakeControl, name string) []string {
	t.Helper()
	parsed, problems := declaration.Parse(control.texts[len(control.texts)-1])
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	c, _ := parsed.Customer(customer.Name(name))
	names := map[customer.Digest]string{customer.DigestOf(oldKey): oldKey, customer.DigestOf(newKey): newKey}
	var keys []string
	for _, key := range c.Keys {
		if name, ok := names[key]; ok {
			keys = append(keys, name)
			continue
		}
		keys = append(keys, key.String())
	}
	return keys
}

// run runs a command with the new key on standard input, and returns both outputs.
func run(t *testing.T, control controlpb.Control, args ...string) (string, error) {
	t.Helper()
	if control != nil {
		args = append(args, "--control", serve(t, controlpb.NewControlServer(control)))
	}
	var out strings.Builder
	f := factory.New("test")
	f.Streams = &iostreams.Streams{In: strings.NewReader(newKey + "\n"), Out: &out, Err: &out}
	err := NewCmdCustomer(f).LinkParents().Execute(t.Context(), f.Streams, args, nil)
	return out.String(), err
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return transport.Serve(ctx, listener, handler) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}
