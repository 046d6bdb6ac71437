package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Explain does the same as Select and also sets Steps: one line for each selector
// in order of priority, up to the one that matches.
func (x *Index) Explain(caller Caller, request Request) Match {
	if len(x.ordered) == 0 {
		match := x.selectByName(caller.Database)
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
		match.Steps = append(steps, prefix+"yes, "+c.groups.describeChoice(caller.Database, c.selector.Groups))
		return match
	}
	return Match{Steps: append(steps, "no selector matches: the request is refused")}
}

// mismatch describes the first condition that the request doesn't meet; "" if it
// meets all of them.
func (s *Selector) mismatch(caller *Caller, request *Request) string {
	switch {
	case !matchesList(s.Callers.Databases, caller.Database):
		return describeNotIn("database", caller.Database, s.Callers.Databases)
	case !matchesList(s.Callers.Users, caller.User):
		return describeNotIn("user", caller.User, s.Callers.Users)
	case !matchesList(s.Callers.Applications, caller.Application):
		return describeNotIn("application", caller.Application, s.Callers.Applications)
	case !matchesAddress(s.Callers.Addresses, caller.Address):
		return fmt.Sprintf("the address %v is in none of %v", caller.Address, s.Callers.Addresses)
	case !hasLabels(caller.Labels, s.Callers.Labels):
		return "the caller lacks one of the labels " + formatLabels(s.Callers.Labels)
	case !matchesList(s.Requests.Kinds, request.Kind):
		return describeNotIn("kind", request.Kind, s.Requests.Kinds)
	case !hasLabels(request.Labels, s.Requests.Labels):
		return "the request lacks one of the labels " + formatLabels(s.Requests.Labels)
	default:
		return ""
	}
}

func (set *groupSet) describeChoice(database string, labels cluster.Labels) string {
	group, ok := set.choose(database)
	if !ok {
		return "but no group has the labels " + formatLabels(labels)
	}
	if string(group) == database {
		return fmt.Sprintf("group %s has the database's name", group)
	}
	return fmt.Sprintf("group %s is the first by name of %d with the labels %s", group, len(set.byName), formatLabels(labels))
}

func describeNotIn[T ~string](what string, got T, want []T) string {
	return fmt.Sprintf("the %s %q is not one of %q", what, got, want)
}

func formatLabels(labels cluster.Labels) string {
	var pairs []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		pairs = append(pairs, key+"="+labels[key])
	}
	return "{" + strings.Join(pairs, ", ") + "}"
}
