// Package detect joins the evidence of many proxies with control's own probe
// into one verdict about a primary.
//
// # Usage
//
//	verdict := detect.Judge(detect.Evidence{Reports: reports, LiveProxies: 9, Probe: probe}, now)
//	if verdict.Replace() { ... }
//
// Judge is a pure function. A report says that PLATFORM STATUS on the primary
// failed, or that it answers but no majority of the voters gets its log.
// Slow statements of callers are no evidence: an overloaded primary still
// answers PLATFORM STATUS.
package detect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Fine is the verdict without evidence, or with too little of it.
	Fine Verdict = iota
	// Overloaded is the verdict on a primary that answers control while
	// proxies see it silent.
	Overloaded
	// Dead is the verdict on a primary whose host refuses or resets.
	Dead
	// Frozen is the verdict on a primary that answers nobody.
	Frozen
	// CutOff is the verdict on a primary that is alive but can't be reached
	// by most proxies, or whose log reaches no majority.
	CutOff
)

const (
	// KindRefused is a refused connection.
	KindRefused Kind = "refused"
	// KindReset is a connection that was lost.
	KindReset Kind = "reset"
	// KindTimeout is a status that wasn't answered in time.
	KindTimeout Kind = "timeout"
	// KindUnconfirmed is a primary that answers but whose log no majority of
	// the voters holds.
	KindUnconfirmed Kind = "unconfirmed"
)

const (
	// ReportLifetime is how long a proxy's report counts after it was last
	// heard.
	ReportLifetime = 2 * time.Second
	// FrozenAfter is how long a primary is silent towards proxies before it
	// counts as frozen, unless it survived longer pauses lately.
	FrozenAfter = 500 * time.Millisecond
	// MaxFrozenAfter bounds that time for a primary that pauses often.
	MaxFrozenAfter = 1200 * time.Millisecond
	// ProbeFailingFor is how long control's own probes fail before a silent
	// primary counts as frozen.
	ProbeFailingFor = 250 * time.Millisecond
	// CutOffAfter is how long a primary that answers control is out of reach
	// of most proxies before it counts as cut off.
	CutOffAfter = 1200 * time.Millisecond

	// quorumOfReports is the number of proxies whose agreement is needed.
	quorumOfReports = 2
)

type (
	// Verdict is what is held of a primary.
	Verdict uint8

	// Kind is the kind of a proxy's evidence.
	Kind string

	// Report is the standing evidence of one proxy.
	Report struct {
		Proxy cluster.ProxyName
		Kind  Kind
		// SilentFor is how long the proxy had seen the fault when it reported.
		SilentFor time.Duration
		// ReceivedAt is when the report came.
		ReceivedAt time.Time
	}

	// Probe is the outcome of control's own probes.
	Probe struct {
		// LastSuccess is when the primary last answered; zero if it hasn't.
		LastSuccess time.Time
		// LastFailure is when the newest of a row of failures was seen; zero if
		// the newest probe was answered or none was made.
		LastFailure time.Time
		// FailingSince is when the first probe of that row was sent.
		FailingSince time.Time
		Kind         Kind
	}

	// Evidence is all that is known about one primary.
	Evidence struct {
		Reports []Report
		// Observers is the number of live proxies that use the group, or have
		// reported on it: others can't tell anything.
		Observers int
		Probe     Probe
		// FrozenAfter is the silence after which the primary counts as
		// frozen; zero: the constant of that name.
		FrozenAfter time.Duration
		// Stalled tells that control itself holds that the primary's log
		// reaches no majority.
		Stalled bool
	}

	tally struct {
		gone        int
		silent      int
		unconfirmed int
		// longest is how long at least as many proxies as are needed have
		// seen the primary silent or gone.
		longest time.Duration
	}
)

// NeedsReplacement reports whether the verdict calls for a new primary.
func (v Verdict) NeedsReplacement() bool { return v == Dead || v == Frozen || v == CutOff }

// String returns the verdict as a word.
func (v Verdict) String() string {
	switch v {
	case Overloaded:
		return "overloaded"
	case Dead:
		return "dead"
	case Frozen:
		return "frozen"
	case CutOff:
		return "cut-off"
	default:
		return "fine"
	}
}

// Evaluate returns the verdict on a primary. Evidence of one proxy alone never
// replaces it, unless control's own probe fails too.
func Evaluate(evidence Evidence, now time.Time) Verdict {
	count := countReports(evidence, now)
	unreachable := count.gone + count.silent
	if unreachable == 0 && count.unconfirmed == 0 {
		return Fine
	}
	failing := !evidence.Probe.LastFailure.IsZero()
	failingFor := evidence.Probe.LastFailure.Sub(evidence.Probe.FailingSince)
	switch {
	case failing && isGone(evidence.Probe.Kind) && count.gone >= 1:
		return Dead
	case failing && count.gone >= quorumOfReports:
		return Dead
	case failing && failingFor >= ProbeFailingFor && count.longest >= evidence.frozenAfter() && enough(unreachable, evidence.Observers):
		return Frozen
	case isMost(count.unconfirmed, evidence.Observers) && count.unconfirmed >= quorumOfReports:
		return CutOff
	case failing && failingFor >= ProbeFailingFor && count.unconfirmed > 0 && enough(unreachable+count.unconfirmed, evidence.Observers):
		return CutOff
	case failing:
		return Fine
	case count.unconfirmed > 0 && evidence.Stalled:
		return CutOff
	case isMost(unreachable, evidence.Observers) && unreachable >= quorumOfReports && count.longest >= CutOffAfter && !evidence.Probe.LastSuccess.IsZero():
		return CutOff
	case count.silent > 0 && !evidence.Probe.LastSuccess.IsZero():
		return Overloaded
	default:
		return Fine
	}
}

func (e Evidence) frozenAfter() time.Duration {
	if e.FrozenAfter == 0 {
		return FrozenAfter
	}
	return e.FrozenAfter
}

func countReports(evidence Evidence, now time.Time) tally {
	var count tally
	for _, report := range evidence.Reports {
		if now.Sub(report.ReceivedAt) > ReportLifetime {
			continue
		}
		switch report.Kind {
		case KindRefused, KindReset:
			count.gone++
		case KindTimeout:
			count.silent++
		case KindUnconfirmed:
			count.unconfirmed++
		}
	}
	count.longest = evidence.SilentFor(now)
	return count
}

// SilentFor returns for how long as many proxies as are needed have found the
// primary out of reach: one proxy's lossy link counts for nothing.
func (e Evidence) SilentFor(now time.Time) time.Duration {
	var first, second time.Duration
	for _, report := range e.Reports {
		age := now.Sub(report.ReceivedAt)
		if report.Kind == KindUnconfirmed || age > ReportLifetime {
			continue
		}
		silent := report.SilentFor + age
		second = max(second, min(first, silent))
		first = max(first, silent)
	}
	if enough(1, e.Observers) {
		return first
	}
	return second
}

func isGone(kind Kind) bool { return kind == KindRefused || kind == KindReset }

// enough reports whether the proxies that agree, together with control's own
// failing probe, outweigh one proxy's fault.
func enough(agreeing, witnesses int) bool {
	return agreeing >= quorumOfReports || isMost(agreeing, witnesses)
}

func isMost(agreeing, witnesses int) bool { return agreeing > 0 && 2*agreeing > witnesses }
