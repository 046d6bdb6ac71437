package execute

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const hexadecimal = 16

// Fingerprint returns a hash of what the request executes: statement texts and
// parameters, not the names that the caller gave to statements.
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
			if _, _, rest, err := bindParts(message); err == nil {
				_, _ = digest.Write(rest)
			}
		}
	}
	return strconv.FormatUint(digest.Sum64(), hexadecimal)
}
