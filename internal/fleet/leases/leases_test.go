package leases

import (
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	lease = 5 * time.Second
	group = cluster.GroupName("g")
)

var start = time.Unix(1000, 0)

func TestHolders(t *testing.T) {
	tests := []struct {
		name string
		act  func(*Table)
		at   time.Duration
		want []cluster.ProxyName
	}{
		{"a new leader waits for all that are known", func(*Table) {}, lease - 1, []cluster.ProxyName{"a", "b"}},
		{"and no longer than a lease", func(*Table) {}, lease, nil},
		{
			"a release counts",
			func(l *Table) { l.Renew("a", 7, ReleasedTerms{group: 3}, start) },
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a release of an earlier term doesn't",
			func(l *Table) { l.Renew("a", 7, ReleasedTerms{group: 2}, start) },
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"a release between renewals counts",
			func(l *Table) {
				l.Renew("a", 7, nil, start)
				l.Release("a", 7, ReleasedTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"that of another start doesn't",
			func(l *Table) {
				l.Renew("a", 7, nil, start)
				l.Release("a", 8, ReleasedTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"a proxy that started again counts until it says what it released",
			func(l *Table) {
				l.Renew("a", 7, ReleasedTerms{group: 3}, start)
				l.Renew("a", 8, nil, start)
			},
			time.Second,
			[]cluster.ProxyName{"a", "b"},
		},
		{
			"and no longer",
			func(l *Table) {
				l.Renew("a", 7, nil, start)
				l.Renew("a", 8, nil, start)
				l.Release("a", 8, ReleasedTerms{group: 3})
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a proxy that left holds nothing",
			func(l *Table) {
				l.Renew("a", 7, nil, start)
				l.End("a", 7)
			},
			time.Second,
			[]cluster.ProxyName{"b"},
		},
		{
			"a lease that was renewed lasts longer",
			func(l *Table) { l.Renew("a", 7, nil, start.Add(3*time.Second)) },
			lease,
			[]cluster.ProxyName{"a"},
		},
	}
	for _, test := range tests {
		l := New([]cluster.ProxyName{"a", "b"}, start, lease)
		test.act(l)
		if got := l.Holders(group, 3, start.Add(test.at)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestForget(t *testing.T) {
	l := New([]cluster.ProxyName{"a", "b"}, start, lease)
	l.Renew("b", 1, nil, start.Add(time.Minute))
	if got := l.Count(start.Add(time.Minute)); got != 1 {
		t.Errorf("got %d live, want 1", got)
	}
	if got := l.RemoveExpired(10*time.Second, start.Add(time.Minute)); !slices.Equal(got, []cluster.ProxyName{"a"}) {
		t.Errorf("got %v forgotten, want [a]", got)
	}
}
