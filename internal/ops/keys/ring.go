package keys

import (
	"crypto/subtle"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ring holds the keys that the system's processes share, one per line of a file.
// Requests to other processes carry the first key; requests with any of the keys are
// accepted. To rotate the key without rejecting requests, add the new key as the second
// line on all processes, then move it to the first line on all of them, then remove the
// old key.
type Ring struct {
	file    string
	current atomic.Pointer[[]string]
}

// LoadRing loads keys from a file. If the file name is empty, requests carry no key and
// every request is accepted. It returns ErrNoSecret if the file holds no key.
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

// RequestKey returns the key that requests to other processes carry; "" without a file.
func (r *Ring) RequestKey() string {
	keys := *r.current.Load()
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}

// Accepts reports whether key is one of the keys. It compares with every key in
// constant time. Without a file it accepts any key.
func (r *Ring) Accepts(key string) bool {
	if r.file == "" {
		return true
	}
	found := 0
	for _, accepted := range *r.current.Load() {
		found |= subtle.ConstantTimeCompare([]byte(key), []byte(accepted))
	}
	return found == 1
}

// Reload reads the file again and reports whether the keys changed. It returns
// ErrNoSecret if the file holds no key.
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

// Files returns the name of the ring's file.
func (r *Ring) Files() string { return r.file }
