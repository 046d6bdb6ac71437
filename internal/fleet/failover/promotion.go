package failover

import (
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// PresentPrimaryDelay is the time after an accepted promotion from which a target whose
// log term hasn't changed is taken for the platform's primary already. A promotion that
// changes anything takes effect within several hundred ms.
const PresentPrimaryDelay = 1500 * time.Millisecond

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
		return Promotion{LogTerm: s.LogTerm, Evidence: "announced"}, true
	}
	target, answered := findStatus(s.Statuses, s.Current.Name)
	if !answered || target.Role != cluster.RolePrimary {
		return Promotion{}, false
	}
	if target.Promised > s.LogTerm {
		return Promotion{LogTerm: target.Promised, Evidence: "higher log term"}, true
	}
	accepted := !s.AcceptedAt.IsZero() && now.Sub(s.AcceptedAt) >= PresentPrimaryDelay
	newerExists := slices.ContainsFunc(s.Statuses, func(other Status) bool { return other.Promised > target.Promised })
	if !accepted || target.Promised < s.LogTerm || newerExists {
		return Promotion{}, false
	}
	return Promotion{LogTerm: target.Promised, Evidence: "primary already"}, true
}
