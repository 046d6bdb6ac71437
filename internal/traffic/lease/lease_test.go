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

func told(term cluster.Term, primary cluster.ServerName, planned bool) map[cluster.GroupName]GroupPrimary {
	return map[cluster.GroupName]GroupPrimary{testGroup: {Term: term, Primary: primary, Planned: planned}}
}

func TestBegin(t *testing.T) {
	tests := []struct {
		name string
		act  func(*Holder)
		at   time.Time
		want error
	}{
		{"nothing told", func(*Holder) {}, at(0), ErrNoLease},
		{"no primary told", func(t *Holder) { t.Renew(at(5000), nil, at(0)) }, at(1), ErrNoPrimary},
		{"in force", func(t *Holder) { t.Renew(at(5000), told(3, "p", false), at(0)) }, at(4999), nil},
		{"the lease has ended", func(t *Holder) { t.Renew(at(5000), told(3, "p", false), at(0)) }, at(5000), ErrNoLease},
		{
			"being replaced",
			func(t *Holder) {
				t.Renew(at(5000), told(3, "p", false), at(0))
				t.Renew(at(5000), told(4, "", true), at(10))
			},
			at(20), ErrPrimaryChanging,
		},
		{
			"an older primacy comes late",
			func(t *Holder) {
				t.Renew(at(5000), told(4, "", false), at(0))
				t.Renew(at(5000), told(3, "p", false), at(10))
			},
			at(20), ErrPrimaryChanging,
		},
		{
			"a shorter lease doesn't take back a longer one",
			func(t *Holder) {
				t.Renew(at(5000), told(3, "p", false), at(0))
				t.Renew(at(1000), nil, at(0))
			},
			at(4000), nil,
		},
	}
	for _, test := range tests {
		tenure := New()
		test.act(tenure)
		if _, got := tenure.BeginUse(testGroup, test.at); !errors.Is(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestRelease(t *testing.T) {
	tests := []struct {
		name     string
		planned  bool
		end      bool
		tick     time.Time
		want     cluster.Term
		wantHold bool
	}{
		{"a crash: at once, whatever is under way", false, false, at(11), 4, false},
		{"planned: what is under way may end", true, false, at(11), 3, true},
		{"planned: it ended", true, true, at(11), 4, false},
		{"planned: its time is over", true, false, at(10).Add(softRelease), 4, false},
	}
	for _, test := range tests {
		tenure := New()
		tenure.Renew(at(5000), told(3, "p", false), at(0))
		ticket, err := tenure.BeginUse(testGroup, at(1))
		if err != nil {
			t.Fatal(err)
		}
		tenure.Renew(at(5000), told(4, "", test.planned), at(10))
		if test.end {
			tenure.EndUse(ticket, at(10))
		}
		tenure.ReleaseDue(test.tick)
		if got := tenure.ReleasedTerms()[testGroup]; got != test.want {
			t.Errorf("%s: got term %d released, want %d", test.name, got, test.want)
		}
		if got := tenure.Valid(ticket, test.tick); got != test.wantHold {
			t.Errorf("%s: got ticket valid %v, want %v", test.name, got, test.wantHold)
		}
	}
}

func TestTicketOfAnEarlierTermIsNeverValidAgain(t *testing.T) {
	tenure := New()
	tenure.Renew(at(5000), told(3, "p", false), at(0))
	ticket, err := tenure.BeginUse(testGroup, at(1))
	if err != nil {
		t.Fatal(err)
	}
	tenure.Renew(at(5000), told(4, "", false), at(10))
	tenure.Renew(at(5000), told(4, "p", false), at(20))
	if tenure.Valid(ticket, at(21)) {
		t.Error("got the ticket of term 3 valid in term 4 of the same server, want it invalid")
	}
	tenure.EndUse(ticket, at(22))
	if _, err := tenure.BeginUse(testGroup, at(23)); err != nil {
		t.Errorf("got %v, want the new term usable", err)
	}
}

func TestChangedIsToldToThoseWhoWait(t *testing.T) {
	tenure := New()
	tenure.Renew(at(5000), told(3, "", false), at(0))
	changed := tenure.PrimaryUsable()
	tenure.Renew(at(5000), told(3, "p", false), at(10))
	select {
	case <-changed:
	default:
		t.Error("got no word of the new primary")
	}
	released := tenure.TermReleased()
	tenure.Renew(at(5000), told(4, "", false), at(20))
	select {
	case <-released:
	default:
		t.Error("got no word of the release")
	}
}

// TestALapsedLeaseEndsTheSoftTime has a proxy that was frozen for longer than its
// lease while a planned change began. Control didn't wait for it; the renewal that
// tells it of the change must not make the old term count again.
func TestALapsedLeaseEndsTheSoftTime(t *testing.T) {
	tests := []struct {
		name    string
		renewed int
		want    bool
	}{
		{"the lease is in force: transactions may end", 3000, true},
		{"it had lapsed", 4000, false},
	}
	for _, test := range tests {
		rights := New()
		rights.Renew(at(3500), told(3, "p", false), at(0))
		ticket, err := rights.BeginUse("g", at(10))
		if err != nil {
			t.Fatal(err)
		}
		rights.Renew(at(test.renewed+3500), told(4, "", true), at(test.renewed))
		if got := rights.Valid(ticket, at(test.renewed+1)); got != test.want {
			t.Errorf("%s: got the old term's ticket valid %v, want %v", test.name, got, test.want)
		}
	}
}
