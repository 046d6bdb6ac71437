package state

import "maps"

// Answers keeps the first answers of the newest change identifiers.
type Answers struct {
	ByID map[string]Answer `json:"by-id"`
	// Order lists the identifiers, oldest first.
	Order []string `json:"order"`
}

// with returns the answers and one more, without the oldest above the bound.
func (a Answers) with(id string, answer Answer) Answers {
	next := Answers{ByID: maps.Clone(a.ByID), Order: append(a.Order[:len(a.Order):len(a.Order)], id)}
	if next.ByID == nil {
		next.ByID = map[string]Answer{}
	}
	next.ByID[id] = answer
	for len(next.Order) > MaxAnswers {
		delete(next.ByID, next.Order[0])
		next.Order = next.Order[1:]
	}
	return next
}
