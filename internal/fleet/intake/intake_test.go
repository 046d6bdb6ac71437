package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var start = time.Unix(1000, 0)

// leader is a leader's registry.
type leader struct {
	registry *registry.Registry
	epoch    uint64
	// calls and announcements count the batches and the announcements in full.
	calls, announcements int
}

func newLeader(epoch uint64) *leader { return &leader{registry: registry.New(), epoch: epoch} }

// exchange sends a table's next batch to the leader.
func (l *leader) exchange(t *Table, now time.Time) {
	batch := t.Next(now)
	l.calls++
	l.announcements += len(batch.Announcements)
	for _, a := range batch.Announcements {
		if a.Leaving {
			l.registry.Deregister(a.Server.Name, a.Server.StartedAt, now)
		} else {
			l.registry.Register(a.Server, now)
		}
	}
	var needed []cluster.ServerName
	for _, c := range batch.Confirmations {
		if !l.registry.Confirm(c.Name, c.Sequence, c.Digest, c.Age, now) {
			needed = append(needed, c.Name)
		}
	}
	t.Sent(batch, needed, l.epoch, now)
}

func server(name string, sequence uint64, startedAt time.Time, draining bool) coordinator.Announcement {
	return coordinator.Announcement{Server: registry.Server{
		Name: cluster.ServerName(name), Group: "g", Slots: 2, Role: cluster.RoleReplica, StartedAt: startedAt, Sequence: sequence, Draining: draining,
	}}
}

// TestReplay replays 12 s of announcements of 1,200 servers, each every 1.2 s, at five
// nodes. Forwarded one by one they were 12,000 calls of the leader. After 6 s another
// leader that knows no server takes over.
func TestReplay(t *testing.T) {
	const nodes, servers, interval, step = 5, 1200, 1200 * time.Millisecond, 10 * time.Millisecond
	tables := make([]*Table, nodes)
	for i := range tables {
		tables[i] = New()
	}
	l := newLeader(1)
	unanswered, first := 0, 0
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
		elapsed := now.Sub(start)
		if elapsed == 6*time.Second {
			first, l = l.calls, newLeader(2)
		}
		for i := range servers {
			// All start within 300 ms.
			if at := elapsed - time.Duration(i)*300*time.Millisecond/servers; at >= 0 && at%interval < step {
				if done := tables[i%nodes].Take(server(fmt.Sprint("s", i), uint64(at/interval)+1, start, false), now); done != nil {
					unanswered++
				}
			}
		}
		for _, table := range tables {
			if table.Due(now) == 0 {
				l.exchange(table, now)
			}
		}
	}
	for _, calls := range []int{first, l.calls} {
		// One for each ConfirmInterval, and one for each changeInterval while all
		// servers start or become known to the second leader.
		if want := nodes * (int(6*time.Second/ConfirmInterval) + int(300*time.Millisecond/changeInterval) + 2); calls > want {
			t.Errorf("got %d calls of a leader in 6 s, want at most %d", calls, want)
		}
	}
	if l.announcements != servers || l.registry.Len() != servers {
		t.Errorf("got %d announcements in full and %d servers at the second leader, want %d of each", l.announcements, l.registry.Len(), servers)
	}
	// The first of each server waits, and those that arrive while the second leader
	// lacks the server.
	if unanswered > servers+servers/10 {
		t.Errorf("got %d announcements that waited for a leader, want the first of each server and a tenth as many", unanswered)
	}
	if expired := l.registry.Expire(2*time.Second, start.Add(12*time.Second)); len(expired) > 0 {
		t.Errorf("got %d servers that the leader takes for silent, want none", len(expired))
	}
}

// TestTake checks which announcements wait for the leader. The node and the leader have
// an announcement with sequence 5 of a process that started at start.
func TestTake(t *testing.T) {
	leave := func(startedAt time.Time) coordinator.Announcement {
		return coordinator.Announcement{Server: registry.Server{Name: "s", StartedAt: startedAt}, Leaving: true}
	}
	tests := []struct {
		name  string
		next  coordinator.Announcement
		after time.Duration
		// wantWait is true if the announcement waits, wantFull if the leader is
		// sent all of it.
		wantWait, wantFull bool
	}{
		{"nothing new", server("s", 6, start, false), time.Second, false, false},
		{"late", server("s", 4, start, true), time.Second, false, false},
		{"of an earlier process", server("s", 99, start.Add(-time.Second), true), time.Second, false, false},
		{"draining", server("s", 6, start, true), time.Second, true, true},
		{"restarted", server("s", 1, start.Add(time.Second), false), time.Second, true, true},
		{"nothing new, without the leader", server("s", 6, start, false), 2 * time.Second, true, false},
		{"leave", leave(start), time.Second, true, true},
		{"leave of an earlier process", leave(start.Add(-time.Second)), time.Second, false, false},
		{"another server", server("s2", 1, start, false), time.Second, true, true},
	}
	for _, test := range tests {
		table, l := New(), newLeader(1)
		table.Take(server("s", 5, start, false), start)
		l.exchange(table, start)
		now := start.Add(test.after)
		done := table.Take(test.next, now)
		batch := table.Next(now)
		if got := done != nil; got != test.wantWait {
			t.Errorf("%s: got waits %v, want %v", test.name, got, test.wantWait)
		}
		if got := len(batch.Announcements) > 0; got != test.wantFull {
			t.Errorf("%s: got %d announcements in full, want %v", test.name, len(batch.Announcements), test.wantFull)
		}
		if done == nil {
			continue
		}
		select {
		case <-done:
			t.Errorf("%s: acknowledged before the leader has it", test.name)
		default:
		}
		l.exchange(table, now)
		select {
		case <-done:
		default:
			t.Errorf("%s: not acknowledged though the leader has it", test.name)
		}
	}
}

// TestAnotherNodeChangedServer lets a server announce another role through another node
// and then, through this one, what this one has of it.
func TestAnotherNodeChangedServer(t *testing.T) {
	table, other, l := New(), New(), newLeader(1)
	primary := server("s", 6, start, false)
	primary.Server.Role = cluster.RolePrimary
	table.Take(server("s", 5, start, false), start)
	l.exchange(table, start)
	other.Take(primary, start)
	l.exchange(other, start)
	table.Take(server("s", 7, start, false), start)
	l.exchange(table, start) // the leader finds that the digest differs
	l.exchange(table, start)
	if got, _ := l.registry.Get("s"); got.Role != cluster.RoleReplica || got.Sequence != 7 {
		t.Errorf("got role %v of sequence %d at the leader, want the replica of sequence 7", got.Role, got.Sequence)
	}
}
