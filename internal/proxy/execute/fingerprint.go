package execute

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const hexadecimal = 16

// Fingerprint returns a hash of the statement texts and parameters that the
// request executes. It doesn't depend on the caller's names of prepared
// statements.
func (r *Request) Fingerprint() string {
	digest := xxhash.New()
	for i := range r.Items {
		item := &r.Items[i]
		message := wire.Message(r.data[item.start:item.end])
		switch item.Type {
		case wire.Query:
			_, _ = digest.Write(message.Body())
		case wire.Bind:
			_, _ = digest.WriteString(string(item.statement.Key))
			if _, _, rest, err := splitBind(message); err == nil {
				_, _ = digest.Write(rest)
			}
		}
	}
	return strconv.FormatUint(digest.Sum64(), hexadecimal)
}
