package declaration

import (
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// targets are the groups that carry a set of labels.
	targets struct {
		byName map[string]cluster.GroupName
		first  cluster.GroupName
	}

	// finder finds the groups that carry a set of labels. Each distinct set
	// is looked for once, among the groups with its rarest label.
	finder struct {
		groups  []Group
		byLabel map[label][]int
		known   map[string]*targets
	}

	label struct {
		key   string
		value string
	}
)

func newFinder(groups []Group) *finder {
	f := &finder{groups: groups, byLabel: make(map[label][]int), known: make(map[string]*targets)}
	for i, g := range groups {
		for key, value := range g.Labels {
			at := label{key: key, value: value}
			f.byLabel[at] = append(f.byLabel[at], i)
		}
	}
	return f
}

// find returns the groups that carry all the labels.
func (f *finder) find(labels cluster.Labels) *targets {
	key := labelsKey(labels)
	if t, ok := f.known[key]; ok {
		return t
	}
	t := &targets{byName: make(map[string]cluster.GroupName)}
	if len(labels) == 0 {
		for i := range f.groups {
			t.add(f.groups[i].Name)
		}
	}
	for _, i := range f.rarest(labels) {
		if contains(f.groups[i].Labels, labels) {
			t.add(f.groups[i].Name)
		}
	}
	f.known[key] = t
	return t
}

// rarest returns the groups with the one of the labels that the fewest have.
func (f *finder) rarest(labels cluster.Labels) []int {
	var fewest []int
	isFirst := true
	for key, value := range labels {
		having := f.byLabel[label{key: key, value: value}]
		if isFirst || len(having) < len(fewest) {
			fewest = having
		}
		isFirst = false
	}
	return fewest
}

func (t *targets) add(name cluster.GroupName) {
	t.byName[string(name)] = name
	if t.first == "" || name < t.first {
		t.first = name
	}
}

// choose returns the group of the database's name, else the first by name.
func (t *targets) choose(database string) (cluster.GroupName, bool) {
	if name, ok := t.byName[database]; ok {
		return name, true
	}
	return t.first, t.first != ""
}

func labelsKey(labels cluster.Labels) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		b.WriteString(key)
		b.WriteByte(0)
		b.WriteString(labels[key])
		b.WriteByte(0)
	}
	return b.String()
}
