package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
)

// endingLog refuses commands as the log of a node that was just replaced as the leader: the
// leadership ends while the first one is on its way.
type endingLog struct {
	Log
	t        *testing.T
	end      context.CancelFunc
	commands int
}

func (l *endingLog) Propose(context.Context, []byte) ([]byte, error) {
	l.end()
	if l.commands++; l.commands > 3 {
		l.t.Fatal("servers are saved again and again after the end of the leadership")
	}
	return nil, consensus.ErrNotLeader
}

func TestSavingServersEndsWithTheLeadership(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := &endingLog{t: t, end: cancel}
	c := &Coordinator{options: Options{ConsensusLog: log, Logger: logr.Discard(), Now: time.Now}}
	l := &leadership{registry: registry.New(), unsaved: newUnsavedServers()}
	l.unsaved.add("server-1")
	if err := c.saveServers(ctx, l); err != nil {
		t.Errorf("got %v, want none", err)
	}
	if got := len(l.unsaved.names); got != 1 {
		t.Errorf("got %d unsaved servers, want 1: it isn't stored", got)
	}
}
