package confirm

import (
	"context"
	"errors"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var (
	epoch = time.Unix(1000, 0)
	// members are three voters and a server that doesn't count for majorities.
	members = []Member{{"a", true}, {"b", true}, {"c", true}, {"d", false}}
)

// at returns the time ms milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// status returns the response of a server that has received and applied the log
// up to position.
func status(role cluster.Role, promised cluster.Term, position cluster.LogPosition) cluster.ServerStatus {
	return cluster.ServerStatus{Role: role, Promised: promised, Received: position, Applied: position}
}

// withoutWaiting calls wait with a cancelled context, so that it returns
// immediately.
func withoutWaiting(wait func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return wait(ctx)
}

// A read must be confirmed only if a majority of the voters, polled at or after
// its start, has promised no higher term. A write must be confirmed only if a
// majority has received it in its term. The responses are random.
func TestOnlyMajorityConfirms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const term = 3
		tracker := New()
		tracker.Configure(term, "a", members)
		last := map[cluster.ServerName]cluster.ServerStatus{}
		sent := map[cluster.ServerName]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			name := rapid.SampledFrom([]cluster.ServerName{"a", "b", "c", "d"}).Draw(t, "server")
			when := at(rapid.IntRange(0, 20).Draw(t, "sent"))
			position := cluster.LogPosition{Term: term, Position: cluster.Position(rapid.Uint64Range(0, 5).Draw(t, "position"))}
			answer := status(cluster.RoleReplica, cluster.Term(rapid.Uint64Range(2, 4).Draw(t, "promised")), position)
			tracker.Observe(name, when, answer)
			if !when.Before(sent[name]) {
				sent[name], last[name] = when, answer
			}
			checkWrite(t, tracker, last)
		}
		checkRead(t, tracker, sent, last)
	})
}

func checkWrite(t *rapid.T, tracker *Tracker, last map[cluster.ServerName]cluster.ServerStatus) {
	position := cluster.LogPosition{Term: 3, Position: 3}
	held := 1 // the primary counts, since it has committed it
	for _, name := range []cluster.ServerName{"b", "c"} {
		s, known := last[name]
		if known && s.Promised == 3 && s.Received.Covers(position) {
			held++
		}
	}
	err := withoutWaiting(func(ctx context.Context) error { return tracker.ConfirmWrite(ctx, position, epoch) })
	if (err == nil) != (held >= 2) {
		t.Fatalf("write confirmed = %v, received by %d of 3 voters", err == nil, held)
	}
}

// checkRead checks a read that starts after all polls so far: it isn't
// confirmed until two voters respond to later polls.
func checkRead(t *rapid.T, tracker *Tracker, sent map[cluster.ServerName]time.Time, last map[cluster.ServerName]cluster.ServerStatus) {
	since := at(21)
	if err := withoutWaiting(func(ctx context.Context) error { return tracker.ConfirmRead(ctx, 3, since) }); err == nil {
		t.Fatalf("a read was confirmed by responses to polls sent before it started: %v, %v", sent, last)
	}
	for i, name := range []cluster.ServerName{"a", "b"} {
		tracker.Observe(name, at(22+i), status(cluster.RoleReplica, 3, cluster.LogPosition{}))
	}
	if err := withoutWaiting(func(ctx context.Context) error { return tracker.ConfirmRead(ctx, 3, since) }); err != nil {
		t.Fatalf("a read with two responses to later polls = %v, want nil", err)
	}
}

func TestNewTermFailsPendingReadsAndWrites(t *testing.T) {
	tracker := New()
	tracker.Configure(1, "a", members)
	var group errgroup.Group
	started := make(chan struct{}, 2)
	tracker.OnPendingRead = func() { started <- struct{}{} }
	tracker.OnPendingWrite = tracker.OnPendingRead
	group.Go(func() error {
		return tracker.ConfirmWrite(context.Background(), cluster.LogPosition{Term: 1, Position: 9}, epoch)
	})
	group.Go(func() error { return tracker.ConfirmRead(context.Background(), 1, at(5)) })
	<-started
	<-started
	tracker.Configure(2, "b", members)
	if err := group.Wait(); !errors.Is(err, ErrPrimaryReplaced) {
		t.Errorf("pending read or write = %v, want ErrPrimaryReplaced", err)
	}
	if err := tracker.ConfirmRead(context.Background(), 1, at(5)); !errors.Is(err, ErrPrimaryReplaced) {
		t.Errorf("read of the old term = %v, want ErrPrimaryReplaced", err)
	}
}

// A partitioned primary must not make replicas appear fresh.
func TestFreshAtNeedsMajorityConfirmation(t *testing.T) {
	tracker := New()
	tracker.Configure(1, "a", members)
	position := cluster.LogPosition{Term: 1, Position: 4}
	tracker.Observe("b", at(1), status(cluster.RoleReplica, 1, position))
	tracker.Observe("a", at(5), status(cluster.RolePrimary, 1, position))
	if got := freshAt(tracker, "b"); !got.IsZero() {
		t.Errorf("fresh at %v before a majority confirmed the time, want unknown", got)
	}
	tracker.Observe("c", at(6), status(cluster.RoleReplica, 2, position))
	if got := freshAt(tracker, "b"); !got.IsZero() {
		t.Errorf("fresh at %v after the response of a voter of a higher term, want unknown", got)
	}
	tracker.Observe("b", at(7), status(cluster.RoleReplica, 1, position))
	if got := freshAt(tracker, "b"); !got.Equal(at(5)) {
		t.Errorf("fresh at %v, want %v", got, at(5))
	}
}

func freshAt(tracker *Tracker, name cluster.ServerName) time.Time {
	for _, p := range tracker.Progress() {
		if p.Server == name {
			return p.FreshAt
		}
	}
	return time.Time{}
}
