package state

import "maps"

// ApplyResults keeps the first answers of the newest change identifiers.
type ApplyResults struct {
	ByID map[string]ApplyResult `json:"by-id"`
	// Order lists the identifiers, oldest first.
	Order []string `json:"order"`
}

// with returns the answers and one more, without the oldest above the bound.
func (a ApplyResults) with(id string, answer ApplyResult) ApplyResults {
	next := ApplyResults{ByID: maps.Clone(a.ByID), Order: append(a.Order[:len(a.Order):len(a.Order)], id)}
	if next.ByID == nil {
		next.ByID = map[string]ApplyResult{}
	}
	next.ByID[id] = answer
	for len(next.Order) > MaxApplyResults {
		delete(next.ByID, next.Order[0])
		next.Order = next.Order[1:]
	}
	return next
}
