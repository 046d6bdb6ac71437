package trace

import (
	"cmp"
	"slices"
	"time"
)

const (
	keyCause   = "cause"
	keyWaited  = "waited-ms"
	keyPrimary = "primary-only"

	messageNotDone = "statement not done"
	messageLate    = "statement late"
	outcomeLate    = "late"
	causeUnknown   = "unknown"
)

type (
	// Loss counts the statements that were late or not done in one window of time, on
	// one group, for one cause.
	Loss struct {
		// Window is the start of the window.
		Window time.Time
		Group  string
		// Database is the database of the statements, Primary whether they may run
		// only on the primary.
		Database string
		Primary  bool
		// Outcome is "late", or how the statements ended: "busy", "aborted",
		// "unknown", "timed-out" and others.
		Outcome string
		// Cause is what the last attempt failed for.
		Cause string
		Count int
		// Waited is the time that the statements waited in their proxies, Total the
		// time until they were answered.
		Waited, Total time.Duration
	}

	// lossKey identifies the statements that one Loss counts.
	lossKey struct {
		window                          time.Time
		group, database, outcome, cause string
		primary                         bool
	}
)

// Summarize counts the statements that were late or not done, by window, group, database,
// outcome and cause, in the order of time, the most frequent of a window first. A caller
// that comes back is counted again.
func Summarize(lines []Line, window time.Duration) []Loss {
	losses := map[lossKey]*Loss{}
	for _, line := range lines {
		key, counts := newLossKey(line, window)
		if !counts {
			continue
		}
		loss := losses[key]
		if loss == nil {
			loss = &Loss{Window: key.window, Group: key.group, Database: key.database, Primary: key.primary, Outcome: key.outcome, Cause: key.cause}
			losses[key] = loss
		}
		loss.Count++
		loss.Waited += millisecondsField(line.Fields, keyWaited)
		loss.Total += millisecondsField(line.Fields, keyTotal)
	}
	list := make([]Loss, 0, len(losses))
	for _, loss := range losses {
		list = append(list, *loss)
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(a.Window.Compare(b.Window), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Database, b.Database), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// newLossKey returns what a line's statement is counted under, and false if the line
// isn't about a statement that was late or not done.
func newLossKey(line Line, window time.Duration) (lossKey, bool) {
	key := lossKey{
		window: line.Time.Truncate(window), group: stringField(line.Fields, keyGroup), database: stringField(line.Fields, keyDatabase),
		outcome: stringField(line.Fields, keyOutcome), cause: cmp.Or(stringField(line.Fields, keyCause), causeUnknown),
	}
	key.primary, _ = line.Fields[keyPrimary].(bool)
	switch line.Message {
	case messageNotDone:
		return key, true
	case messageLate:
		key.outcome = outcomeLate
		return key, true
	default:
		return lossKey{}, false
	}
}

// millisecondsField returns the duration under a key that holds milliseconds.
func millisecondsField(fields map[string]any, key string) time.Duration {
	value, _ := fields[key].(float64)
	return time.Duration(value * float64(time.Millisecond))
}
