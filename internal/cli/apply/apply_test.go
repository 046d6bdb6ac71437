package apply_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/cli/apply"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const declarations = "format: burdockwood-1\ngroups: [{name: a}]\n"

// fakeControl accepts every change as version 1 and reports the given proxies.
type fakeControl struct {
	controlpb.Control
	// lostResponses is the number of calls of Apply, from the first on, whose
	// response is lost.
	lostResponses int
	requests      []*controlpb.ApplyRequest
	proxies       []*controlpb.ProxyStatus
}

func (c *fakeControl) GetDeclarations(context.Context, *controlpb.GetDeclarationsRequest) (*controlpb.GetDeclarationsResponse, error) {
	return &controlpb.GetDeclarationsResponse{}, nil
}

func (c *fakeControl) Apply(_ context.Context, request *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	c.requests = append(c.requests, request)
	if len(c.requests) <= c.lostResponses {
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the outcome is unknown")
	}
	return &controlpb.ApplyResponse{Accepted: true, Version: 1}, nil
}

func (c *fakeControl) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return &controlpb.StatusResponse{Version: 1, Proxies: c.proxies}, nil
}

func TestApplyRetriesWithSameChangeID(t *testing.T) {
	control := &fakeControl{lostResponses: 2}
	out, err := run(t, control)
	if err != nil || !strings.Contains(out, "version 1 is accepted") {
		t.Fatalf("got %q, %v, want version 1 accepted", out, err)
	}
	if got, want := len(control.requests), 3; got != want {
		t.Fatalf("requests: got %d, want %d", got, want)
	}
	for _, request := range control.requests {
		if got, want := request.GetChangeId(), control.requests[0].GetChangeId(); got != want || got == "" {
			t.Errorf("change identifier: got %q, want %q", got, want)
		}
	}
}

func TestApplyWaitReportsProxiesWithOlderVersion(t *testing.T) {
	control := &fakeControl{proxies: []*controlpb.ProxyStatus{
		{Proxy: &controlpb.ProxyPeer{Name: "p1"}, Version: 1},
		{Proxy: &controlpb.ProxyPeer{Name: "p2"}},
		{Proxy: &controlpb.ProxyPeer{Name: "p3"}, LastHeardMs: 60000},
	}}
	_, err := run(t, control, "--wait", "--wait-time=300ms")
	if got, want := exit.CodeOf(err), exit.WaitTimeout; got != want {
		t.Fatalf("exit code: got %d (%v), want %d", got, err, want)
	}
	want := "on 1 of 2 live proxies, missing on p2; not heard of: p3"
	if !strings.Contains(err.Error(), want) {
		t.Errorf("error: got %q, want %q in it", err, want)
	}
}

// run runs the command apply against a control node and returns its output.
func run(t *testing.T, control controlpb.Control, args ...string) (string, error) {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "a.yaml"), []byte(declarations), 0o600); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return transport.Serve(ctx, listener, controlpb.NewControlServer(control)) })
	defer func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}()
	var out strings.Builder
	f := factory.New("test")
	f.Streams = &iostreams.Streams{In: strings.NewReader(""), Out: &out, Err: &strings.Builder{}}
	args = append(args, "-f", folder, "--control", listener.Addr().String())
	err = apply.NewCmdApply(f).Execute(ctx, f.Streams, args, nil)
	return out.String(), err
}
