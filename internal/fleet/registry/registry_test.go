package registry

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestAnnounceGoesOnlyForward(t *testing.T) {
	start := time.Unix(1000, 0)
	born := time.UnixMilli(50)
	base := Server{Name: "s", Group: "g", Slots: 2, StartedAt: born, Sequence: 5}
	with := func(change func(*Server)) Server {
		s := base
		change(&s)
		return s
	}
	tests := []struct {
		name        string
		next        Server
		wantChanged bool
		wantBorn    time.Time
		wantDrain   bool
	}{
		{"same sequence", base, false, born, false},
		{"late", with(func(s *Server) { s.Sequence = 4; s.Draining = true }), false, born, false},
		{"only newer", with(func(s *Server) { s.Sequence = 6 }), false, born, false},
		{"drains", with(func(s *Server) { s.Sequence = 6; s.Draining = true }), true, born, true},
		{"started again with a low sequence", with(func(s *Server) { s.Sequence = 1; s.StartedAt = born.Add(time.Second) }), true, born.Add(time.Second), false},
		{"earlier start with a high sequence", with(func(s *Server) { s.Sequence = 99; s.StartedAt = born.Add(-time.Second); s.Draining = true }), false, born, false},
	}
	for _, test := range tests {
		r := New()
		r.Register(base, start)
		if got := r.Register(test.next, start.Add(time.Second)); got != test.wantChanged {
			t.Errorf("%s: got changed %v, want %v", test.name, got, test.wantChanged)
		}
		got, _ := r.Get("s")
		if !got.StartedAt.Equal(test.wantBorn) || got.Draining != test.wantDrain {
			t.Errorf("%s: got born %v draining %v, want %v %v", test.name, got.StartedAt, got.Draining, test.wantBorn, test.wantDrain)
		}
	}
}

func TestLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	born := time.UnixMilli(50)
	later := born.Add(time.Second)
	tests := []struct {
		name      string
		leaving   time.Time
		announced Server
		want      bool
	}{
		{"late announcement of the start that left", born, Server{Name: "s", StartedAt: born, Sequence: 9}, false},
		{"the name starts again", born, Server{Name: "s", StartedAt: later, Sequence: 1}, true},
		{"start that isn't told", time.Time{}, Server{Name: "s", StartedAt: born, Sequence: 9}, false},
	}
	for _, test := range tests {
		r := New()
		r.Register(Server{Name: "s", StartedAt: born, Sequence: 1}, now)
		r.Deregister("s", test.leaving, now)
		r.Register(test.announced, now)
		if _, got := r.Get("s"); got != test.want {
			t.Errorf("%s: got known %v, want %v", test.name, got, test.want)
		}
	}
}

func TestLeaveOfAnEarlierStartChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Register(Server{Name: "s", StartedAt: time.UnixMilli(90), Sequence: 1}, now)
	if got := r.Deregister("s", time.UnixMilli(50), now); got {
		t.Errorf("got the later start taken out by the leave of an earlier one, want it kept")
	}
}

func TestDrainingSinceIsKept(t *testing.T) {
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
	dropped := r.Expire(5*time.Second, now.Add(11*time.Second))
	if len(dropped) != 1 || dropped[0] != "old" {
		t.Errorf("got dropped %v, want [old]", dropped)
	}
	r.Retain(map[cluster.ServerName]bool{"new": true})
	if got := r.List(); len(got) != 1 || got[0].Name != "new" {
		t.Errorf("got %v, want the server new alone", got)
	}
	if got := r.Groups(); len(got) != 1 || got[0] != "b" {
		t.Errorf("got groups %v, want [b]", got)
	}
}
