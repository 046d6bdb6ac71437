package fleetrpc

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/state"
)

// packed keeps the compressed form of the newest document: each proxy fetches
// each version.
type packed struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

func (p *packed) get(d state.Document) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == d.Version {
		return p.bytes, nil
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(d.Body); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	p.version, p.bytes = d.Version, buffer.Bytes()
	return p.bytes, nil
}
