package state

import (
	"maps"
	"net/netip"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

func apply(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	encoded, err := Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Decode(m.Apply(1, encoded))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestOlderDocumentIsNotStored(t *testing.T) {
	tests := []struct {
		name string
		next Document
		want Result
		body string
	}{
		{"newer", Document{Version: 8, Body: []byte("new")}, Result{Applied: true, Version: 8}, "new"},
		{"older", Document{Version: 3, Body: []byte("new")}, Result{Version: 7}, "old"},
		{"same version with another body", Document{Version: 7, Body: []byte("new")}, Result{Version: 7}, "old"},
	}
	for _, test := range tests {
		m := New()
		apply(t, m, Command{Document: &Document{Version: 7, Body: []byte("old")}})
		if got := apply(t, m, Command{Document: &test.next}); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
		if got := string(m.View().Document.Body); got != test.body {
			t.Errorf("%s: got body %q, want %q", test.name, got, test.body)
		}
	}
}

func TestPrimaryChangeFromStaleValueIsRejected(t *testing.T) {
	m := New()
	first := GroupPrimary{Term: 1, Primary: "p"}
	change := func(from, to GroupPrimary) bool {
		return apply(t, m, Command{Primary: &PrimaryChange{Group: "g", From: from, To: to}}).Applied
	}
	if !change(GroupPrimary{}, first) {
		t.Fatal("got the first primary rejected, want it applied")
	}
	if change(GroupPrimary{}, GroupPrimary{Term: 1, Primary: "q"}) {
		t.Error("got a change from a stale primary applied, want it rejected")
	}
	if got := m.View().Primaries["g"]; got != first {
		t.Errorf("got %+v, want %+v", got, first)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	m := New()
	apply(t, m, Command{Document: &Document{Version: 7, Body: []byte("body")}})
	apply(t, m, Command{Primary: &PrimaryChange{Group: "g", To: GroupPrimary{Term: 4, Phase: Promoting, Primary: "p", Target: "q", Planned: true, LogTerm: 3}}})
	apply(t, m, Command{AddProxies: []cluster.ProxyName{"a", "b"}})
	apply(t, m, Command{RemoveProxies: []cluster.ProxyName{"b"}})
	apply(t, m, Command{Servers: &ServerChanges{Put: map[cluster.ServerName]Server{"p": {Group: "g", Slots: 2}, "q": {Group: "g"}}}})
	apply(t, m, Command{Servers: &ServerChanges{Drop: []cluster.ServerName{"q"}}})
	apply(t, m, Command{LimitFloors: map[customer.Name]int{"kept": 7, "removed": 5}})
	apply(t, m, Command{LimitFloors: map[customer.Name]int{"removed": 0}})
	encoded, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	encodedAgain, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(encodedAgain), string(encoded); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := len(restored.View().Proxies); got != 1 {
		t.Errorf("got %d proxies, want 1", got)
	}
	if got := restored.View().Servers["p"].Slots; got != 2 {
		t.Errorf("got %d slots, want 2", got)
	}
	if got := restored.View().LimitFloors; len(got) != 1 || got["kept"] != 7 {
		t.Errorf("got the floors %v, want the kept one", got)
	}
}

// TestDepartedLogs checks that the log of a server that left is remembered as long as the server
// is, and that one of which an earlier release wrote nothing is told from a covered one.
func TestDepartedLogs(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:8080")
	missing, covered := DepartedLog{Group: "g", Address: address}, DepartedLog{Group: "g", Address: address, Covered: true}
	m := New()
	apply(t, m, Command{Servers: &ServerChanges{Departed: map[cluster.ServerName]int64{"earlier": 1}}})
	for name, log := range map[cluster.ServerName]DepartedLog{"missing": missing, "covered": missing, "forgotten": missing, "earlier-again": covered} {
		apply(t, m, Command{Servers: &ServerChanges{Departed: map[cluster.ServerName]int64{name: 2}, DepartedLogs: map[cluster.ServerName]DepartedLog{name: log}}})
	}
	apply(t, m, Command{Servers: &ServerChanges{
		Departed: map[cluster.ServerName]int64{"covered": 2}, DepartedLogs: map[cluster.ServerName]DepartedLog{"covered": covered},
		Forget: []cluster.ServerName{"forgotten"},
	}})
	apply(t, m, Command{Servers: &ServerChanges{Departed: map[cluster.ServerName]int64{"earlier-again": 3}}})
	encoded, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	if got, want := m.View().DepartedLogs, map[cluster.ServerName]DepartedLog{"missing": missing, "covered": covered}; !maps.Equal(got, want) {
		t.Errorf("got the logs %v, want %v", got, want)
	}
	if got := len(m.View().Departed); got != 4 {
		t.Errorf("got %d servers that left, want 4", got)
	}
}

func TestMalformedInput(t *testing.T) {
	m := New()
	if got := string(m.Apply(1, []byte("{"))); got == "" {
		t.Error("got no result for a command that can't be decoded, want one")
	}
	for _, text := range []string{"", "{", `{"format":9,"state":{}}`, `{"format":1,"state":null}`} {
		if err := m.Restore([]byte(text)); err == nil {
			t.Errorf("restore %q: got no error, want one", text)
		}
	}
}
