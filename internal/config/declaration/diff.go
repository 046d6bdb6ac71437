package declaration

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Added, Removed and Changed are the actions that Diff returns.
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"

	itemGroup    = "group"
	itemSelector = "selector"
	itemCustomer = "customer"
)

type (
	// Action is what happened to a group, selector or customer from one version of the
	// declarations to another.
	Action string

	// Difference is a group, selector or customer that differs between two versions of
	// the declarations.
	Difference struct {
		// Item is "group", "selector" or "customer".
		Item   string
		Name   string
		Action Action
		// Lines are the item's YAML lines in diff format, each prefixed with
		// "+", "-" or " ". Of a customer, they name the keys that were added or
		// removed by short digests.
		Lines []string
	}

	// item is a group, selector or customer with a text that tells whether it changed:
	// its YAML or, for a customer, all its fields.
	item struct {
		itemID
		text     string
		customer *customer.Customer
	}

	itemID struct {
		kind string
		name string
	}
)

// Diff returns the differences from d to next: added and changed items in the
// order of next, then the removed items.
func (d *Declarations) Diff(next *Declarations) []Difference {
	var differences []Difference
	old := make(map[itemID]item)
	for _, i := range d.items() {
		old[i.itemID] = i
	}
	for _, i := range next.items() {
		before, existed := old[i.itemID]
		delete(old, i.itemID)
		if existed && before.text == i.text {
			continue
		}
		action := Added
		if existed {
			action = Changed
		}
		differences = append(differences, Difference{Item: i.kind, Name: i.name, Action: action, Lines: itemLines(before, i)})
	}
	for _, i := range d.items() {
		if _, isRemoved := old[i.itemID]; isRemoved {
			differences = append(differences, Difference{Item: i.kind, Name: i.name, Action: Removed, Lines: itemLines(i, item{})})
		}
	}
	return differences
}

// itemLines returns the lines of a difference; either item may be empty.
func itemLines(before, after item) []string {
	if before.customer != nil || after.customer != nil {
		return customerLines(before.customer, after.customer)
	}
	return diffLines(before.text, after.text)
}

func (d *Declarations) items() []item {
	var items []item
	for _, g := range d.Groups {
		items = append(items, item{itemID: itemID{kind: itemGroup, name: string(g.Name)}, text: yamlText(g)})
	}
	for _, s := range d.Selectors {
		items = append(items, item{itemID: itemID{kind: itemSelector, name: s.Name}, text: yamlText(s)})
	}
	for i := range d.Customers {
		c := &d.Customers[i]
		items = append(items, item{itemID: itemID{kind: itemCustomer, name: string(c.Name)}, text: fmt.Sprint(*c), customer: c})
	}
	return items
}

// yamlText returns the YAML of a group, selector or customer. Marshalling these types can't
// fail.
func yamlText(value any) string {
	text, err := yaml.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(string(text), "\n")
}

// diffLines returns a line diff of two short texts, computed from their longest
// common subsequence.
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
	return slices.Concat(lines, prefixLines("-", a[i:]), prefixLines("+", b[j:]))
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

func prefixLines(prefix string, lines []string) []string {
	prefixed := make([]string, 0, len(lines))
	for _, line := range lines {
		prefixed = append(prefixed, prefix+line)
	}
	return prefixed
}
