package declaration

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Index finds the selector and the group for a request. It is immutable and
	// safe for concurrent use. A lookup examines only the selectors that name
	// the caller's database and those that name no database.
	Index struct {
		groups map[cluster.GroupName]*Group
		// ordered holds the selectors by priority; the first that matches
		// applies.
		ordered []compiledSelector
		// byDatabase and anyDatabase hold indexes into ordered, ascending.
		// anyDatabase holds the selectors that name no database.
		byDatabase  map[string][]int
		anyDatabase []int
	}

	// compiledSelector is a selector with the groups that it selects from.
	compiledSelector struct {
		selector *Selector
		groups   *groupSet
	}
)

// Compile returns an index of the declarations. The declarations must not be
// modified afterwards.
func (d *Declarations) Compile() *Index {
	x := &Index{
		groups:     make(map[cluster.GroupName]*Group, len(d.Groups)),
		byDatabase: make(map[string][]int),
	}
	for i := range d.Groups {
		x.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	groups := newGroupFinder(d.Groups)
	for _, s := range d.SelectorsByPriority() {
		x.add(compiledSelector{selector: s, groups: groups.find(s.Groups)})
	}
	return x
}

// Select returns the selector and the group for a request, without Steps.
func (d *Declarations) Select(caller Caller, request Request) Match {
	return d.compiledIndex().Select(caller, request)
}

// Explain does the same as Select and also sets Steps.
func (d *Declarations) Explain(caller Caller, request Request) Match {
	return d.compiledIndex().Explain(caller, request)
}

// Group returns the declared group with the name and whether it exists.
func (x *Index) Group(name cluster.GroupName) (*Group, bool) {
	g, ok := x.groups[name]
	return g, ok
}

// Select returns the selector and the group for a request, without Steps. It
// doesn't allocate.
func (x *Index) Select(caller Caller, request Request) Match {
	if len(x.ordered) == 0 {
		return x.selectByName(caller.Database)
	}
	named := x.byDatabase[caller.Database]
	unnamed := x.anyDatabase
	// Both lists are ordered by priority: merge them.
	for len(named) > 0 || len(unnamed) > 0 {
		var next int
		if len(unnamed) == 0 || len(named) > 0 && named[0] < unnamed[0] {
			next, named = named[0], named[1:]
		} else {
			next, unnamed = unnamed[0], unnamed[1:]
		}
		c := x.ordered[next]
		if c.selector.matches(&caller, &request) {
			return c.match(caller.Database)
		}
	}
	return Match{}
}

func (x *Index) add(c compiledSelector) {
	index := len(x.ordered)
	x.ordered = append(x.ordered, c)
	databases := c.selector.Callers.Databases
	if len(databases) == 0 {
		x.anyDatabase = append(x.anyDatabase, index)
	}
	for i, name := range databases {
		if !slices.Contains(databases[:i], name) {
			x.byDatabase[name] = append(x.byDatabase[name], index)
		}
	}
}

// selectByName selects the group whose name equals the database. It is used if no
// selectors are declared.
func (x *Index) selectByName(database string) Match {
	name := cluster.GroupName(database)
	if _, ok := x.groups[name]; !ok {
		return Match{}
	}
	return Match{Found: true, Group: name}
}

func (c compiledSelector) match(database string) Match {
	group, ok := c.groups.choose(database)
	return Match{Found: ok, Selector: c.selector, Group: group}
}

// compiledIndex returns the index that Parse has built, or a new one if the
// declarations weren't parsed.
func (d *Declarations) compiledIndex() *Index {
	if d.index != nil {
		return d.index
	}
	return d.Compile()
}

// SelectorsByPriority returns the selectors, the highest priority first and those
// of equal priority by name.
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
	return matchesList(s.Callers.Databases, caller.Database) &&
		matchesList(s.Callers.Users, caller.User) &&
		matchesList(s.Callers.Applications, caller.Application) &&
		matchesAddress(s.Callers.Addresses, caller.Address) &&
		hasLabels(caller.Labels, s.Callers.Labels) &&
		matchesList(s.Requests.Kinds, request.Kind) &&
		hasLabels(request.Labels, s.Requests.Labels)
}

// matchesList reports whether got is in list. An empty list matches everything.
func matchesList[T comparable](list []T, got T) bool {
	return len(list) == 0 || slices.Contains(list, got)
}

// matchesAddress reports whether one of the prefixes contains address. An empty
// list matches every address.
func matchesAddress(prefixes []netip.Prefix, address netip.Addr) bool {
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

// hasLabels reports whether got contains all labels of want.
func hasLabels(got, want cluster.Labels) bool {
	for key, value := range want {
		if v, ok := got[key]; !ok || v != value {
			return false
		}
	}
	return true
}
