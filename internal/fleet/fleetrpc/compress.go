package fleetrpc

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/state"
)

// compressedDocument caches the newest configuration document in compressed form,
// because every proxy fetches every version. It is safe for concurrent use.
type compressedDocument struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// get returns the gzip-compressed body of d. It compresses d only if its version
// isn't the cached one.
func (c *compressedDocument) get(d state.Document) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == d.Version {
		return c.bytes, nil
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(d.Body); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	c.version, c.bytes = d.Version, buffer.Bytes()
	return c.bytes, nil
}
