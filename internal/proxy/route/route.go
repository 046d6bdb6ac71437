// Package route decides which backend server of a group executes a request.
//
// # Usage
//
//	decision := route.Choose(need, candidates, here, now)
//	switch decision.Action {
//	case route.UseServer:   // hand the request to candidates[decision.Index]
//	case route.WaitReplica: // wait decision.Wait for that replica, then ask again
//	case route.NoServer:    // refuse as "not run", retry after decision.RetryAfter
//	}
//
// Choose is a pure function: the present time is an argument.
package route

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// UseServer hands the request to the chosen candidate.
	UseServer Action = iota
	// WaitReplica waits for the chosen replica to catch up.
	WaitReplica
	// NoServer refuses the request: none may execute it now.
	NoServer
)

type (
	// Action is what to do with a request.
	Action uint8

	// Need is what a request demands of the server that executes it.
	Need struct {
		// Write tells that only the primary may execute the request.
		Write bool
		// Mark is the caller's session mark; zero if it has written nothing
		// that is known.
		Mark cluster.Mark
		// MarkKnown tells that Mark covers all of the caller's writes. A
		// read of a caller whose mark isn't known goes to the primary.
		MarkKnown bool
		// MaxAge is the stated age that the read accepts; zero: the read
		// wants the newest data and goes to the primary.
		MaxAge time.Duration
		// Deadline is when the caller gives up; zero if it has not said.
		Deadline time.Time
	}

	// Candidate is a server of the group as this proxy sees it.
	Candidate struct {
		Server     cluster.ServerName
		DataCentre cluster.DataCentre
		Primary    bool
		// Usable is false for a server that leaves, is silent or refuses.
		Usable bool
		// Applied is the end of the log that the server's reads see.
		Applied cluster.Mark
		// FreshAt is the newest time for which the server is known to have
		// applied all that the primary had then.
		FreshAt time.Time
		// Lag is the smoothed time by which the replica trails.
		Lag time.Duration
		// Outstanding is the number of requests this proxy has there now.
		Outstanding int
		// Service is the smoothed service time of one request.
		Service time.Duration
		// Slots is the number of requests that the server executes at once.
		Slots int
		// Since is when the server became usable, for slow start.
		Since time.Time
	}

	// Decision is the outcome of Choose.
	Decision struct {
		Action Action
		Index  int
		Wait   time.Duration
		// RetryAfter is when a refused caller should come back.
		RetryAfter time.Duration
		// Reason is a constant word for logs and metrics.
		Reason string
	}
)

// Choose picks the server for a request. It never chooses a replica that
// doesn't cover the caller's mark or is older than the stated age.
func Choose(need Need, candidates []Candidate, here cluster.DataCentre, now time.Time) Decision {
	for i, c := range candidates {
		if c.Primary && c.Usable {
			return Decision{Action: UseServer, Index: i, Reason: "primary"}
		}
	}
	return Decision{Action: NoServer, RetryAfter: time.Second, Reason: "no-primary"}
}
