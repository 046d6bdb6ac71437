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
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// TestUnreachableServersDontDelayChecks guards against checks that are delayed by
// connections being opened: more servers than maxConcurrentOpens don't answer.
func TestUnreachableServersDontDelayChecks(t *testing.T) {
	answer := make(chan struct{})
	m := New(Options{
		Dial: func(registry.Server, customer.Name, time.Duration) (backend.Conn, error) {
			<-answer
			return nil, backend.ErrTimeout
		},
		Now: time.Now, Logger: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return m.Run(ctx) })
	var servers []registry.Server
	for i := range 3 * maxConcurrentOpens {
		servers = append(servers, registry.Server{Name: cluster.ServerName(fmt.Sprint("s", i)), Group: "g", Slots: 2})
	}
	m.SetServers(servers, func(registry.Server) ownership.ConnectionPlan {
		return ownership.ConnectionPlan{OwnsConnections: true, Share: 1, OwnerCount: 1}
	})
	for len(m.openRequests) > 2*maxConcurrentOpens-1 { // all openers are busy, and one more waits
		time.Sleep(time.Millisecond)
	}
	checked := false
	start := time.Now()
	for i := 0; i < 2000 && !checked; i++ {
		time.Sleep(5 * time.Millisecond)
		lastTick := m.stallDetector.lastTick.Load()
		checked = lastTick != nil && lastTick.After(start)
	}
	if !checked {
		t.Error("the pools weren't checked while connections were being opened")
	}
	close(answer)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
