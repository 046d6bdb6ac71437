package trace

import (
	"cmp"
	"maps"
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

	// maxCustomers is the number of customers that are counted on their own: those
	// with the most losses. The others are counted together under otherCustomer.
	maxCustomers  = 64
	otherCustomer = "other"
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
		// Customer is the customer of the statements; empty: none.
		Customer string
		Count    int
		// Waited is the time that the statements waited in their proxies, Total the
		// time until they were answered.
		Waited, Total time.Duration
	}
)

// Summarize counts the statements that were late or not done, by window, group, database,
// outcome, cause and customer, in the order of time, the most frequent of a window first.
// A caller that comes back is counted again. Customers past those with the most losses are
// counted as "other".
func Summarize(lines []Line, window time.Duration) []Loss {
	losses := map[Loss]*Loss{} // by what Loss counts, without the sums
	counted := countedCustomers(lines)
	for _, line := range lines {
		key, counts := newLoss(line, window)
		if !counts {
			continue
		}
		if key.Customer != "" && !counted[key.Customer] {
			key.Customer = otherCustomer
		}
		loss := losses[key]
		if loss == nil {
			loss = &key
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
			cmp.Compare(a.Database, b.Database), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Customer, b.Customer))
	})
	return list
}

// countedCustomers returns the customers with the most losses.
func countedCustomers(lines []Line) map[string]bool {
	losses := map[string]int{}
	for _, line := range lines {
		if loss, counts := newLoss(line, time.Hour); counts && loss.Customer != "" {
			losses[loss.Customer]++
		}
	}
	names := slices.SortedFunc(maps.Keys(losses), func(a, b string) int {
		return cmp.Or(cmp.Compare(losses[b], losses[a]), cmp.Compare(a, b))
	})
	counted := map[string]bool{}
	for _, name := range names[:min(len(names), maxCustomers)] {
		counted[name] = true
	}
	return counted
}

// newLoss returns what a line's statement is counted under, without counting it, and
// false if the line isn't about a statement that was late or not done.
func newLoss(line Line, window time.Duration) (Loss, bool) {
	loss := Loss{
		Window: line.Time.Truncate(window), Group: stringField(line.Fields, keyGroup), Database: stringField(line.Fields, keyDatabase),
		Outcome: stringField(line.Fields, keyOutcome), Cause: cmp.Or(stringField(line.Fields, keyCause), causeUnknown),
		Customer: stringField(line.Fields, keyCustomer),
	}
	loss.Primary, _ = line.Fields[keyPrimary].(bool)
	switch line.Message {
	case messageNotDone:
		return loss, true
	case messageLate:
		loss.Outcome = outcomeLate
		return loss, true
	default:
		return Loss{}, false
	}
}

// millisecondsField returns the duration under a key that holds milliseconds.
func millisecondsField(fields map[string]any, key string) time.Duration {
	value, _ := fields[key].(float64)
	return time.Duration(value * float64(time.Millisecond))
}
