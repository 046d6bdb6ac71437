package keys

import (
	"crypto/subtle"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ring holds the keys that the system's processes share: one a line. The
// first is presented, all are accepted. To change the key without a gap, add
// the new one as second line everywhere, then move it to the first line
// everywhere, then remove the old one.
type Ring struct {
	file    string
	current atomic.Pointer[[]string]
}

// LoadRing reads keys from a file. Without a file no key is presented and
// every request is accepted.
func LoadRing(file string) (*Ring, error) {
	r := &Ring{file: file}
	r.current.Store(&[]string{})
	if file == "" {
		return r, nil
	}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// RequestKey returns the first key; "" without a file.
func (r *Ring) RequestKey() string {
	keys := *r.current.Load()
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}

// Accepts compares with every key, each in constant time.
func (r *Ring) Accepts(key string) bool {
	if r.file == "" {
		return true
	}
	found := 0
	for _, known := range *r.current.Load() {
		found |= subtle.ConstantTimeCompare([]byte(key), []byte(known))
	}
	return found == 1
}

// Reload reads the file again.
func (r *Ring) Reload() (bool, error) {
	if r.file == "" {
		return false, nil
	}
	text, err := os.ReadFile(r.file)
	if err != nil {
		return false, eris.Wrap(err, "read the keys")
	}
	var keys []string
	for line := range strings.Lines(string(text)) {
		if key := strings.TrimSpace(line); key != "" {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return false, eris.Wrap(ErrNoSecret, r.file)
	}
	if slices.Equal(keys, *r.current.Load()) {
		return false, nil
	}
	r.current.Store(&keys)
	return true, nil
}

// Files names the ring's file.
func (r *Ring) Files() string { return r.file }
