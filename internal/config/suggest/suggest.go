// Package suggest finds the known name that a misspelt one most likely means.
//
// # Usage
//
//	if name, ok := suggest.Name("weigth", []string{"weight", "tenant"}); ok {
//		fmt.Printf("did you mean %q?", name)
//	}
package suggest

import "strings"

// minimumShare is the divisor of a name's length that bounds the edits: one
// edit for each two letters.
const minimumShare = 2

// Closest returns the candidate with the fewest edits from got, and false if all
// differ in more than half of their letters. The first of equals wins.
func Closest(got string, candidates []string) (string, bool) {
	best := ""
	bestEdits := -1
	for _, candidate := range candidates {
		edits := distance(strings.ToLower(got), strings.ToLower(candidate))
		if edits > max(len(got), len(candidate))/minimumShare {
			continue
		}
		if bestEdits < 0 || edits < bestEdits {
			best = candidate
			bestEdits = edits
		}
	}
	return best, bestEdits >= 0
}

// distance returns the Levenshtein distance of a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
