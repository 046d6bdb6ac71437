package registry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// TestMissingLogs guards against the loss of commits that only a server that has left had:
// its log is missing until a later server of the group is registered at its address.
func TestMissingLogs(t *testing.T) {
	now := time.Unix(1000, 0)
	startedAt := time.Unix(500, 0)
	address, otherAddress := netip.MustParseAddrPort("10.0.0.1:8080"), netip.MustParseAddrPort("10.0.0.2:8080")
	missing := []cluster.ServerName{"s"}
	tests := []struct {
		name string
		// change is what happens one second after the server has left.
		change func(r *Registry, now time.Time)
		want   []cluster.ServerName
	}{
		{"left", func(*Registry, time.Time) {}, missing},
		{"left twice", func(r *Registry, now time.Time) { r.Deregister("s", time.Time{}, now) }, missing},
		{"a later process that wasn't registered left, too", func(r *Registry, now time.Time) { r.Deregister("s", now, now) }, missing},
		{"a server that wasn't registered left", func(r *Registry, now time.Time) { r.Deregister("unknown", time.Time{}, now) }, missing},
		{"new server at its address", func(r *Registry, now time.Time) {
			r.Register(Server{Name: "next", Group: "g", Address: address, StartedAt: now, Sequence: 1}, now)
		}, nil},
		{"new server at another address", func(r *Registry, now time.Time) {
			r.Register(Server{Name: "next", Group: "g", Address: otherAddress, StartedAt: now, Sequence: 1}, now)
		}, missing},
		{"new server of another group at its address", func(r *Registry, now time.Time) {
			r.Register(Server{Name: "next", Group: "other", Address: address, StartedAt: now, Sequence: 1}, now)
		}, missing},
		{"earlier server at its address", func(r *Registry, now time.Time) {
			r.Register(Server{Name: "next", Group: "g", Address: address, StartedAt: startedAt.Add(-time.Second), Sequence: 1}, now)
		}, missing},
		{"started again under its name", func(r *Registry, now time.Time) {
			r.Register(Server{Name: "s", Group: "g", Address: address, StartedAt: now, Sequence: 1}, now)
		}, nil},
		{"covered before it left", func(r *Registry, now time.Time) { r.CoverLogs("g", now.Add(-1500*time.Millisecond)) }, missing},
		{"covered since it left", func(r *Registry, now time.Time) { r.CoverLogs("g", now) }, nil},
		{"another group's logs are covered", func(r *Registry, now time.Time) { r.CoverLogs("other", now) }, missing},
		{"covered, then left again", func(r *Registry, now time.Time) {
			r.CoverLogs("g", now)
			r.Deregister("s", time.Time{}, now.Add(time.Second))
		}, nil},
		{"forgotten", func(r *Registry, now time.Time) { r.Expire(time.Second, now.Add(TombstoneTTL)) }, nil},
	}
	for _, test := range tests {
		r := New()
		r.Register(Server{Name: "s", Group: "g", Address: address, StartedAt: startedAt, Sequence: 1}, now)
		r.Deregister("s", time.Time{}, now)
		test.change(r, now.Add(time.Second))
		var got []cluster.ServerName
		for _, s := range r.MissingLogs("g", now.Add(-time.Second)) {
			got = append(got, s.Name)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got the logs of %v missing, want those of %v", test.name, got, test.want)
		}
		if got := r.MissingLogs("g", now.Add(time.Minute)); len(got) > 0 {
			t.Errorf("%s: got the logs of %v missing a minute later, want none", test.name, got)
		}
	}
}

// TestMissingLogOfAnyGroup checks a server of which an earlier release recorded no group: its
// log is missing in each group until that has covered it.
func TestMissingLogOfAnyGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.RestoreDeparted(DepartedServer{Name: "s", StartedAt: time.Unix(500, 0), DeregisteredAt: now})
	if got := r.CoverLogs("g", now.Add(-time.Second)); len(got) > 0 || len(r.MissingLogs("g", now.Add(-time.Second))) != 1 {
		t.Errorf("got the logs of %v covered, want that of s to be missing", got)
	}
	if got := r.CoverLogs("g", now); len(got) > 0 {
		t.Errorf("got the logs of %v covered for all groups, want none", got)
	}
	if got := r.MissingLogs("g", now.Add(-time.Second)); len(got) > 0 {
		t.Errorf("got the logs of %v missing in the group that covered it, want none", got)
	}
	if got := r.MissingLogs("other", now.Add(-time.Second)); len(got) != 1 {
		t.Errorf("got %d logs missing in another group, want 1", len(got))
	}
}

func TestSuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	address, otherAddress := netip.MustParseAddrPort("10.0.0.1:8080"), netip.MustParseAddrPort("10.0.0.2:8080")
	tests := []struct {
		name    string
		servers []Server
		// leaves has the server leave.
		leaves bool
		want   cluster.ServerName
	}{
		{"none", nil, false, ""},
		{"at another address", []Server{{Name: "next", Group: "g", Address: otherAddress, StartedAt: now}}, false, ""},
		{"of another group", []Server{{Name: "next", Group: "other", Address: address, StartedAt: now}}, false, ""},
		{"started earlier", []Server{{Name: "before", Group: "g", Address: address, StartedAt: now.Add(-2 * time.Minute)}}, false, ""},
		{"of a server that is registered still", []Server{{Name: "next", Group: "g", Address: address, StartedAt: now}}, false, "next"},
		{"of a server that left", []Server{{Name: "next", Group: "g", Address: address, StartedAt: now}}, true, "next"},
		{"the newest", []Server{{Name: "b", Group: "g", Address: address, StartedAt: now}, {Name: "a", Group: "g", Address: address, StartedAt: now.Add(time.Second)}}, true, "a"},
	}
	for _, test := range tests {
		r := New()
		r.Register(Server{Name: "s", Group: "g", Address: address, StartedAt: now.Add(-time.Minute)}, now)
		if test.leaves {
			r.Deregister("s", time.Time{}, now)
		}
		for _, s := range test.servers {
			r.Register(s, now)
		}
		if got, found := r.Successor("s"); got != test.want || found != (test.want != "") {
			t.Errorf("%s: got %q, %v, want %q", test.name, got, found, test.want)
		}
	}
	if got, found := New().Successor("unknown"); found {
		t.Errorf("got %q for a server that isn't known, want none", got)
	}
}
