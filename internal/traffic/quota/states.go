package quota

// This file holds what operators see of a customer's tokens.

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// calmTime is the time without a refusal after which a customer counts as within its
	// limit again, and maxTransitions bounds what Transitions returns at once.
	calmTime       = 5 * time.Second
	maxTransitions = 8
)

type (
	// State is the state of one customer's tokens, for metrics and the log.
	State struct {
		Customer customer.Name
		// Limit is as of the last refusal.
		Limit              customer.Limit
		Available, Waiting int
		Demand             float64
		// AnswerAge is the time since the leader last answered for the customer.
		AnswerAge time.Duration
	}

	// Transition is a customer that began or ceased to be refused.
	Transition struct {
		State
		// Began is false if no operation was refused for calmTime.
		Began bool
		// Refused operations since Since ago.
		Refused int
		Since   time.Duration
	}
)

// States returns the state of all customers that are in use, by name.
func (h *Holder) States(now time.Time) []State {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]State, 0, len(h.accounts))
	for _, a := range h.accounts {
		list = append(list, h.state(a, now))
	}
	slices.SortFunc(list, func(a, b State) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
	return list
}

func (h *Holder) state(a *account, now time.Time) State {
	s := State{Customer: a.name, Limit: a.limit, Waiting: a.waiting, Demand: a.demandNow(now), AnswerAge: now.Sub(a.answeredAt)}
	if now.Before(h.validUntil) {
		s.Available = a.available
	}
	return s
}

// Transitions returns the customers that began or ceased to be refused since the last
// call, or some of them if there are many.
func (h *Holder) Transitions(now time.Time) []Transition {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Transition
	for _, a := range h.accounts {
		began, ended := a.refused > 0 && !a.logged, a.logged && now.Sub(a.lastRefusal) >= calmTime
		if len(list) == maxTransitions || !began && !ended {
			continue
		}
		list = append(list, Transition{State: h.state(a, now), Began: began, Refused: a.refused, Since: now.Sub(a.startedAt)})
		a.logged = began
		if ended {
			a.refused = 0
		}
	}
	return list
}
