package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const testGroup = cluster.GroupName("g")

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// primaries returns what the control plane announces about testGroup. An empty primary
// means that the primary is being replaced, by a switchover if planned is true.
func primaries(term cluster.Term, primary cluster.ServerName, planned bool) map[cluster.GroupName]GroupPrimary {
	return map[cluster.GroupName]GroupPrimary{testGroup: {Term: term, Primary: primary, Planned: planned}}
}

func TestBeginUse(t *testing.T) {
	tests := []struct {
		name string
		act  func(*Holder)
		at   time.Time
		want error
	}{
		{"the lease was never granted", func(*Holder) {}, at(0), ErrNoLease},
		{"renewed without primaries", func(h *Holder) { h.Renew(at(5000), nil, at(0)) }, at(1), ErrNoPrimary},
		{"the lease and the primary are in force", func(h *Holder) { h.Renew(at(5000), primaries(3, "p", false), at(0)) }, at(4999), nil},
		{"the lease has expired", func(h *Holder) { h.Renew(at(5000), primaries(3, "p", false), at(0)) }, at(5000), ErrNoLease},
		{
			"the primary is being replaced",
			func(h *Holder) {
				h.Renew(at(5000), primaries(3, "p", false), at(0))
				h.Renew(at(5000), primaries(4, "", true), at(10))
			},
			at(20), ErrPrimaryChanging,
		},
		{
			"an earlier term arrives late",
			func(h *Holder) {
				h.Renew(at(5000), primaries(4, "", false), at(0))
				h.Renew(at(5000), primaries(3, "p", false), at(10))
			},
			at(20), ErrPrimaryChanging,
		},
		{
			"a renewal doesn't shorten the lease",
			func(h *Holder) {
				h.Renew(at(5000), primaries(3, "p", false), at(0))
				h.Renew(at(1000), nil, at(0))
			},
			at(4000), nil,
		},
	}
	for _, test := range tests {
		holder := New()
		test.act(holder)
		if _, got := holder.BeginUse(testGroup, test.at); !errors.Is(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestReleaseOfATerm(t *testing.T) {
	tests := []struct {
		name      string
		planned   bool
		endUse    bool
		now       time.Time
		want      cluster.Term
		wantValid bool
	}{
		{"failover: at once, even with a permit in use", false, false, at(11), 4, false},
		{"switchover: not while a permit is in use", true, false, at(11), 3, true},
		{"switchover: at once after the last use ended", true, true, at(11), 4, false},
		{"switchover: after the drain time", true, false, at(10).Add(termDrainTime), 4, false},
	}
	for _, test := range tests {
		holder := New()
		holder.Renew(at(5000), primaries(3, "p", false), at(0))
		permit, err := holder.BeginUse(testGroup, at(1))
		if err != nil {
			t.Fatal(err)
		}
		holder.Renew(at(5000), primaries(4, "", test.planned), at(10))
		if test.endUse {
			holder.EndUse(permit, at(10))
		}
		holder.ReleaseDue(test.now)
		if got := holder.MinUsableTerms()[testGroup]; got != test.want {
			t.Errorf("%s: got term %d released, want %d", test.name, got, test.want)
		}
		if got := holder.Valid(permit, test.now); got != test.wantValid {
			t.Errorf("%s: got permit valid %v, want %v", test.name, got, test.wantValid)
		}
	}
}

func TestPermitOfAnEarlierTermStaysInvalid(t *testing.T) {
	holder := New()
	holder.Renew(at(5000), primaries(3, "p", false), at(0))
	permit, err := holder.BeginUse(testGroup, at(1))
	if err != nil {
		t.Fatal(err)
	}
	holder.Renew(at(5000), primaries(4, "", false), at(10))
	holder.Renew(at(5000), primaries(4, "p", false), at(20))
	if holder.Valid(permit, at(21)) {
		t.Error("the permit of term 3 is valid in term 4 of the same server, want it invalid")
	}
	holder.EndUse(permit, at(22))
	if _, err := holder.BeginUse(testGroup, at(23)); err != nil {
		t.Errorf("BeginUse in the new term: %v, want no error", err)
	}
}

func TestWaitersAreNotified(t *testing.T) {
	holder := New()
	holder.Renew(at(5000), primaries(3, "", false), at(0))
	changed := holder.PrimaryUsable()
	holder.Renew(at(5000), primaries(3, "p", false), at(10))
	select {
	case <-changed:
	default:
		t.Error("the channel isn't closed after a primary became usable")
	}
	released := holder.TermReleased()
	holder.Renew(at(5000), primaries(4, "", false), at(20))
	select {
	case <-released:
	default:
		t.Error("the channel isn't closed after a term was released")
	}
}

// TestExpiredLeaseEndsTheDrainOfATerm simulates a proxy that was frozen for longer
// than its lease while a switchover began. Control didn't wait for it. The renewal
// that announces the switchover must not make permits of the old term valid again.
func TestExpiredLeaseEndsTheDrainOfATerm(t *testing.T) {
	tests := []struct {
		name string
		// renewedAt is when the switchover is announced, in milliseconds. The
		// lease expires at 3500 ms.
		renewedAt int
		wantValid bool
	}{
		{"the lease is in force: transactions may finish", 3000, true},
		{"the lease had expired", 4000, false},
	}
	for _, test := range tests {
		holder := New()
		holder.Renew(at(3500), primaries(3, "p", false), at(0))
		permit, err := holder.BeginUse("g", at(10))
		if err != nil {
			t.Fatal(err)
		}
		holder.Renew(at(test.renewedAt+3500), primaries(4, "", true), at(test.renewedAt))
		if got := holder.Valid(permit, at(test.renewedAt+1)); got != test.wantValid {
			t.Errorf("%s: got the old term's permit valid %v, want %v", test.name, got, test.wantValid)
		}
	}
}

// TestExpiredLeaseNeedsConfirmation guards against the use of a primary that was replaced
// while this proxy was suspended: the response that grants the next lease may not say
// which primaries are in force.
func TestExpiredLeaseNeedsConfirmation(t *testing.T) {
	all, none := func(cluster.GroupName) bool { return true }, func(cluster.GroupName) bool { return false }
	tests := []struct {
		name string
		// renewedAt is when the next response is applied, to a lease that ends at
		// 5000.
		renewedAt int
		next      map[cluster.GroupName]GroupPrimary
		confirm   func(cluster.GroupName) bool
		wantErr   error
		wantValid bool
	}{
		{"before the end, nothing said", 4999, nil, none, nil, true},
		{"at the end, nothing said", 5000, nil, none, ErrPrimaryChanging, false},
		{"after the end, nothing said", 9000, nil, none, ErrPrimaryChanging, false},
		{"after the end, confirmed", 9000, nil, all, nil, true},
		{"after the end, named again", 9000, primaries(3, "p", false), none, nil, true},
		{"after the end, replaced", 9000, primaries(4, "q", false), none, nil, false},
		{"after the end, being replaced", 9000, primaries(4, "", true), all, ErrPrimaryChanging, false},
		{"after the end, from a leader that is behind", 9000, primaries(2, "o", false), none, ErrPrimaryChanging, false},
	}
	for _, test := range tests {
		holder := New()
		holder.Renew(at(5000), primaries(3, "p", false), at(0))
		permit, err := holder.BeginUse(testGroup, at(1))
		if err != nil {
			t.Fatal(err)
		}
		holder.Renew(at(test.renewedAt+5000), test.next, at(test.renewedAt))
		holder.Confirm(test.confirm)
		if got := holder.Valid(permit, at(test.renewedAt+1)); got != test.wantValid {
			t.Errorf("%s: got the earlier permit valid %v, want %v", test.name, got, test.wantValid)
		}
		if _, err := holder.BeginUse(testGroup, at(test.renewedAt+1)); !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.wantErr)
		}
	}
}

// TestConfirmationNotifies checks that statements that wait for a primary go on once it is
// confirmed.
func TestConfirmationNotifies(t *testing.T) {
	holder := New()
	holder.Renew(at(5000), primaries(3, "p", false), at(0))
	holder.Renew(at(15000), nil, at(9000))
	usable := holder.PrimaryUsable()
	holder.Confirm(func(cluster.GroupName) bool { return true })
	select {
	case <-usable:
	default:
		t.Error("got no notification, want one: the primary is usable again")
	}
}
