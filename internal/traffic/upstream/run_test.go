package upstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// TestUnreachableServersDontStallTheLook has more servers to open connections to
// than are opened at once, none of which answers.
func TestUnreachableServersDontStallTheLook(t *testing.T) {
	answer := make(chan struct{})
	m := New(Options{
		Dial: func(registry.Server, time.Duration) (backend.Conn, error) {
			<-answer
			return nil, backend.ErrTimeout
		},
		Now: time.Now, Logger: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return m.Run(ctx) })
	var servers []registry.Server
	for i := range 3 * openerLimit {
		servers = append(servers, registry.Server{Name: cluster.ServerName(fmt.Sprint("s", i)), Group: "g", Slots: 2})
	}
	m.SetServers(servers, func(registry.Server) ownership.Plan {
		return ownership.Plan{OwnsConnections: true, Share: 1, OwnerCount: 1}
	})
	for len(m.toOpen) > 2*openerLimit-1 { // the openers are busy, and one more waits
		time.Sleep(time.Millisecond)
	}
	looked := false
	start := time.Now()
	for i := 0; i < 2000 && !looked; i++ {
		time.Sleep(5 * time.Millisecond)
		ticked := m.stalls.ticked.Load()
		looked = ticked != nil && ticked.After(start)
	}
	if !looked {
		t.Error("got no look at the servers while connections are being opened")
	}
	close(answer)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
