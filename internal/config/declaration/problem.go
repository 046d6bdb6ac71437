package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// String returns the fault on one line: "file:line: field: text (fix)".
func (f Problem) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Text)
	if f.Fix != "" {
		b.WriteString(" (" + f.Fix + ")")
	}
	return b.String()
}

func sortFaults(faults []Problem) {
	slices.SortStableFunc(faults, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
