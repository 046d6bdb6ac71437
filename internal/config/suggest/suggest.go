// Package suggest finds the known name that is closest to a misspelt one.
//
// # Usage
//
//	if name, ok := suggest.Closest("weigth", []string{"weight", "tenant"}); ok {
//		fmt.Printf("did you mean %q?", name)
//	}
package suggest

import "strings"

// lettersPerEdit limits how much a suggestion may differ: one edit for every two
// letters of the longer name.
const lettersPerEdit = 2

// Closest returns the candidate with the smallest edit distance from name,
// ignoring case; of equally close candidates it returns the first. It returns
// false if every candidate differs from name in more than half of its letters.
func Closest(name string, candidates []string) (string, bool) {
	best := ""
	bestEdits := -1
	for _, candidate := range candidates {
		edits := distance(strings.ToLower(name), strings.ToLower(candidate))
		if edits > max(len(name), len(candidate))/lettersPerEdit {
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
