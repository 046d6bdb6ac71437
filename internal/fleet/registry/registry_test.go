package registry

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestRegisterIgnoresOlderAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	startedAt := time.UnixMilli(50)
	// Slots, the number of requests that the server executes at once, has no
	// influence here.
	base := Server{Name: "s", Group: "g", Slots: 2, StartedAt: startedAt, Sequence: 5}
	modified := func(change func(*Server)) Server {
		s := base
		change(&s)
		return s
	}
	tests := []struct {
		name          string
		next          Server
		wantChanged   bool
		wantStartedAt time.Time
		wantDraining  bool
	}{
		{"same sequence", base, false, startedAt, false},
		{"lower sequence", modified(func(s *Server) { s.Sequence = 4; s.Draining = true }), false, startedAt, false},
		{"higher sequence without a change", modified(func(s *Server) { s.Sequence = 6 }), false, startedAt, false},
		{"server starts to drain", modified(func(s *Server) { s.Sequence = 6; s.Draining = true }), true, startedAt, true},
		{"restarted server with a lower sequence", modified(func(s *Server) { s.Sequence = 1; s.StartedAt = startedAt.Add(time.Second) }), true, startedAt.Add(time.Second), false},
		{"earlier process with a higher sequence", modified(func(s *Server) { s.Sequence = 99; s.StartedAt = startedAt.Add(-time.Second); s.Draining = true }), false, startedAt, false},
	}
	for _, test := range tests {
		r := New()
		r.Register(base, now)
		if got := r.Register(test.next, now.Add(time.Second)); got != test.wantChanged {
			t.Errorf("%s: got changed %v, want %v", test.name, got, test.wantChanged)
		}
		got, _ := r.Get("s")
		if !got.StartedAt.Equal(test.wantStartedAt) || got.Draining != test.wantDraining {
			t.Errorf("%s: got start time %v, draining %v, want %v %v", test.name, got.StartedAt, got.Draining, test.wantStartedAt, test.wantDraining)
		}
	}
}

func TestRegisterAfterDeregister(t *testing.T) {
	now := time.Unix(1000, 0)
	startedAt := time.UnixMilli(50)
	restartedAt := startedAt.Add(time.Second)
	tests := []struct {
		name         string
		deregistered time.Time
		announced    Server
		want         bool
	}{
		{"delayed announcement of the deregistered process", startedAt, Server{Name: "s", StartedAt: startedAt, Sequence: 9}, false},
		{"announcement of a new process", startedAt, Server{Name: "s", StartedAt: restartedAt, Sequence: 1}, true},
		{"deregistered without a start time", time.Time{}, Server{Name: "s", StartedAt: startedAt, Sequence: 9}, false},
	}
	for _, test := range tests {
		r := New()
		r.Register(Server{Name: "s", StartedAt: startedAt, Sequence: 1}, now)
		r.Deregister("s", test.deregistered, now)
		r.Register(test.announced, now)
		if _, got := r.Get("s"); got != test.want {
			t.Errorf("%s: got registered %v, want %v", test.name, got, test.want)
		}
	}
}

func TestDeregisterOfEarlierProcessIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Register(Server{Name: "s", StartedAt: time.UnixMilli(90), Sequence: 1}, now)
	if got := r.Deregister("s", time.UnixMilli(50), now); got {
		t.Errorf("got the server of a later process removed by deregistering an earlier process, want it kept")
	}
}

func TestDrainingSinceKeepsFirstTime(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Register(Server{Name: "s", Sequence: 1, Draining: true}, now)
	r.Register(Server{Name: "s", Sequence: 2, Draining: true}, now.Add(3*time.Second))
	got, _ := r.Get("s")
	if !got.DrainingSince.Equal(now) {
		t.Errorf("got draining since %v, want %v", got.DrainingSince, now)
	}
}

func TestExpireAndRetain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Register(Server{Name: "old", Group: "a", Sequence: 1}, now)
	r.Register(Server{Name: "new", Group: "b", Sequence: 1}, now.Add(10*time.Second))
	r.Register(Server{Name: "other", Group: "b", Sequence: 1}, now.Add(10*time.Second))
	expired := r.Expire(5*time.Second, now.Add(11*time.Second))
	if len(expired) != 1 || expired[0] != "old" {
		t.Errorf("got expired %v, want [old]", expired)
	}
	r.Retain(map[cluster.ServerName]bool{"new": true})
	if got := r.List(); len(got) != 1 || got[0].Name != "new" {
		t.Errorf("got %v, want only the server new", got)
	}
	if got := r.Groups(); len(got) != 1 || got[0] != "b" {
		t.Errorf("got groups %v, want [b]", got)
	}
}
