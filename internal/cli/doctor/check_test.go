package doctor

import (
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

func TestCheckStatus(t *testing.T) {
	declared, problems := declaration.Parse("format: burdockwood-1\ngroups: [{name: a}, {name: b}]\n")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	status := &controlpb.StatusResponse{
		Leader:  "n1",
		Version: 7,
		Nodes: []*controlpb.NodeStatus{
			{Name: "n1", Voter: true, Leader: true}, {Name: "n2", Voter: true, LastHeardMs: 60000},
			{Name: "n3"}, {Name: "n4", Voter: true},
		},
		Groups: []*controlpb.Group{{Name: "a", Term: 2, Primary: "x", Members: []*controlpb.Member{{Server: "x"}, {Server: "y", Silent: true}}}},
		Servers: []*controlpb.ServerStatus{
			{Group: "a", Member: &controlpb.Member{Server: "x", Connections: 16}},
		},
		Proxies: []*controlpb.ProxyStatus{
			{Proxy: &controlpb.ProxyPeer{Name: "p1"}, Version: 6, Uses: []*controlpb.GrantUse{{Server: "a/x", Open: 9}}},
			{Proxy: &controlpb.ProxyPeer{Name: "p2"}, Version: 7, Draining: true, Uses: []*controlpb.GrantUse{{Server: "a/x", Open: 8}}},
			{Proxy: &controlpb.ProxyPeer{Name: "p3"}, LastHeardMs: 9000},
		},
		Findings: []string{"a finding of control"},
	}
	var got []string
	for _, f := range checkStatus(status, declared) {
		got = append(got, f.level+" "+f.check+" "+f.text)
	}
	want := []string{
		"ok leader n1 leads 4 nodes",
		"warning members 4 control nodes survive no more losses than 3",
		"error control node n2 is silent for 1m0s",
		"warning control node n3 has no vote yet",
		"warning proxy p1 has version 6, not 7",
		"warning proxy p2 is draining",
		"warning proxy p3 is silent for 9s",
		"ok proxies 2 live",
		"warning group a 1 of 3 servers are live",
		"error group b no primary is in force, 0 of 3 servers are live",
		"error server a/x proxies hold 17 connections, it accepts 16",
		"warning control a finding of control",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestCheckGroupsWithoutDeclarations(t *testing.T) {
	got := checkGroups(&controlpb.StatusResponse{}, &declaration.Declarations{})
	if len(got) != 1 || got[0].level != levelError || got[0].text != "no group is declared" {
		t.Errorf("got %v, want the error that no group is declared", got)
	}
}

func TestSkewOf(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		date time.Time
		want time.Duration
	}{
		{at, 0},
		{at.Add(-time.Second), 0},
		{at.Add(-11 * time.Second), 10 * time.Second},
		{at.Add(10 * time.Second), 9 * time.Second},
	}
	for _, test := range tests {
		if got := skewOf(test.date, at, at.Add(time.Second)); got != test.want {
			t.Errorf("date %v: got %v, want %v", test.date, got, test.want)
		}
	}
}

func TestCheckCustomers(t *testing.T) {
	declared := &declaration.Declarations{}
	for _, name := range []customer.Name{"hotel", "quarry", "idle"} {
		declared.Customers = append(declared.Customers, customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(string(name))}})
	}
	counts := map[string]map[string]int64{
		"hotel":  {metrics.OutcomeAdmitted: 900, metrics.OutcomeRefusedLimit: 80, metrics.OutcomeRefusedRight: 20},
		"quarry": {metrics.OutcomeAdmitted: 960, metrics.OutcomeRefusedLimit: 40},
		"":       {metrics.OutcomeRefusedKey: 200},
		"small":  {metrics.OutcomeRefusedLimit: 9},
	}
	var got []string
	for _, f := range append(checkRefusals(counts), checkUnusedKeys(declared, counts)...) {
		got = append(got, f.level+" "+f.check+" "+f.text)
	}
	want := []string{
		"warning unknown keys 200 of 200 operations were refused, most for key",
		"warning customer hotel 100 of 1000 operations were refused, most for limit",
		"warning keys nobody has used the keys of idle since these proxies started",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	counts[metrics.OtherTenant] = map[string]int64{metrics.OutcomeAdmitted: 1}
	if got := checkUnusedKeys(declared, counts); len(got) > 0 {
		t.Errorf("while customers are counted together: got %v, want no finding", got)
	}
}
