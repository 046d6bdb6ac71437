package state

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/packing"
)

// minPacked is the size from which a document's body is packed in the log and in snapshots.
const minPacked = 4 << 10

type (
	// Document is the operators' configuration as they submitted it.
	Document struct {
		// Version is 0 if no document has been stored yet.
		Version uint64
		Body    []byte
	}

	// encodedDocument is the encoding of a Document. Packed is the body if it is long;
	// releases before format 2 of snapshots wrote each body as it is.
	encodedDocument struct {
		Version uint64 `json:"version"`
		Body    []byte `json:"body"`
		Packed  []byte `json:"packed,omitempty"`
	}
)

// MarshalJSON returns the encoding of the document.
func (d Document) MarshalJSON() ([]byte, error) {
	encoded := encodedDocument{Version: d.Version, Body: d.Body}
	if len(d.Body) >= minPacked {
		packed, err := packing.Pack(d.Body)
		if err != nil {
			return nil, err
		}
		encoded.Body, encoded.Packed = nil, packed
	}
	text, err := json.Marshal(encoded)
	return text, eris.Wrapf(err, "encode version %d of the configuration document", d.Version)
}

// UnmarshalJSON is the inverse of MarshalJSON.
func (d *Document) UnmarshalJSON(text []byte) error {
	var encoded encodedDocument
	if err := json.Unmarshal(text, &encoded); err != nil {
		return eris.Wrap(err, "decode the configuration document")
	}
	d.Version, d.Body = encoded.Version, encoded.Body
	if encoded.Packed == nil {
		return nil
	}
	var err error
	d.Body, err = packing.Unpack(encoded.Packed)
	return err
}
