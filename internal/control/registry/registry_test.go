package registry_test

import (
	"errors"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var now = time.Unix(1_000_000, 0)

// announcement returns a valid announcement of a replica with an empty log.
func announcement(name cluster.ServerName, port uint16) cluster.Announcement {
	return cluster.Announcement{
		ServerStatus: cluster.ServerStatus{Server: name, Group: "g", DataCentre: "dc", Role: cluster.RoleReplica},
		Address:      netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		Slots:        2, Connections: 16, Incarnation: 5,
	}
}

func TestRefusedAnnouncementsChangeNothing(t *testing.T) {
	known, err := registry.Accept(nil, announcement("s1", 1), now)
	if err != nil {
		t.Fatalf("Accept: %v", err)
	}
	tests := []struct {
		name   string
		change func(*cluster.Announcement)
		// after is the time since the accepted announcement.
		after time.Duration
		want  error
	}{
		{"accepted: repeated announcement", func(*cluster.Announcement) {}, 0, nil},
		{"missing name", func(a *cluster.Announcement) { a.Server = "" }, 0, registry.ErrMalformed},
		{"missing data centre", func(a *cluster.Announcement) { a.DataCentre = "" }, 0, registry.ErrMalformed},
		{"missing role", func(a *cluster.Announcement) { a.Role = cluster.RoleUnknown }, 0, registry.ErrMalformed},
		{"address without port", func(a *cluster.Announcement) { a.Address = netip.AddrPortFrom(a.Address.Addr(), 0) }, 0, registry.ErrMalformed},
		{"unspecified address", func(a *cluster.Announcement) { a.Address = netip.MustParseAddrPort("0.0.0.0:1") }, 0, registry.ErrMalformed},
		{"no slots", func(a *cluster.Announcement) { a.Slots = 0 }, 0, registry.ErrMalformed},
		{"promise out of range", func(a *cluster.Announcement) { a.Promised = 1 << 63 }, 0, registry.ErrMalformed},
		{"log above the promised term", func(a *cluster.Announcement) { a.Received.Term = 1 }, 0, registry.ErrMalformed},
		{"applied past the end of the log", func(a *cluster.Announcement) { a.Applied.Position = 1 }, 0, registry.ErrMalformed},
		{"older incarnation", func(a *cluster.Announcement) { a.Incarnation = 4 }, 0, registry.ErrOldIncarnation},
		{"name of a live server", func(a *cluster.Announcement) {
			a.Incarnation, a.Address = 6, netip.MustParseAddrPort("127.0.0.1:2")
		}, registry.SilentAfter, registry.ErrNameTaken},
		{"accepted: name of a silent server at another address", func(a *cluster.Announcement) {
			a.Incarnation, a.Address = 6, netip.MustParseAddrPort("127.0.0.1:2")
		}, registry.SilentAfter + 1, nil},
		{"address of a live server", func(a *cluster.Announcement) { a.Server = "s2" }, 0, registry.ErrAddressTaken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := announcement("s1", 1)
			tt.change(&a)
			before := maps.Clone(known)
			next, err := registry.Accept(known, a, now.Add(tt.after))
			if !errors.Is(err, tt.want) {
				t.Errorf("Accept error = %v, want %v", err, tt.want)
			}
			if err != nil && len(next) != len(before) {
				t.Errorf("%d servers after a refused announcement, want %d", len(next), len(before))
			}
		})
	}
}

func TestInitialVotersWaitForAllAndPreferLongLogs(t *testing.T) {
	var known registry.Servers
	for i, name := range []cluster.ServerName{"s1", "s2", "s3", "s4"} {
		if _, _, ok := registry.InitialVoters(known, 3, now); ok && i < 3 {
			t.Errorf("InitialVoters of %d servers returned ok, want ok only with 3 or more servers", i)
		}
		a := announcement(name, uint16(i+1))
		if name == "s4" {
			a.Promised, a.Received = 7, cluster.LogPosition{Term: 6, Position: 9}
		}
		known, _ = registry.Accept(known, a, now)
	}
	voters, highestPromised, ok := registry.InitialVoters(known, 3, now)
	if !ok || highestPromised != 7 || len(voters) != 3 || voters[2] != "s4" {
		t.Errorf("InitialVoters = %v, highest promised term %d, %v; want three with s4, highest promised term 7", voters, highestPromised, ok)
	}
}
