package declaration

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Index answers which selector and group a request gets. It is read-only
	// and safe for concurrent use. A lookup looks at the selectors that name
	// the caller's database and at those that name none.
	Index struct {
		groups map[cluster.GroupName]*Group
		// ordered holds the selectors, the first that matches decides.
		ordered []compiled
		// byDatabase and anyDatabase hold positions in ordered, ascending.
		byDatabase  map[string][]int
		anyDatabase []int
	}

	compiled struct {
		selector *Selector
		targets  *targets
	}
)

// Compile builds the index of the declarations. The declarations must not
// change afterwards.
func (d *Declarations) Compile() *Index {
	x := &Index{
		groups:     make(map[cluster.GroupName]*Group, len(d.Groups)),
		byDatabase: make(map[string][]int),
	}
	for i := range d.Groups {
		x.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	groups := newFinder(d.Groups)
	for _, s := range d.SelectorsByPriority() {
		x.add(compiled{selector: s, targets: groups.find(s.Groups)})
	}
	return x
}

// Select returns the selector and group of a request. Steps stay empty.
func (d *Declarations) Select(caller Caller, request Request) Match {
	return d.compiledIndex().Select(caller, request)
}

// Explain does what Select does and tells why in Steps.
func (d *Declarations) Explain(caller Caller, request Request) Match {
	return d.compiledIndex().Explain(caller, request)
}

// Group returns the declared group of that name.
func (x *Index) Group(name cluster.GroupName) (*Group, bool) {
	g, ok := x.groups[name]
	return g, ok
}

// Select returns the selector and group of a request. Steps stay empty.
func (x *Index) Select(caller Caller, request Request) Match {
	if len(x.ordered) == 0 {
		return x.byName(caller.Database)
	}
	own := x.byDatabase[caller.Database]
	rest := x.anyDatabase
	for len(own) > 0 || len(rest) > 0 {
		var next int
		if len(rest) == 0 || len(own) > 0 && own[0] < rest[0] {
			next, own = own[0], own[1:]
		} else {
			next, rest = rest[0], rest[1:]
		}
		c := x.ordered[next]
		if c.selector.matches(&caller, &request) {
			return c.match(caller.Database)
		}
	}
	return Match{}
}

func (x *Index) add(c compiled) {
	position := len(x.ordered)
	x.ordered = append(x.ordered, c)
	databases := c.selector.Callers.Databases
	if len(databases) == 0 {
		x.anyDatabase = append(x.anyDatabase, position)
	}
	for i, name := range databases {
		if !slices.Contains(databases[:i], name) {
			x.byDatabase[name] = append(x.byDatabase[name], position)
		}
	}
}

// byName is the rule of declarations without selectors.
func (x *Index) byName(database string) Match {
	name := cluster.GroupName(database)
	if _, ok := x.groups[name]; !ok {
		return Match{}
	}
	return Match{Found: true, Group: name}
}

func (c compiled) match(database string) Match {
	group, ok := c.targets.choose(database)
	return Match{Found: ok, Selector: c.selector, Group: group}
}

func (d *Declarations) compiledIndex() *Index {
	if d.index != nil {
		return d.index
	}
	return d.Compile()
}

// SelectorsByPriority returns the selectors, the first to decide first.
func (d *Declarations) SelectorsByPriority() []*Selector {
	ordered := make([]*Selector, 0, len(d.Selectors))
	for i := range d.Selectors {
		ordered = append(ordered, &d.Selectors[i])
	}
	slices.SortStableFunc(ordered, func(a, b *Selector) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

func (s *Selector) matches(caller *Caller, request *Request) bool {
	return oneOf(s.Callers.Databases, caller.Database) &&
		oneOf(s.Callers.Users, caller.User) &&
		oneOf(s.Callers.Applications, caller.Application) &&
		inside(s.Callers.Addresses, caller.Address) &&
		contains(caller.Labels, s.Callers.Labels) &&
		oneOf(s.Requests.Kinds, request.Kind) &&
		contains(request.Labels, s.Requests.Labels)
}

// oneOf reports whether got is in list; an empty list holds everything.
func oneOf[T comparable](list []T, got T) bool {
	return len(list) == 0 || slices.Contains(list, got)
}

// inside reports whether one of the prefixes holds address; an empty list
// holds every address.
func inside(prefixes []netip.Prefix, address netip.Addr) bool {
	if len(prefixes) == 0 {
		return true
	}
	address = address.Unmap()
	for _, p := range prefixes {
		if p.Contains(address) {
			return true
		}
	}
	return false
}

// contains reports whether got has all wanted labels.
func contains(got, want cluster.Labels) bool {
	for key, value := range want {
		if v, ok := got[key]; !ok || v != value {
			return false
		}
	}
	return true
}
