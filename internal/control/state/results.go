package state

import "maps"

// ApplyResults holds the first results of the most recent change identifiers.
type ApplyResults struct {
	ByID map[string]ApplyResult `json:"by-id"`
	// Order lists the identifiers, oldest first.
	Order []string `json:"order"`
}

// withResult returns the results with one more, without the oldest ones above
// MaxApplyResults.
func (a ApplyResults) withResult(id string, result ApplyResult) ApplyResults {
	next := ApplyResults{ByID: maps.Clone(a.ByID), Order: append(a.Order[:len(a.Order):len(a.Order)], id)}
	if next.ByID == nil {
		next.ByID = map[string]ApplyResult{}
	}
	next.ByID[id] = result
	for len(next.Order) > MaxApplyResults {
		delete(next.ByID, next.Order[0])
		next.Order = next.Order[1:]
	}
	return next
}
