package fleetrpc

import (
	"bytes"
	"compress/flate"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// packedParts keeps the last packed content of each part, because hundreds of proxies need
// the same after a restart. It is safe for concurrent use.
type packedParts struct {
	mu    sync.Mutex
	parts [parts.Count]struct {
		digest uint64
		packed []byte
	}
}

// get returns a fleetpb.Part, compressed. What holds times relative to now isn't kept.
func (p *packedParts) get(content coordinator.PartContent, now time.Time) ([]byte, error) {
	timed := false
	for _, s := range content.Servers {
		timed = timed || s.Draining || s.ColdUntil.After(now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := &p.parts[content.Number]
	if !timed && kept.digest == content.Digest && kept.packed != nil {
		return kept.packed, nil
	}
	packed, err := packPart(content, now)
	if err == nil && !timed {
		kept.digest, kept.packed = content.Digest, packed
	}
	return packed, err
}

func packPart(content coordinator.PartContent, now time.Time) ([]byte, error) {
	part := &fleetpb.Part{Number: uint32(content.Number)}
	for _, s := range content.Servers {
		part.Servers = append(part.Servers, protoconv.ServerToProto(s, now))
	}
	for group, p := range content.Primaries {
		part.Primacies = append(part.Primacies, primacyToProto(group, p))
	}
	encoded, err := proto.Marshal(part)
	if err != nil {
		return nil, eris.Wrapf(err, "encode part %d of the state", content.Number)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress a part of the state")
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, eris.Wrap(err, "compress a part of the state")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a part of the state")
	}
	return packed.Bytes(), nil
}
