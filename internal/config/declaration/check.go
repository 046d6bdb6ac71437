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

// check validates the rules that involve several fields or several items.
func (p *parser) check() {
	p.checkGroups()
	p.checkSelectors()
	p.checkReachable()
	p.checkCustomers()
}

func (p *parser) checkGroups() {
	seen := make(map[cluster.GroupName]position)
	for i, g := range p.declarations.Groups {
		pos := p.groupPositions[i]
		if g.Name == "" {
			p.addMissingName(pos)
			continue
		}
		if first, twice := seen[g.Name]; twice {
			p.addDuplicateName(pos, string(g.Name), first)
			continue
		}
		seen[g.Name] = pos
		p.checkServerLabels(pos, g)
	}
}

func (p *parser) checkServerLabels(pos position, g Group) {
	seen := make(map[cluster.ServerName]bool)
	for _, s := range g.ServerLabels {
		if s.Server != "" && seen[s.Server] {
			p.addProblemAt(pos, "server-labels", fmt.Sprintf("server %q is given twice", s.Server), "join the two")
		}
		seen[s.Server] = true
	}
}

func (p *parser) checkSelectors() {
	seen := make(map[string]position)
	groups := newGroupFinder(p.declarations.Groups)
	for i, s := range p.declarations.Selectors {
		pos := p.selectorPositions[i]
		if s.Name == "" {
			p.addMissingName(pos)
		} else if first, twice := seen[s.Name]; twice {
			p.addDuplicateName(pos, s.Name, first)
		} else {
			seen[s.Name] = pos
		}
		if groups.find(s.Groups).first == "" {
			p.addProblemAt(pos, "groups", "no group has the labels "+formatLabels(s.Groups), "add the labels to a group or change them here")
		}
	}
}

// checkReachable finds selectors that never apply, because a selector that comes
// before them matches every request that they match.
func (p *parser) checkReachable() {
	positions := make(map[*Selector]position, len(p.selectorPositions))
	for i := range p.declarations.Selectors {
		positions[&p.declarations.Selectors[i]] = p.selectorPositions[i]
	}
	// A selector can be covered only by one that names no database or that
	// names the first of its databases.
	byDatabase := make(map[string][]*Selector)
	var anyDatabase []*Selector
	for _, s := range p.declarations.SelectorsByPriority() {
		candidates := anyDatabase
		if len(s.Callers.Databases) > 0 {
			candidates = slices.Concat(anyDatabase, byDatabase[s.Callers.Databases[0]])
		}
		for _, previous := range candidates {
			if previous.covers(s) {
				p.addProblemAt(positions[s], "priority", fmt.Sprintf("the selector is never reached: %q (priority %d) matches all that it matches", previous.Name, previous.Priority), "raise its priority or narrow the other one")
				break
			}
		}
		if len(s.Callers.Databases) == 0 {
			anyDatabase = append(anyDatabase, s)
		}
		for _, database := range s.Callers.Databases {
			byDatabase[database] = append(byDatabase[database], s)
		}
	}
}

// covers reports whether s matches every request that other matches.
func (s *Selector) covers(other *Selector) bool {
	return listCovers(s.Callers.Databases, other.Callers.Databases) &&
		listCovers(s.Callers.Users, other.Callers.Users) &&
		listCovers(s.Callers.Applications, other.Callers.Applications) &&
		prefixesCover(s.Callers.Addresses, other.Callers.Addresses) &&
		hasLabels(other.Callers.Labels, s.Callers.Labels) &&
		kindsCover(s.Requests.Kinds, other.Requests.Kinds) &&
		hasLabels(other.Requests.Labels, s.Requests.Labels)
}

// listCovers reports whether the condition outer matches every value that inner
// matches. An empty list matches everything.
func listCovers[T comparable](outer, inner []T) bool {
	if len(outer) == 0 {
		return true
	}
	if len(inner) == 0 {
		return false
	}
	for _, element := range inner {
		if !slices.Contains(outer, element) {
			return false
		}
	}
	return true
}

func kindsCover(outer, inner []Kind) bool {
	if len(inner) == 0 {
		inner = Kinds
	}
	return listCovers(outer, inner)
}

// prefixesCover reports whether each prefix of inner lies within one of outer. An
// empty list matches every address.
func prefixesCover(outer, inner []netip.Prefix) bool {
	if len(outer) == 0 {
		return true
	}
	if len(inner) == 0 {
		return false
	}
	for _, prefix := range inner {
		covered := slices.ContainsFunc(outer, func(candidate netip.Prefix) bool {
			return candidate.Bits() <= prefix.Bits() && candidate.Contains(prefix.Addr())
		})
		if !covered {
			return false
		}
	}
	return true
}

func (p *parser) decodeName(path string, node *yaml.Node) string {
	text, ok := p.decodeString(path, node)
	if ok && !namePattern.MatchString(text) {
		p.addProblem(node, path, fmt.Sprintf("%q is not a name", text), nameRule)
	}
	return text
}

func (d *decoder) checkLabel(path string, name *yaml.Node, value string) {
	if !namePattern.MatchString(name.Value) {
		d.addProblem(name, path, fmt.Sprintf("%q is not a label", name.Value), nameRule)
	}
	isUnprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(value) > maxLabelBytes || slices.ContainsFunc([]rune(value), isUnprintable) {
		d.addProblem(name, path, fmt.Sprintf("the value %.80q is not fit for a label", value), fmt.Sprintf("use at most %d printable characters", maxLabelBytes))
	}
}

func (p *parser) addMissingName(pos position) {
	if _, given := pos.lines["name"]; !given {
		p.addProblemAt(pos, "name", "is missing", nameRule)
		return
	}
	p.addProblemAt(pos, "name", "is empty", nameRule)
}

func (p *parser) addDuplicateName(pos position, name string, first position) {
	where := fmt.Sprintf("line %d", first.line("name"))
	if first.file != "" {
		where = fmt.Sprintf("%s:%d", first.file, first.line("name"))
	}
	p.addProblemAt(pos, "name", fmt.Sprintf("%q is declared already at %s", name, where), "use another name or remove one")
}

// addProblemAt adds a problem with a field of the group or selector at pos.
func (p *parser) addProblemAt(pos position, field, text, fix string) {
	p.problems = append(p.problems, Problem{File: pos.file, Line: pos.line(field), Field: joinPath(pos.path, field), Text: text, Fix: fix})
}

// line returns the line of the field, or that of the item if the field isn't set.
func (pos position) line(field string) int {
	if line, ok := pos.lines[field]; ok {
		return line
	}
	return pos.lines[""]
}
