package failover

import (
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// PresentPrimaryDelay is the time after an accepted promotion from which a target
	// whose log term hasn't changed is taken for the platform's primary already. A
	// promotion that changes anything takes effect within 300 to 600 ms.
	PresentPrimaryDelay = 750 * time.Millisecond
	// lowTermDelay is the same for a target whose log term is below the recorded one.
	// It bounds the harm of a record that is too high.
	lowTermDelay = 3 * time.Second
)

type (
	// PromotionState is the leading control node's information about a promotion that
	// it has requested.
	PromotionState struct {
		// Initial is the target as it was registered before the first request.
		Initial registry.Server
		// Current is the target as it is registered now.
		Current registry.Server
		// Statuses are those of the servers that answered after the request. The
		// target is the platform's primary already only if no other one has a higher
		// log term.
		Statuses []Status
		// LogTerm is state.GroupPrimary.LogTerm.
		LogTerm cluster.Term
		// NewLogTerm is the lowest log term that the target can have once its promotion
		// took effect, by what the servers answered before; zero: unknown.
		NewLogTerm cluster.Term
		// AcceptedAt is when the platform accepted the request; zero: it is unknown
		// whether it has.
		AcceptedAt time.Time
	}

	// Promotion is a promotion that took effect.
	Promotion struct {
		// LogTerm is the log term of the target, as far as it is known.
		LogTerm cluster.Term
		// Evidence is how the promotion was found, for the log.
		Evidence string
	}
)

// FindPromotion reports whether the target has become the primary. A target that just
// reports the role of primary may be a former primary that hasn't been demoted yet, so
// one of these has to hold:
//
//   - Its announced role changed from replica to primary.
//   - It is the primary of a higher log term than the old primary.
//   - The platform accepted the request PresentPrimaryDelay ago, and the target is the
//     primary of the newest log term: it was the platform's primary already, as after a
//     restart under another name, so that the request changed nothing.
func FindPromotion(s PromotionState, now time.Time) (Promotion, bool) {
	if s.Initial.Role == cluster.RoleReplica && s.Current.Role == cluster.RolePrimary && s.Current.StartedAt.Equal(s.Initial.StartedAt) {
		return Promotion{LogTerm: max(s.LogTerm, s.NewLogTerm), Evidence: "announced"}, true
	}
	target, answered := findStatus(s.Statuses, s.Current.Name)
	if !answered || target.Role != cluster.RolePrimary {
		return Promotion{}, false
	}
	if target.Promised > s.LogTerm {
		return Promotion{LogTerm: target.Promised, Evidence: "higher log term"}, true
	}
	delay := PresentPrimaryDelay
	if target.Promised < s.LogTerm {
		delay = lowTermDelay
	}
	newerExists := slices.ContainsFunc(s.Statuses, func(other Status) bool { return other.Promised > target.Promised })
	if s.AcceptedAt.IsZero() || now.Sub(s.AcceptedAt) < delay || newerExists {
		return Promotion{}, false
	}
	return Promotion{LogTerm: target.Promised, Evidence: "primary already"}, true
}

// NewLogTerm returns the lowest log term that a target can have once its promotion took
// effect, by the statuses of the servers before and the recorded log term.
func NewLogTerm(statuses []Status, target cluster.ServerName, recorded cluster.Term) cluster.Term {
	highest := recorded
	for _, s := range statuses {
		highest = max(highest, s.Promised)
	}
	if s, answered := findStatus(statuses, target); !answered || s.Role != cluster.RoleReplica {
		// It may be the platform's primary already, whose log term stays.
		return highest
	}
	return highest + 1
}
