package declaration

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	// Added, Removed and Changed tell what happened to an item.
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"

	itemGroup    = "group"
	itemSelector = "selector"
)

type (
	// Action is what happened to an item between two declarations.
	Action string

	// Difference is a group or selector that two declarations don't share.
	Difference struct {
		// Item is "group" or "selector".
		Item   string
		Name   string
		Action Action
		// Lines are the item's YAML lines, each after "+", "-" or " ".
		Lines []string
	}

	item struct {
		kind string
		name string
		text string
	}
)

// Diff returns what changes from d to next, in the order of next, removed
// items last.
func (d *Declarations) Diff(next *Declarations) []Difference {
	var differences []Difference
	old := make(map[item]string)
	for _, i := range d.items() {
		old[item{kind: i.kind, name: i.name}] = i.text
	}
	for _, i := range next.items() {
		id := item{kind: i.kind, name: i.name}
		before, existed := old[id]
		delete(old, id)
		if existed && before == i.text {
			continue
		}
		action := Added
		if existed {
			action = Changed
		}
		differences = append(differences, Difference{Item: i.kind, Name: i.name, Action: action, Lines: diffLines(before, i.text)})
	}
	for _, i := range d.items() {
		if _, left := old[item{kind: i.kind, name: i.name}]; left {
			differences = append(differences, Difference{Item: i.kind, Name: i.name, Action: Removed, Lines: diffLines(i.text, "")})
		}
	}
	return differences
}

func (d *Declarations) items() []item {
	var items []item
	for _, g := range d.Groups {
		items = append(items, item{kind: itemGroup, name: string(g.Name), text: yamlText(g)})
	}
	for _, s := range d.Selectors {
		items = append(items, item{kind: itemSelector, name: s.Name, text: yamlText(s)})
	}
	return items
}

// yamlText can't fail for groups and selectors.
func yamlText(value any) string {
	text, err := yaml.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(string(text), "\n")
}

// diffLines compares two short texts by their longest common subsequence.
func diffLines(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			common[i][j] = max(common[i+1][j], common[i][j+1])
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			lines = append(lines, " "+a[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			lines = append(lines, "-"+a[i])
			i++
		default:
			lines = append(lines, "+"+b[j])
			j++
		}
	}
	return slices.Concat(lines, prefixed("-", a[i:]), prefixed("+", b[j:]))
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

func prefixed(prefix string, lines []string) []string {
	marked := make([]string, 0, len(lines))
	for _, line := range lines {
		marked = append(marked, prefix+line)
	}
	return marked
}
