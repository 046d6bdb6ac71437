package wire

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

const (
	maxWaitTime = 30 * time.Second
	// keepAliveInterval is the maximum time between two rows of a replication
	// stream. It must be shorter than the read timeout of replicas.
	keepAliveInterval = 250 * time.Millisecond

	replicateCommand = "REPLICATE"
)

// Handshake is the first row of a replication stream.
type Handshake struct {
	// LastCommonPosition is the last position up to which the replica's log
	// is equal to the primary's.
	LastCommonPosition cluster.Position `json:"fork"`
}

// ReplicationQuery returns the query that opens a replication stream of term for
// a replica whose log has the given term ends.
func ReplicationQuery(term cluster.Term, termEnds []commitlog.TermEnd) (string, error) {
	encoded, err := json.Marshal(termEnds)
	if err != nil {
		return "", err
	}
	return replicateCommand + " " + strconv.FormatUint(uint64(term), 10) + " " + string(encoded), nil
}

// isLimitExempt reports whether connections to the database are exempt from
// Options.MaxConnections.
func isLimitExempt(database string) bool {
	return database == adapter.AdminDatabase || database == ReplicationDatabase
}

// executePlatform executes a PLATFORM statement and returns the server's status.
func (s *session) executePlatform(ctx context.Context, statement sqltext.Statement) (*queryResult, error) {
	if s.database != adapter.AdminDatabase {
		return nil, newSQLError("42501", "PLATFORM statements need the database "+adapter.AdminDatabase)
	}
	fields := strings.Fields(statement.SQL)
	state, err := s.runPlatformCommand(ctx, fields[1:])
	if err != nil {
		return nil, err
	}
	return &queryResult{columns: statusColumns(), rows: [][]any{s.statusRow(state)}, tag: "PLATFORM", returnsRows: true}, nil
}

func (s *session) runPlatformCommand(ctx context.Context, fields []string) (engine.State, error) {
	e := s.server.engine
	if len(fields) == 0 {
		return engine.State{}, newSQLError(stateSyntax, "PLATFORM needs a word after it")
	}
	switch command, arguments := strings.ToUpper(fields[0]), fields[1:]; {
	case command == "STATUS" && len(arguments) == 0:
		return e.State(), nil
	case command == "LEAVE" && len(arguments) == 0:
		e.SetLeaving(true)
		return e.State(), nil
	case command == "FOLLOW" && len(arguments) == 2:
		return s.follow(arguments)
	}
	numbers, err := parseNumbers(fields[1:])
	if err != nil {
		return engine.State{}, err
	}
	switch command := strings.ToUpper(fields[0]); {
	case command == "WAIT" && len(numbers) == 3:
		position := cluster.LogPosition{Term: cluster.Term(numbers[0]), Position: cluster.Position(numbers[1])}
		ctx, cancel := context.WithTimeout(ctx, min(maxWaitTime, milliseconds(numbers[2])))
		defer cancel()
		return e.Wait(ctx, position), nil
	case command == "PROMISE" && len(numbers) == 1:
		return e.Promise(cluster.Term(numbers[0]))
	case command == "PROMOTE" && len(numbers) == 1:
		return e.Promote(ctx, cluster.Term(numbers[0]), time.Now())
	case command == "LAG" && len(numbers) == 2:
		e.SetDelays(milliseconds(numbers[0]), milliseconds(numbers[1]))
		return e.State(), nil
	default:
		return engine.State{}, newSQLError(stateSyntax, "unknown statement PLATFORM "+strings.Join(fields, " "))
	}
}

func (s *session) follow(arguments []string) (engine.State, error) {
	numbers, err := parseNumbers(arguments[:1])
	if err != nil {
		return engine.State{}, err
	}
	primary, err := netip.ParseAddrPort(strings.Trim(arguments[1], "'"))
	if err != nil {
		return engine.State{}, newSQLError(stateSyntax, "FOLLOW needs IP:port: "+err.Error())
	}
	return s.server.engine.Follow(cluster.Term(numbers[0]), primary)
}

func parseNumbers(texts []string) ([]uint64, error) {
	numbers := make([]uint64, len(texts))
	for i, text := range texts {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, newSQLError(stateSyntax, "not a number: "+text)
		}
		numbers[i] = n
	}
	return numbers, nil
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

func statusColumns() []column {
	columns := make([]column, len(adapter.StatusColumns))
	for i, name := range adapter.StatusColumns {
		columns[i] = column{name: name, oid: pgtype.TextOID}
	}
	return columns
}

// statusRow returns a row with the values of adapter.StatusColumns.
func (s *session) statusRow(state engine.State) []any {
	options := s.server.options
	return []any{
		string(options.Server),
		string(options.Group),
		string(options.DataCentre),
		state.Role.String(),
		strconv.FormatUint(uint64(state.Promised), 10),
		state.Received.String(),
		state.Applied.String(),
		string(boolText(state.Leaving)),
	}
}

// replicate sends the log to a replica until the connection is lost or the server
// is no longer primary in the term.
func (s *session) replicate(ctx context.Context, query string) error {
	term, termEnds, err := parseReplication(query)
	if err != nil {
		return s.sendFatal(err)
	}
	if !s.isPrimaryIn(term) {
		return s.sendFatal(engine.ErrNotPrimary)
	}
	position := s.server.engine.LastCommonPosition(termEnds)
	s.backend.Send(rowDescription([]column{{name: "entry", oid: pgtype.TextOID}}, nil))
	if err := s.sendJSONRow(Handshake{LastCommonPosition: position}); err != nil {
		return err
	}
	for s.isPrimaryIn(term) {
		changed := s.server.engine.StateChanged()
		entries, next := s.server.engine.EntriesToShip(position, time.Now())
		for _, e := range entries {
			if err := s.sendJSONRow(e); err != nil {
				return err
			}
			position = e.Position
		}
		if len(entries) == 0 {
			// A row with null tells the replica that the stream is alive.
			s.backend.Send(&pgproto3.DataRow{Values: [][]byte{nil}})
		}
		if err := s.conn.SetWriteDeadline(time.Now().Add(startupTimeout)); err != nil {
			return err
		}
		if err := s.backend.Flush(); err != nil {
			return err
		}
		if err := waitForEntries(ctx, changed, next); err != nil {
			return err
		}
	}
	return s.sendFatal(engine.ErrNotPrimary)
}

// waitForEntries returns when there may be entries to send: at the time next, if
// it isn't zero, when changed is closed, or after keepAliveInterval.
func waitForEntries(ctx context.Context, changed <-chan struct{}, next time.Time) error {
	wait := keepAliveInterval
	if !next.IsZero() {
		wait = min(wait, time.Until(next))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// isPrimaryIn reports whether the server is primary in term and has promised no
// higher term.
func (s *session) isPrimaryIn(term cluster.Term) bool {
	state := s.server.engine.State()
	return state.Role == cluster.RolePrimary && state.Term == term && state.Promised == term
}

// sendJSONRow sends a row with the JSON encoding of value as its only column.
func (s *session) sendJSONRow(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{encoded}})
	return nil
}

// parseReplication parses the query that ReplicationQuery returns.
func parseReplication(query string) (cluster.Term, []commitlog.TermEnd, error) {
	fields := strings.SplitN(query, " ", 3)
	if len(fields) != 3 || fields[0] != replicateCommand {
		return 0, nil, newSQLError(stateSyntax, "want REPLICATE term boundaries")
	}
	numbers, err := parseNumbers(fields[1:2])
	if err != nil {
		return 0, nil, err
	}
	var termEnds []commitlog.TermEnd
	if err := json.Unmarshal([]byte(fields[2]), &termEnds); err != nil {
		return 0, nil, newSQLError(stateSyntax, "boundaries: "+err.Error())
	}
	return cluster.Term(numbers[0]), termEnds, nil
}
