package customer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// rateWindow is the time over which rates are shown beside those of the last interval.
const rateWindow = 5 * time.Second

type (
	// sample holds the counts of all proxies that answered at one time.
	sample struct {
		at      time.Time
		proxies map[string]map[string]*scrape.Customer
	}

	// window holds the samples of the last rateWindow, oldest first, and one before.
	window struct {
		samples []sample
	}

	// use is what a customer used, summed over proxies.
	use struct {
		name string
		// now and recent are the admitted operations a second, in the last interval
		// and in the last rateWindow.
		now, recent float64
		// share is the customer's part of all operations admitted in the last
		// rateWindow.
		share float64
		// admitted is the number of operations, and refused that by reason, in the
		// last rateWindow.
		admitted int64
		refused  map[string]int64
		tokens   int64
		// connections are open now, opened is the number in the last rateWindow.
		connections int64
		opened      int64
	}
)

// add adds a sample and drops those that are too old.
func (w *window) add(s sample) {
	w.samples = append(w.samples, s)
	for len(w.samples) > 2 && s.at.Sub(w.samples[1].at) >= rateWindow {
		w.samples = w.samples[1:]
	}
}

// uses returns the use of each customer, those with the most admitted operations first.
func (w *window) uses() []use {
	if len(w.samples) == 0 {
		return nil
	}
	newest := w.samples[len(w.samples)-1]
	uses := make(map[string]*use)
	var all int64
	for proxy, customers := range newest.proxies {
		for name, c := range customers {
			u := uses[name]
			if u == nil {
				u = &use{name: name, refused: make(map[string]int64)}
				uses[name] = u
			}
			u.tokens += c.Tokens
			u.connections += c.Connections
			w.addChanges(u, proxy, c)
		}
	}
	list := make([]use, 0, len(uses))
	for _, u := range uses {
		all += u.admitted
	}
	for _, u := range uses {
		if all > 0 {
			u.share = float64(u.admitted) / float64(all)
		}
		list = append(list, *u)
	}
	slices.SortFunc(list, func(a, b use) int {
		return cmp.Or(cmp.Compare(b.admitted, a.admitted), cmp.Compare(b.refusals(), a.refusals()), cmp.Compare(a.name, b.name))
	})
	return list
}

// addChanges adds what a proxy counted since the oldest sample, and its rates. A proxy
// that isn't in an older sample adds nothing.
func (w *window) addChanges(u *use, proxy string, newest *scrape.Customer) {
	at := w.samples[len(w.samples)-1].at
	if old, before, ok := w.earlier(0, proxy, u.name); ok {
		for outcome, n := range newest.Operations {
			change := increase(old.Operations[outcome], n)
			if reason, refused := strings.CutPrefix(outcome, metrics.OutcomeRefusedPrefix); refused {
				u.refused[reason] += change
			} else if outcome == metrics.OutcomeAdmitted {
				u.admitted += change
				u.recent += perSecond(change, at.Sub(before))
			}
		}
		u.opened += increase(old.Opened, newest.Opened)
	}
	if old, before, ok := w.earlier(len(w.samples)-2, proxy, u.name); ok {
		u.now += perSecond(increase(old.Operations[metrics.OutcomeAdmitted], newest.Operations[metrics.OutcomeAdmitted]), at.Sub(before))
	}
}

// earlier returns a customer's counts at a proxy in a sample before the newest. Of a
// customer that the proxy didn't know then, they are 0.
func (w *window) earlier(index int, proxy, name string) (*scrape.Customer, time.Time, bool) {
	if index < 0 || index >= len(w.samples)-1 {
		return nil, time.Time{}, false
	}
	customers, ok := w.samples[index].proxies[proxy]
	if !ok {
		return nil, time.Time{}, false
	}
	if c := customers[name]; c != nil {
		return c, w.samples[index].at, true
	}
	return &scrape.Customer{}, w.samples[index].at, true
}

// increase returns by how much a counter grew. One that fell began anew with its process.
func increase(before, after int64) int64 {
	if after < before {
		return after
	}
	return after - before
}

func perSecond(n int64, duration time.Duration) float64 {
	if duration <= 0 {
		return 0
	}
	return float64(n) / duration.Seconds()
}

func (u use) refusals() int64 {
	var sum int64
	for _, n := range u.refused {
		sum += n
	}
	return sum
}
