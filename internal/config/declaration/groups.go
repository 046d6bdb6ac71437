package declaration

import (
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// groupSet is a set of groups that share some labels.
	groupSet struct {
		byName map[string]cluster.GroupName
		// first is the first of the groups by name; "" if there are none.
		first cluster.GroupName
	}

	// groupFinder finds the groups that have given labels. It caches the result
	// for each distinct set of labels, and searches only the groups that have
	// the rarest label of the set.
	groupFinder struct {
		groups []Group
		// byLabel holds indexes into groups.
		byLabel map[labelPair][]int
		cache   map[string]*groupSet
	}

	labelPair struct {
		key   string
		value string
	}
)

func newGroupFinder(groups []Group) *groupFinder {
	f := &groupFinder{groups: groups, byLabel: make(map[labelPair][]int), cache: make(map[string]*groupSet)}
	for i, g := range groups {
		for key, value := range g.Labels {
			pair := labelPair{key: key, value: value}
			f.byLabel[pair] = append(f.byLabel[pair], i)
		}
	}
	return f
}

// find returns the groups that have all the labels.
func (f *groupFinder) find(labels cluster.Labels) *groupSet {
	key := cacheKey(labels)
	if set, ok := f.cache[key]; ok {
		return set
	}
	set := &groupSet{byName: make(map[string]cluster.GroupName)}
	if len(labels) == 0 {
		for i := range f.groups {
			set.add(f.groups[i].Name)
		}
	}
	for _, i := range f.withRarestLabel(labels) {
		if hasLabels(f.groups[i].Labels, labels) {
			set.add(f.groups[i].Name)
		}
	}
	f.cache[key] = set
	return set
}

// withRarestLabel returns the indexes of the groups that have the rarest of the
// labels: the label that the fewest groups have.
func (f *groupFinder) withRarestLabel(labels cluster.Labels) []int {
	var fewest []int
	isFirst := true
	for key, value := range labels {
		withLabel := f.byLabel[labelPair{key: key, value: value}]
		if isFirst || len(withLabel) < len(fewest) {
			fewest = withLabel
		}
		isFirst = false
	}
	return fewest
}

func (set *groupSet) add(name cluster.GroupName) {
	set.byName[string(name)] = name
	if set.first == "" || name < set.first {
		set.first = name
	}
}

// choose returns the group whose name equals the database, or else the first group
// by name. It returns false if the set is empty.
func (set *groupSet) choose(database string) (cluster.GroupName, bool) {
	if name, ok := set.byName[database]; ok {
		return name, true
	}
	return set.first, set.first != ""
}

func cacheKey(labels cluster.Labels) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		b.WriteString(key)
		b.WriteByte(0)
		b.WriteString(labels[key])
		b.WriteByte(0)
	}
	return b.String()
}
