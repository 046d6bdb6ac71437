package declaration

import (
	"fmt"
	"net/netip"
	"slices"
	"unicode"

	"go.yaml.in/yaml/v3"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const nameRule = "use 1 to 63 letters, digits, '.', '_' and '-', a letter or digit at both ends"

// check looks at all that several fields decide together.
func (p *parser) check() {
	p.checkGroups()
	p.checkSelectors()
	p.checkReachable()
}

func (p *parser) checkGroups() {
	seen := make(map[cluster.GroupName]place)
	for i, g := range p.declared.Groups {
		at := p.groupAt[i]
		if g.Name == "" {
			p.missingName(at)
			continue
		}
		if first, twice := seen[g.Name]; twice {
			p.duplicate(at, string(g.Name), first)
			continue
		}
		seen[g.Name] = at
		p.checkServerLabels(at, g)
	}
}

func (p *parser) checkServerLabels(at place, g Group) {
	seen := make(map[cluster.ServerName]bool)
	for _, s := range g.ServerLabels {
		if s.Server != "" && seen[s.Server] {
			p.at(at, "server-labels", fmt.Sprintf("server %q is given twice", s.Server), "join the two")
		}
		seen[s.Server] = true
	}
}

func (p *parser) checkSelectors() {
	seen := make(map[string]place)
	groups := newFinder(p.declared.Groups)
	for i, s := range p.declared.Selectors {
		at := p.selectorAt[i]
		if s.Name == "" {
			p.missingName(at)
		} else if first, twice := seen[s.Name]; twice {
			p.duplicate(at, s.Name, first)
		} else {
			seen[s.Name] = at
		}
		if groups.find(s.Groups).first == "" {
			p.at(at, "groups", "no group has the labels "+labelsText(s.Groups), "add the labels to a group or change them here")
		}
	}
}

// checkReachable finds selectors that an earlier one always decides before.
func (p *parser) checkReachable() {
	places := make(map[*Selector]place, len(p.selectorAt))
	for i := range p.declared.Selectors {
		places[&p.declared.Selectors[i]] = p.selectorAt[i]
	}
	// Only selectors for any database or for the first database of a later
	// one can cover the later one.
	earlier := make(map[string][]*Selector)
	var any []*Selector
	for _, s := range p.declared.SelectorsByPriority() {
		candidates := any
		if len(s.Callers.Databases) > 0 {
			candidates = slices.Concat(any, earlier[s.Callers.Databases[0]])
		}
		for _, e := range candidates {
			if e.covers(s) {
				p.at(places[s], "priority", fmt.Sprintf("the selector is never reached: %q (priority %d) matches all that it matches", e.Name, e.Priority), "raise its priority or narrow the other one")
				break
			}
		}
		if len(s.Callers.Databases) == 0 {
			any = append(any, s)
		}
		for _, database := range s.Callers.Databases {
			earlier[database] = append(earlier[database], s)
		}
	}
}

// covers reports whether s matches all that o matches.
func (s *Selector) covers(o *Selector) bool {
	return listCovers(s.Callers.Databases, o.Callers.Databases) &&
		listCovers(s.Callers.Users, o.Callers.Users) &&
		listCovers(s.Callers.Applications, o.Callers.Applications) &&
		prefixesCover(s.Callers.Addresses, o.Callers.Addresses) &&
		contains(o.Callers.Labels, s.Callers.Labels) &&
		kindsCover(s.Requests.Kinds, o.Requests.Kinds) &&
		contains(o.Requests.Labels, s.Requests.Labels)
}

func listCovers[T comparable](s, o []T) bool {
	if len(s) == 0 {
		return true
	}
	if len(o) == 0 {
		return false
	}
	for _, element := range o {
		if !slices.Contains(s, element) {
			return false
		}
	}
	return true
}

func kindsCover(s, o []Kind) bool {
	if len(o) == 0 {
		o = Kinds
	}
	return listCovers(s, o)
}

func prefixesCover(s, o []netip.Prefix) bool {
	if len(s) == 0 {
		return true
	}
	if len(o) == 0 {
		return false
	}
	for _, inner := range o {
		covered := slices.ContainsFunc(s, func(outer netip.Prefix) bool {
			return outer.Bits() <= inner.Bits() && outer.Contains(inner.Addr())
		})
		if !covered {
			return false
		}
	}
	return true
}

func (p *parser) name(path string, node *yaml.Node) string {
	text, ok := p.text(path, node)
	if ok && !nameForm.MatchString(text) {
		p.fault(node, path, fmt.Sprintf("%q is not a name", text), nameRule)
	}
	return text
}

func (d *decoder) checkLabel(path string, name *yaml.Node, value string) {
	if !nameForm.MatchString(name.Value) {
		d.fault(name, path, fmt.Sprintf("%q is not a label", name.Value), nameRule)
	}
	isControl := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(value) > maxLabelValue || slices.ContainsFunc([]rune(value), isControl) {
		d.fault(name, path, fmt.Sprintf("the value %.80q is not fit for a label", value), fmt.Sprintf("use at most %d printable characters", maxLabelValue))
	}
}

func (p *parser) missingName(at place) {
	if _, given := at.lines["name"]; !given {
		p.at(at, "name", "is missing", nameRule)
		return
	}
	p.at(at, "name", "is empty", nameRule)
}

func (p *parser) duplicate(at place, name string, first place) {
	where := fmt.Sprintf("line %d", first.line("name"))
	if first.file != "" {
		where = fmt.Sprintf("%s:%d", first.file, first.line("name"))
	}
	p.at(at, "name", fmt.Sprintf("%q is declared already at %s", name, where), "use another name or remove one")
}

// at notes a fault of one field of a group or selector.
func (p *parser) at(at place, field, text, fix string) {
	p.faults = append(p.faults, Problem{File: at.file, Line: at.line(field), Field: join(at.path, field), Text: text, Fix: fix})
}

func (at place) line(field string) int {
	if line, ok := at.lines[field]; ok {
		return line
	}
	return at.lines[""]
}
