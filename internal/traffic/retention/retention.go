// Package retention decides which of the connections to a server stay open where a
// connection belongs to one customer and there are more customers than connections. It
// does no input or output.
//
// # Usage
//
//	demand := retention.New()
//	demand.Record("harbour-hotel", busy, now) // its work needs another connection
//	i, worth := demand.Cheapest(idle, now)    // the one to close for another customer
//
// # Load pattern
//
// A server accepts some 50 connections from all proxies, and 80 customers of very
// uneven size send to it: the largest one a fifth of all work, the smallest ones a
// statement in several seconds each. Opening a connection takes about as long as a
// statement, of the same slots. If the connection that was used least recently is
// closed, a burst of small customers, one statement each, closes those of the large
// ones, and all of their next statements open one again.
//
// So what is closed is what is needed least often: for a customer's only connection the
// recent rate of its work, and for a further one the rate of the work that came while
// as many others were busy. A customer that was busy for a moment gives up the further
// connections soon, and a customer that left gives up its last one once the others have
// been used more often.
package retention

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/recent"
)

const (
	// halfLife is the time after which a use counts half. It is long enough to tell
	// the rates of customers that send a statement in several seconds.
	halfLife = 30 * time.Second
	// maxCount bounds the connections of one customer that are told apart.
	maxCount = 8
)

type (
	// Demand holds how often the customers needed how many connections lately. It
	// isn't safe for concurrent use.
	Demand struct {
		needs *recent.Sums[need]
	}

	// Held is a connection that may be closed.
	Held struct {
		Customer customer.Name
		// Count is the number of connections of the customer, idle or not.
		Count int
	}

	// need identifies work of a customer that needed at least count connections.
	need struct {
		customer customer.Name
		count    int
	}
)

// New returns a demand without uses.
func New() *Demand { return &Demand{needs: recent.New[need](halfLife)} }

// Record records that work of a customer came while busy connections of the customer
// were in use.
func (d *Demand) Record(name customer.Name, busy int, now time.Time) {
	for count := 1; count <= min(busy+1, maxCount); count++ {
		d.needs.Add(need{name, count}, 1, now)
	}
}

// Worth returns how often a connection is needed: the number of recent uses for which
// the customer needed as many connections as it has with this one.
func (d *Demand) Worth(h Held, now time.Time) float64 {
	return d.needs.Get(need{h.Customer, min(h.Count, maxCount)}, now)
}

// Cheapest returns the index of the connection of the least worth, of several the first
// one, and its worth. The index is -1 if there is none.
func (d *Demand) Cheapest(held []Held, now time.Time) (index int, worth float64) {
	index = -1
	for i, h := range held {
		if w := d.Worth(h, now); index < 0 || w < worth {
			index, worth = i, w
		}
	}
	return index, worth
}
