package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// String returns the problem on one line: "file:line: field: text (fix)".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	if p.Fix != "" {
		b.WriteString(" (" + p.Fix + ")")
	}
	return b.String()
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
