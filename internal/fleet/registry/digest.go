package registry

import (
	"hash/fnv"
	"strconv"
)

// Digest returns a number that differs, but for rare collisions, between two
// announcements if one changes the other: it covers what hasChanged compares.
func (s Server) Digest() uint64 {
	h := fnv.New64a()
	b := make([]byte, 0, 128)
	for _, text := range []string{string(s.Name), string(s.Group), s.Address.String(), string(s.DataCentre)} {
		b = append(append(b, text...), 0)
	}
	b = strconv.AppendInt(b, int64(s.Slots), 10)
	b = strconv.AppendInt(append(b, 0), s.StartedAt.UnixMilli(), 10)
	b = strconv.AppendBool(append(b, 0), s.Draining)
	b = append(b, 0, byte(s.Role))
	_, _ = h.Write(b) // a hash never fails
	return h.Sum64()
}
