package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Explain does what Select does and tells why in Steps, a line for each
// selector in the order in which they decide.
func (x *Index) Explain(caller Caller, request Request) Match {
	if len(x.ordered) == 0 {
		match := x.byName(caller.Database)
		match.Steps = []string{fmt.Sprintf("no selectors are declared: the database %q is looked up as the group's name", caller.Database)}
		return match
	}
	var steps []string
	for _, c := range x.ordered {
		reason := c.selector.mismatch(&caller, &request)
		prefix := fmt.Sprintf("%s (priority %d): ", c.selector.Name, c.selector.Priority)
		if reason != "" {
			steps = append(steps, prefix+"no, "+reason)
			continue
		}
		match := c.match(caller.Database)
		match.Steps = append(steps, prefix+"yes, "+c.targets.reason(caller.Database, c.selector.Groups))
		return match
	}
	return Match{Steps: append(steps, "no selector matches: the request is refused")}
}

// mismatch returns the first condition that doesn't hold, or "".
func (s *Selector) mismatch(caller *Caller, request *Request) string {
	switch {
	case !oneOf(s.Callers.Databases, caller.Database):
		return notIn("database", caller.Database, s.Callers.Databases)
	case !oneOf(s.Callers.Users, caller.User):
		return notIn("user", caller.User, s.Callers.Users)
	case !oneOf(s.Callers.Applications, caller.Application):
		return notIn("application", caller.Application, s.Callers.Applications)
	case !inside(s.Callers.Addresses, caller.Address):
		return fmt.Sprintf("the address %v is in none of %v", caller.Address, s.Callers.Addresses)
	case !contains(caller.Labels, s.Callers.Labels):
		return "the caller lacks one of the labels " + labelsText(s.Callers.Labels)
	case !oneOf(s.Requests.Kinds, request.Kind):
		return notIn("kind", request.Kind, s.Requests.Kinds)
	case !contains(request.Labels, s.Requests.Labels):
		return "the request lacks one of the labels " + labelsText(s.Requests.Labels)
	default:
		return ""
	}
}

func (t *targets) reason(database string, labels cluster.Labels) string {
	group, ok := t.choose(database)
	if !ok {
		return "but no group has the labels " + labelsText(labels)
	}
	if string(group) == database {
		return fmt.Sprintf("group %s has the database's name", group)
	}
	return fmt.Sprintf("group %s is the first by name of %d with the labels %s", group, len(t.byName), labelsText(labels))
}

func notIn[T ~string](what string, got T, want []T) string {
	return fmt.Sprintf("the %s %q is not one of %q", what, got, want)
}

func labelsText(labels cluster.Labels) string {
	var pairs []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		pairs = append(pairs, key+"="+labels[key])
	}
	return "{" + strings.Join(pairs, ", ") + "}"
}
