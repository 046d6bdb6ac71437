package fleetrpc

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/packing"
	"github.com/burdockwood/burdockwood/internal/fleet/patch"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
)

// maxEarlierDocuments is the number of earlier versions of the configuration document
// that are kept to make patches. Proxies that fetched an older one are sent the newest
// as a whole.
const maxEarlierDocuments = 8

// encodedDocument holds the newest configuration document as it is sent to proxies:
// compressed, and as patches of earlier versions. Every proxy fetches every version, so
// each form is made once. It is safe for concurrent use.
type encodedDocument struct {
	// proxyForm turns the body of a document into what proxies are sent; nil: they are
	// sent the body itself.
	proxyForm func(body []byte) ([]byte, error)
	mu        sync.Mutex
	newest    state.Document
	// earlier are the versions that were the newest before, the latest last.
	earlier    []state.Document
	compressed []byte
	// patches are the patches of earlier versions, by version.
	patches map[uint64][]byte
}

// get returns the document d for a proxy that holds another version, or none if held is
// zero: a patch of version from, or the compressed document if from is zero. d must not
// be older than in earlier calls.
func (e *encodedDocument) get(d state.Document, held uint64) (encoded []byte, from uint64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.setNewest(d); err != nil {
		return nil, 0, err
	}
	if encoded, err = e.patchOf(held); encoded != nil || err != nil {
		return encoded, held, err
	}
	if e.compressed == nil {
		e.compressed, err = packing.Pack(e.newest.Body)
	}
	return e.compressed, 0, err
}

// setNewest makes d the newest version. e.mu is held.
func (e *encodedDocument) setNewest(d state.Document) error {
	if d.Version == e.newest.Version {
		return nil
	}
	if e.proxyForm != nil {
		var err error
		if d.Body, err = e.proxyForm(d.Body); err != nil {
			return eris.Wrapf(err, "version %d in the proxies' form", d.Version)
		}
	}
	if e.newest.Version > 0 {
		e.earlier = append(e.earlier, e.newest)
	}
	if len(e.earlier) > maxEarlierDocuments {
		e.earlier = slices.Delete(e.earlier, 0, 1)
	}
	e.newest, e.compressed, e.patches = d, nil, map[uint64][]byte{}
	return nil
}

// patchOf returns the newest version as a patch of another one, or nil if that isn't
// kept. e.mu is held.
func (e *encodedDocument) patchOf(version uint64) ([]byte, error) {
	if encoded := e.patches[version]; encoded != nil {
		return encoded, nil
	}
	i := slices.IndexFunc(e.earlier, func(d state.Document) bool { return d.Version == version })
	if i < 0 {
		return nil, nil
	}
	encoded, err := patch.Encode(e.earlier[i].Body, e.newest.Body)
	if err != nil {
		return nil, err
	}
	e.patches[version] = encoded
	return encoded, nil
}
