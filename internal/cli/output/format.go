package output

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// FormatLabels returns labels as "a=b,c=d", sorted by key.
func FormatLabels[M ~map[string]string](labels M) string {
	pairs := make([]string, 0, len(labels))
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		pairs = append(pairs, key+"="+labels[key])
	}
	return strings.Join(pairs, ",")
}

// FormatMark returns a mark, which is a log position, as "term/position".
func FormatMark(mark *controlpb.Mark) string {
	return fmt.Sprintf("%d/%d", mark.GetTerm(), mark.GetPosition())
}
