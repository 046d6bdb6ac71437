package leases

import (
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	leaseDuration = 5 * time.Second
	group         = cluster.GroupName("g")
)

var start = time.Unix(1000, 0)

// TestHolders asks which proxies may still use a primary of a term below 3. A new
// leader has just assumed leases of the proxies a and b, and then act runs.
func TestHolders(t *testing.T) {
	tests := []struct {
		name string
		act  func(*Table)
		at   time.Duration
		want []cluster.ProxyName
	}{
		{"a new leader waits for all registered proxies", func(*Table) {}, leaseDuration - 1, []cluster.ProxyName{"a", "b"}},
		{"a new leader waits no longer than a lease", func(*Table) {}, leaseDuration, nil},
		{
			"a proxy that released the term isn't a holder",
			func(table *Table) { table.Renew("a", 7, MinUsableTerms{group: 3}, start) },
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a proxy that released only an earlier term is a holder",
			func(table *Table) { table.Renew("a", 7, MinUsableTerms{group: 2}, start) },
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"a release between renewals counts",
			func(table *Table) {
				table.Renew("a", 7, nil, start)
				table.Release("a", 7, MinUsableTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a release by another incarnation doesn't count",
			func(table *Table) {
				table.Renew("a", 7, nil, start)
				table.Release("a", 8, MinUsableTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"a restarted proxy is a holder until it reports its released terms",
			func(table *Table) {
				table.Renew("a", 7, MinUsableTerms{group: 3}, start)
				table.Renew("a", 8, nil, start)
			},
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"a restarted proxy that reported the release isn't a holder",
			func(table *Table) {
				table.Renew("a", 7, nil, start)
				table.Renew("a", 8, nil, start)
				table.Release("a", 8, MinUsableTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a proxy that ended its lease isn't a holder",
			func(table *Table) {
				table.Renew("a", 7, nil, start)
				table.End("a", 7)
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a renewed lease expires later",
			func(table *Table) { table.Renew("a", 7, nil, start.Add(3*time.Second)) },
			leaseDuration,
			[]cluster.ProxyName{"a"},
		},
	}
	for _, test := range tests {
		table := New([]cluster.ProxyName{"a", "b"}, start, leaseDuration)
		test.act(table)
		if got := table.Holders(group, 3, start.Add(test.at)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestRemoveExpired(t *testing.T) {
	table := New([]cluster.ProxyName{"a", "b"}, start, leaseDuration)
	table.Renew("b", 1, nil, start.Add(time.Minute))
	if got := table.Count(start.Add(time.Minute)); got != 1 {
		t.Errorf("got %d valid leases, want 1", got)
	}
	if got := table.RemoveExpired(10*time.Second, start.Add(time.Minute)); !slices.Equal(got, []cluster.ProxyName{"a"}) {
		t.Errorf("got %v removed, want [a]", got)
	}
}
