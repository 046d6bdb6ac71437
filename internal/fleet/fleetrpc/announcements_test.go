package fleetrpc

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// leadingLog is the log of a single node, which always leads.
type leadingLog struct{ *singlenode.Log }

func (leadingLog) Changes() <-chan struct{} { return nil }

func newService(now func() time.Time) *Service {
	log := leadingLog{Log: singlenode.New(state.New(), "leader", netip.MustParseAddrPort("127.0.0.1:1"))}
	return New(Options{Name: "leader", ConsensusLog: log, Now: now, Logger: logr.Discard()})
}

// TestLeaderNamesFollowers has a leader name nodes for the later announcements of 300
// servers, while it hears of two followers and after one of them is silent.
func TestLeaderNamesFollowers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newService(func() time.Time { return now })
	tests := []struct {
		name      string
		followers map[cluster.NodeName]time.Time
		want      []cluster.NodeName
	}{
		{"no follower", nil, []cluster.NodeName{"leader"}},
		{"two followers", map[cluster.NodeName]time.Time{"a": now, "b": now}, []cluster.NodeName{"a", "b"}},
		{"one silent", map[cluster.NodeName]time.Time{"a": now, "b": now.Add(-2 * followerTimeout)}, []cluster.NodeName{"a"}},
	}
	for _, test := range tests {
		s.announcements.followers = test.followers
		named := map[cluster.NodeName]int{}
		for i := range 300 {
			named[s.announcementNode(cluster.ServerName(fmt.Sprint("s", i)))]++
		}
		for _, node := range test.want {
			if least := 300 / len(test.want) / 2; named[node] < least {
				t.Errorf("%s: got node %s named %d times, want at least %d; all %v", test.name, node, named[node], least, named)
			}
		}
		if len(named) != len(test.want) {
			t.Errorf("%s: got nodes %v, want %v", test.name, named, test.want)
		}
	}
}

// TestUnreachedLeaderAcknowledgesNothing takes an announcement at a node whose batches
// reach no leader.
func TestUnreachedLeaderAcknowledgesNothing(t *testing.T) {
	s := newService(time.Now)
	c, err := coordinator.New(coordinator.Options{
		ConsensusLog: s.options.ConsensusLog.(leadingLog), Machine: state.New(), Now: time.Now, Logger: logr.Discard(),
		Backends: struct{ coordinator.Backends }{}, Promoter: struct{ coordinator.Promoter }{},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.options.Coordinator = c // it doesn't run, so it doesn't lead
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if s.sendDue(ctx) {
		t.Error("got a batch sent without a leader")
	}
	server := registry.Server{Name: "s", Group: "g", Address: netip.MustParseAddrPort("127.0.0.1:1"), Sequence: 1}
	if _, err := s.TakeAnnouncement(ctx, server, false); !errors.Is(err, ErrNoLeader) {
		t.Errorf("got %v, want ErrNoLeader", err)
	}
}
