package conn

import (
	"encoding/binary"
	"strconv"
)

type (
	// StatementKey identifies a statement by its text and parameter types.
	StatementKey string

	// Statements holds the statements that are prepared on one server
	// connection, under names chosen by the proxy.
	Statements struct {
		names map[StatementKey]string
		// order holds the keys of names, oldest first.
		order   []StatementKey
		unnamed StatementKey
		// lastNumber is the number in the newest name.
		lastNumber int
	}
)

// NewStatementKey returns the key of a statement.
func NewStatementKey(query string, parameterOIDs []uint32) StatementKey {
	if len(parameterOIDs) == 0 {
		return StatementKey(query)
	}
	key := make([]byte, 0, len(query)+1+4*len(parameterOIDs))
	key = append(key, query...)
	key = append(key, 0)
	for _, oid := range parameterOIDs {
		key = binary.BigEndian.AppendUint32(key, oid)
	}
	return StatementKey(key)
}

// Name returns the server-side name of a prepared statement; ok is false if the
// connection doesn't have it.
func (s *Statements) Name(key StatementKey) (string, bool) {
	name, ok := s.names[key]
	return name, ok
}

// Add assigns a name to a statement. evicted is the name of a statement that
// must be closed at the server to make room, or empty.
func (s *Statements) Add(key StatementKey) (name, evicted string) {
	if s.names == nil {
		s.names = map[StatementKey]string{}
	}
	if len(s.order) >= maxStatements {
		oldest := s.order[0]
		s.order = s.order[1:]
		evicted = s.names[oldest]
		delete(s.names, oldest)
	}
	s.lastNumber++
	name = "bw" + strconv.Itoa(s.lastNumber)
	s.names[key] = name
	s.order = append(s.order, key)
	return name, evicted
}

// Remove removes a statement that isn't prepared at the server.
func (s *Statements) Remove(key StatementKey) {
	delete(s.names, key)
	for i, k := range s.order {
		if k == key {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}

// Unnamed returns the key of the unnamed statement, or "" if there is none.
func (s *Statements) Unnamed() StatementKey { return s.unnamed }

// SetUnnamed sets the key of the unnamed statement.
func (s *Statements) SetUnnamed(key StatementKey) { s.unnamed = key }
