package admission

// This file holds how customers share a server that can't do all of their work in time.

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/recent"
)

const (
	// useHalfLife is the time after which work that a server did for a customer counts
	// half.
	useHalfLife = time.Second
	// useRefresh is how often the decay of what customers had is applied.
	useRefresh = 20 * time.Millisecond
	// maxExcess bounds how much a customer's excess counts against the length of work:
	// long work of a customer within its share gives way to many short ones of a
	// customer beyond it.
	maxExcess = 8
	// maxIdleAccounts is the number of accounts above which those of an empty queue
	// are dropped.
	maxIdleAccounts = 64
)

type (
	// shares holds what customers had of a server lately and what they wait for.
	shares struct {
		uses     *recent.Sums[customer.Name]
		accounts map[customer.Name]*account
		// active are the accounts of the queue's items.
		active []*account
	}

	// account is one customer's part in a queue.
	account struct {
		name   customer.Name
		weight float64
		// used is the server's recent work for the customer as of refreshed, and
		// waiting the work that it waits for, both in nanoseconds of service.
		used      float64
		refreshed time.Time
		waiting   float64
		// excess is the ratio of used and waiting to the customer's share of all of
		// that, at least 1 and at most maxExcess.
		excess float64
		// items is the number of items that wait.
		items int
	}
)

// open returns the account of a customer; nil: there is no customer.
func (s *shares) open(name customer.Name, weight int) *account {
	if name == "" {
		return nil
	}
	if s.accounts == nil {
		s.accounts, s.uses = map[customer.Name]*account{}, recent.New[customer.Name](useHalfLife)
	}
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, excess: 1}
		s.accounts[name] = a
	}
	a.weight = float64(max(1, weight))
	return a
}

// add adds an item's work to what its customer waits for.
func (s *shares) add(a *account, work time.Duration) {
	if a == nil {
		return
	}
	if a.items == 0 {
		s.active = append(s.active, a)
	}
	a.items++
	a.waiting += float64(work)
}

// remove removes an item's work from what its customer waits for.
func (s *shares) remove(a *account, work time.Duration) {
	if a == nil {
		return
	}
	a.items--
	a.waiting -= float64(work)
	if a.items == 0 {
		a.waiting = 0
		s.active = slices.DeleteFunc(s.active, func(other *account) bool { return other == a })
	}
}

// forgetIdle drops the accounts if there are many. The queue must be empty.
func (s *shares) forgetIdle() {
	if len(s.accounts) > maxIdleAccounts {
		clear(s.accounts)
	}
}

// record records that the server does work for a customer.
func (s *shares) record(a *account, work time.Duration, now time.Time) {
	if a != nil {
		s.uses.Add(a.name, float64(work), now)
		a.used += float64(work)
	}
}

// Record records that a customer's work of an expected service time goes to the server
// without having waited.
func (q *Queue[T]) Record(name customer.Name, weight int, service time.Duration, now time.Time) {
	q.shares.record(q.shares.open(name, weight), q.workOf(service), now)
}

// measure computes each customer's excess.
func (s *shares) measure(now time.Time) {
	sum, weights := 0.0, 0.0
	for _, a := range s.active {
		if now.Sub(a.refreshed) > useRefresh {
			a.used, a.refreshed = s.uses.Get(a.name, now), now
		}
		sum, weights = sum+a.used+a.waiting, weights+a.weight
	}
	for _, a := range s.active {
		a.excess = min(max((a.used+a.waiting)/a.weight*weights/max(sum, 1), 1), maxExcess)
	}
}

// workOf returns the time that the server executes work of an expected service time; zero:
// unknown.
func (q *Queue[T]) workOf(service time.Duration) time.Duration {
	return cmp.Or(service, q.meanService, time.Millisecond)
}

// excess returns that of the item's customer, or 1 without one.
func (i *queued[T]) excess() float64 {
	if i.account == nil {
		return 1
	}
	return i.account.excess
}
