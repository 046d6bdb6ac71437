package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

const (
	// suspectFactor is how often the average time of a call must have passed without
	// any response of the owner until it is pinged. minSuspectAfter and
	// maxSuspectAfter bound that time.
	suspectFactor   = 4
	minSuspectAfter = 80 * time.Millisecond
	maxSuspectAfter = 500 * time.Millisecond
	// callTimeWeight is the weight of a new measurement in the average time of a call.
	callTimeWeight = 0.1
	// pingTimeout is how long an owner may take to answer a ping, which it doesn't
	// queue.
	pingTimeout = 150 * time.Millisecond
	// secondPingDelay is the pause before the second ping of an owner that didn't
	// answer the first one, pingInterval that before each later one.
	secondPingDelay = 50 * time.Millisecond
	pingInterval    = 250 * time.Millisecond
	// pingsToCancel is the number of unanswered pings in a row after which the reads
	// that wait for an owner are cancelled. One may be lost, or the owner busy.
	pingsToCancel = 2
	// maxPings bounds the pings of one owner in a row: the control plane no longer
	// lists a proxy that was away for as long.
	maxPings = 20
)

// errOwnerSilent is the cause with which the calls of an owner are cancelled that
// doesn't answer pings.
var errOwnerSilent = eris.New("the owner of the connection doesn't answer pings")

type (
	// liveness knows which owners answer. An owner queues statements under overload,
	// so a statement without an answer doesn't show that its owner is gone. An owner
	// that is frozen, or behind a cut, shows only by its silence, and until then a
	// part of all statements would be sent to it. So an owner that has been silent for
	// a time is pinged. liveness does no input or output and isn't safe for concurrent
	// use.
	liveness struct {
		owners map[cluster.ProxyName]*ownerState
		// callTime is the moving average of the time of calls.
		callTime time.Duration
		// lastCall is the last number that was given to a call.
		lastCall uint64
	}

	ownerState struct {
		// avoidUntil is the end of the time in which other owners are preferred.
		avoidUntil time.Time
		// lastResponse is when the owner last answered a call or a ping.
		lastResponse time.Time
		// pinging is true while the owner is pinged.
		pinging bool
		// reads cancels, by number, the outstanding calls that may be repeated at
		// another owner.
		reads map[uint64]context.CancelCauseFunc
	}
)

func newLiveness() liveness { return liveness{owners: map[cluster.ProxyName]*ownerState{}} }

// owner returns the state of an owner.
func (l *liveness) owner(name cluster.ProxyName) *ownerState {
	state := l.owners[name]
	if state == nil {
		state = &ownerState{reads: map[uint64]context.CancelCauseFunc{}}
		l.owners[name] = state
	}
	return state
}

// isUsable reports whether an owner isn't avoided.
func (l *liveness) isUsable(name cluster.ProxyName, now time.Time) bool {
	state := l.owners[name]
	return state == nil || now.After(state.avoidUntil)
}

// recordResponse records that an owner answered a call that took a time.
func (l *liveness) recordResponse(name cluster.ProxyName, took time.Duration, now time.Time) {
	l.owner(name).lastResponse = now
	l.callTime = admission.WeightedAverage(l.callTime, took, callTimeWeight)
}

// suspectAfter returns how long a call may go without any response of the owner until the
// owner is pinged.
func (l *liveness) suspectAfter() time.Duration {
	return min(max(suspectFactor*l.callTime, minSuspectAfter), maxSuspectAfter)
}

// recordFailure records a failed call, and reports whether the owner is avoided from now
// on. unreachable is true if no connection to the owner could be opened.
func (l *liveness) recordFailure(name cluster.ProxyName, unreachable bool, now time.Time) bool {
	state := l.owner(name)
	if !unreachable && now.Sub(state.lastResponse) < recentResponse {
		return false
	}
	l.avoid(name, ownerBackoff, now)
	return true
}

// avoid makes other owners preferred for a time.
func (l *liveness) avoid(name cluster.ProxyName, backoff time.Duration, now time.Time) {
	if state := l.owner(name); now.Add(backoff).After(state.avoidUntil) {
		state.avoidUntil = now.Add(backoff)
	}
}

// addRead adds an outstanding call that may be repeated at another owner, and returns its
// number for removeRead.
func (l *liveness) addRead(name cluster.ProxyName, cancel context.CancelCauseFunc) uint64 {
	l.lastCall++
	l.owner(name).reads[l.lastCall] = cancel
	return l.lastCall
}

func (l *liveness) removeRead(name cluster.ProxyName, call uint64) {
	delete(l.owner(name).reads, call)
}

// beginPing reports whether an owner has to be pinged that hasn't answered a call sent at
// sentAt.
func (l *liveness) beginPing(name cluster.ProxyName, sentAt time.Time) bool {
	state := l.owner(name)
	if state.pinging || state.lastResponse.After(sentAt) {
		return false
	}
	state.pinging = true
	return true
}

// endPing records the result of a ping, the one with the given number in a row, and
// returns the delay of the next one, or false if there is none. An owner that answers
// is used again at once; one that doesn't is avoided until the result of the next ping.
func (l *liveness) endPing(name cluster.ProxyName, ping int, answered bool, now time.Time) (delay time.Duration, again bool) {
	state := l.owner(name)
	state.pinging = !answered && ping < maxPings
	if answered {
		state.lastResponse, state.avoidUntil = now, time.Time{}
		return 0, false
	}
	l.avoid(name, pingInterval+2*pingTimeout, now)
	if ping < pingsToCancel {
		return secondPingDelay, true
	}
	for call, cancel := range state.reads {
		cancel(errOwnerSilent)
		delete(state.reads, call)
	}
	return pingInterval, state.pinging
}

// pingSilent pings an owner until it answers, if it hasn't answered since sentAt.
func (c *OwnerClient) pingSilent(owner ownership.Peer, sentAt time.Time) {
	c.mu.Lock()
	begin := c.liveness.beginPing(owner.Name, sentAt)
	c.mu.Unlock()
	if !begin {
		return
	}
	for ping := 1; ; ping++ {
		err := c.ping(owner)
		c.mu.Lock()
		delay, again := c.liveness.endPing(owner.Name, ping, err == nil, time.Now())
		c.mu.Unlock()
		if ping == 1 && err != nil {
			c.logger.Info("owner of connections is silent; it is avoided until it answers", "proxy", owner.Name,
				"silent-ms", time.Since(sentAt).Milliseconds(), "error", err.Error())
		}
		if ping > 1 && err == nil {
			c.logger.Info("owner of connections answers again", "proxy", owner.Name, "silent-ms", time.Since(sentAt).Milliseconds())
		}
		if !again {
			return
		}
		pause.For(context.Background(), delay)
	}
}

// ping pings an owner. A proxy of a version that knows no pings answers, too.
func (c *OwnerClient) ping(owner ownership.Peer) error {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	client := fleetpb.NewBrokerProtobufClient(transport.URL(owner.Address), c.httpClient)
	_, err := client.Ping(ctx, &fleetpb.PingRequest{})
	var answer twirp.Error
	if errors.As(err, &answer) && answer.Code() == twirp.BadRoute {
		return nil
	}
	return err
}
