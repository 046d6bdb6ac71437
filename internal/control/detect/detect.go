// Package detect is control's failure detector: it combines the reports of many
// proxies with control's own probe into one verdict on a primary.
//
// # Usage
//
//	verdict := detect.Evaluate(detect.Evidence{Reports: reports, Observers: 9, Probe: probe}, now)
//	if verdict.NeedsReplacement() { ... }
//
// Evaluate is a pure function. A report says that the statement PLATFORM STATUS
// (see package adapter) failed on the primary, or that the primary answers but
// no majority of the voters receives its log. Slow statements of callers are no
// evidence: an overloaded primary still answers PLATFORM STATUS.
//
// A probe is one PLATFORM STATUS that control itself sends to the primary. Voters
// are the servers of the group of which a majority must hold each confirmed entry.
package detect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Fine is the verdict if there is no evidence against the primary, or not
	// enough.
	Fine Verdict = iota
	// Overloaded is the verdict on a primary that answers control while its
	// answers to proxies time out.
	Overloaded
	// Dead is the verdict on a primary whose host refuses or resets
	// connections.
	Dead
	// Frozen is the verdict on a primary that answers neither control nor
	// proxies.
	Frozen
	// CutOff is the verdict on a primary that is alive but that most proxies
	// can't reach, or whose log reaches no majority of the voters.
	CutOff
)

const (
	// KindRefused says that the primary's host refused a connection.
	KindRefused Kind = "refused"
	// KindReset says that a connection to the primary was lost.
	KindReset Kind = "reset"
	// KindTimeout says that the primary didn't answer PLATFORM STATUS in time.
	KindTimeout Kind = "timeout"
	// KindUnconfirmed says that the primary answers but that no majority of the
	// voters has received its log.
	KindUnconfirmed Kind = "unconfirmed"
)

const (
	// ReportLifetime is how long a proxy's report counts after it was received.
	ReportLifetime = 2 * time.Second
	// FrozenAfter is how long proxies must have had no answer from a primary
	// before it counts as frozen, unless it recently survived longer pauses.
	FrozenAfter = 500 * time.Millisecond
	// MaxFrozenAfter is the upper bound of FrozenAfter for a group whose
	// primaries recently survived pauses.
	MaxFrozenAfter = 1200 * time.Millisecond
	// ProbeFailingFor is how long control's own probes must have failed before
	// they count, beside the proxies' reports, as evidence that a primary is
	// frozen or cut off. The verdict Dead needs no such delay.
	ProbeFailingFor = 250 * time.Millisecond
	// CutOffAfter is how long most proxies must have been unable to reach a
	// primary that answers control before it counts as cut off.
	CutOffAfter = 1200 * time.Millisecond

	// minReports is the number of proxies that must agree on a fault. If the
	// group has fewer observers, a majority of them is enough.
	minReports = 2
)

type (
	// Verdict is the state of a primary as far as the evidence shows.
	Verdict uint8

	// Kind is the kind of fault that a proxy or a probe has observed.
	Kind string

	// Report is the newest report of one proxy about a primary.
	Report struct {
		Proxy cluster.ProxyName
		Kind  Kind
		// SilentFor is how long the fault had lasted when the proxy reported
		// it.
		SilentFor time.Duration
		// ReceivedAt is when control received the report.
		ReceivedAt time.Time
	}

	// Probe is the outcome of control's own probes of a primary.
	Probe struct {
		// LastSuccess is when the primary last answered; zero if it hasn't.
		LastSuccess time.Time
		// LastFailure is when the newest of the consecutive failures was
		// observed; zero if the newest probe was answered or none was made.
		LastFailure time.Time
		// FailingSince is when the first of the consecutive failed probes was
		// sent.
		FailingSince time.Time
		// Kind is the kind of the newest failure.
		Kind Kind
	}

	// Evidence is all that is known about one primary.
	Evidence struct {
		Reports []Report
		// Observers is the number of live proxies that use the group or have
		// reported on it. Other proxies have no connections to its primary.
		Observers int
		Probe     Probe
		// FrozenAfter is how long the primary must have been silent before it
		// counts as frozen; zero means the constant FrozenAfter.
		FrozenAfter time.Duration
		// Stalled is true if control itself observes that the primary's log
		// reaches no majority of the voters.
		Stalled bool
	}

	// reportCounts holds the number of current reports by kind.
	reportCounts struct {
		// disconnected counts refused and lost connections.
		disconnected int
		timedOut     int
		unconfirmed  int
		// silentFor is how long the required number of proxies has been unable
		// to reach the primary.
		silentFor time.Duration
	}
)

// NeedsReplacement reports whether the verdict calls for a new primary.
func (v Verdict) NeedsReplacement() bool { return v == Dead || v == Frozen || v == CutOff }

// String returns the verdict as a word, in the form that operators see.
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

// Evaluate returns the verdict on a primary. The report of a single proxy leads
// to a replacement only if control's own probe fails too, or if control itself
// observes that the primary's log reaches no majority.
func Evaluate(evidence Evidence, now time.Time) Verdict {
	counts := countReports(evidence, now)
	unreachable := counts.disconnected + counts.timedOut
	if unreachable == 0 && counts.unconfirmed == 0 {
		return Fine
	}
	failing := !evidence.Probe.LastFailure.IsZero()
	failingFor := evidence.Probe.LastFailure.Sub(evidence.Probe.FailingSince)
	switch {
	case failing && isDisconnected(evidence.Probe.Kind) && counts.disconnected >= 1:
		return Dead
	case failing && counts.disconnected >= minReports:
		return Dead
	case failing && failingFor >= ProbeFailingFor && counts.silentFor >= evidence.frozenAfter() && isSufficient(unreachable, evidence.Observers):
		return Frozen
	case isMajority(counts.unconfirmed, evidence.Observers) && counts.unconfirmed >= minReports:
		return CutOff
	case failing && failingFor >= ProbeFailingFor && counts.unconfirmed > 0 && isSufficient(unreachable+counts.unconfirmed, evidence.Observers):
		return CutOff
	case failing:
		return Fine
	case counts.unconfirmed > 0 && evidence.Stalled:
		return CutOff
	case isMajority(unreachable, evidence.Observers) && unreachable >= minReports && counts.silentFor >= CutOffAfter && !evidence.Probe.LastSuccess.IsZero():
		return CutOff
	case counts.timedOut > 0 && !evidence.Probe.LastSuccess.IsZero():
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

// countReports counts the reports that are no older than ReportLifetime.
func countReports(evidence Evidence, now time.Time) reportCounts {
	var counts reportCounts
	for _, report := range evidence.Reports {
		if now.Sub(report.ReceivedAt) > ReportLifetime {
			continue
		}
		switch report.Kind {
		case KindRefused, KindReset:
			counts.disconnected++
		case KindTimeout:
			counts.timedOut++
		case KindUnconfirmed:
			counts.unconfirmed++
		}
	}
	counts.silentFor = evidence.SilentFor(now)
	return counts
}

// SilentFor returns for how long the primary has been unreachable for as many
// proxies as a replacement requires: usually the second longest time reported,
// so that one proxy's lossy link doesn't count.
func (e Evidence) SilentFor(now time.Time) time.Duration {
	var longest, secondLongest time.Duration
	for _, report := range e.Reports {
		age := now.Sub(report.ReceivedAt)
		if report.Kind == KindUnconfirmed || age > ReportLifetime {
			continue
		}
		silentFor := report.SilentFor + age
		secondLongest = max(secondLongest, min(longest, silentFor))
		longest = max(longest, silentFor)
	}
	if isSufficient(1, e.Observers) {
		return longest
	}
	return secondLongest
}

func isDisconnected(kind Kind) bool { return kind == KindRefused || kind == KindReset }

// isSufficient reports whether enough proxies agree that, together with
// control's own failing probe, the fault can't be that of a single proxy.
func isSufficient(agreeing, observers int) bool {
	return agreeing >= minReports || isMajority(agreeing, observers)
}

func isMajority(agreeing, observers int) bool { return agreeing > 0 && 2*agreeing > observers }
