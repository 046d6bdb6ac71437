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
	maxWait = 30 * time.Second
	// keepAliveInterval is the longest silence of a replication stream.
	keepAliveInterval = 250 * time.Millisecond

	replicateCommand = "REPLICATE"
)

// Handshake is the first row of a replication stream.
type Handshake struct {
	// LastCommonPosition is the last position that both logs share.
	LastCommonPosition cluster.Position `json:"fork"`
}

// ReplicationQuery returns the query that opens a replication stream of term
// for a log with the given boundaries.
func ReplicationQuery(term cluster.Term, boundaries []commitlog.TermEnd) (string, error) {
	encoded, err := json.Marshal(boundaries)
	if err != nil {
		return "", err
	}
	return replicateCommand + " " + strconv.FormatUint(uint64(term), 10) + " " + string(encoded), nil
}

func isAdmin(database string) bool {
	return database == adapter.AdminDatabase || database == ReplicationDatabase
}

// platform executes a statement of the platform's interface.
func (s *session) platform(ctx context.Context, statement sqltext.Statement) (*answer, error) {
	if s.database != adapter.AdminDatabase {
		return nil, fail("42501", "PLATFORM statements need the database "+adapter.AdminDatabase)
	}
	fields := strings.Fields(statement.SQL)
	state, err := s.platformStep(ctx, fields[1:])
	if err != nil {
		return nil, err
	}
	return &answer{columns: statusColumns(), rows: [][]any{s.statusRow(state)}, tag: "PLATFORM", returnsRows: true}, nil
}

func (s *session) platformStep(ctx context.Context, fields []string) (engine.State, error) {
	e := s.server.engine
	if len(fields) == 0 {
		return engine.State{}, fail(stateSyntax, "PLATFORM needs a word after it")
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
		mark := cluster.Mark{Term: cluster.Term(numbers[0]), Position: cluster.Position(numbers[1])}
		ctx, cancel := context.WithTimeout(ctx, min(maxWait, milliseconds(numbers[2])))
		defer cancel()
		return e.Wait(ctx, mark), nil
	case command == "PROMISE" && len(numbers) == 1:
		return e.Promise(cluster.Term(numbers[0]))
	case command == "PROMOTE" && len(numbers) == 1:
		return e.Promote(ctx, cluster.Term(numbers[0]), time.Now())
	case command == "LAG" && len(numbers) == 2:
		e.SetDelays(milliseconds(numbers[0]), milliseconds(numbers[1]))
		return e.State(), nil
	default:
		return engine.State{}, fail(stateSyntax, "unknown statement PLATFORM "+strings.Join(fields, " "))
	}
}

func (s *session) follow(arguments []string) (engine.State, error) {
	numbers, err := parseNumbers(arguments[:1])
	if err != nil {
		return engine.State{}, err
	}
	source, err := netip.ParseAddrPort(strings.Trim(arguments[1], "'"))
	if err != nil {
		return engine.State{}, fail(stateSyntax, "FOLLOW needs IP:port: "+err.Error())
	}
	return s.server.engine.Follow(cluster.Term(numbers[0]), source)
}

func parseNumbers(texts []string) ([]uint64, error) {
	numbers := make([]uint64, len(texts))
	for i, text := range texts {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, fail(stateSyntax, "not a number: "+text)
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

// statusRow follows the order of adapter.StatusColumns.
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

// replicate sends the log to a replica until the connection or the term ends.
func (s *session) replicate(ctx context.Context, query string) error {
	term, boundaries, err := parseReplication(query)
	if err != nil {
		return s.refuse(err)
	}
	if !s.leads(term) {
		return s.refuse(engine.ErrNotPrimary)
	}
	position := s.server.engine.LastCommonPosition(boundaries)
	s.backend.Send(rowDescription([]column{{name: "entry", oid: pgtype.TextOID}}, nil))
	if err := s.sendJSON(Handshake{LastCommonPosition: position}); err != nil {
		return err
	}
	for s.leads(term) {
		changed := s.server.engine.StateChanged()
		entries, next := s.server.engine.EntriesToShip(position, time.Now())
		for _, e := range entries {
			if err := s.sendJSON(e); err != nil {
				return err
			}
			position = e.Position
		}
		if len(entries) == 0 {
			// An empty row keeps the stream alive.
			s.backend.Send(&pgproto3.DataRow{Values: [][]byte{nil}})
		}
		if err := s.conn.SetWriteDeadline(time.Now().Add(startupTimeout)); err != nil {
			return err
		}
		if err := s.backend.Flush(); err != nil {
			return err
		}
		if err := awaitEntries(ctx, changed, next); err != nil {
			return err
		}
	}
	return s.refuse(engine.ErrNotPrimary)
}

// awaitEntries returns when there may be entries to send, at the latest after
// the keep-alive interval.
func awaitEntries(ctx context.Context, changed <-chan struct{}, next time.Time) error {
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

func (s *session) leads(term cluster.Term) bool {
	state := s.server.engine.State()
	return state.Role == cluster.RolePrimary && state.Term == term && state.Promised == term
}

func (s *session) sendJSON(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{encoded}})
	return nil
}

func parseReplication(query string) (cluster.Term, []commitlog.TermEnd, error) {
	fields := strings.SplitN(query, " ", 3)
	if len(fields) != 3 || fields[0] != replicateCommand {
		return 0, nil, fail(stateSyntax, "want REPLICATE term boundaries")
	}
	numbers, err := parseNumbers(fields[1:2])
	if err != nil {
		return 0, nil, err
	}
	var boundaries []commitlog.TermEnd
	if err := json.Unmarshal([]byte(fields[2]), &boundaries); err != nil {
		return 0, nil, fail(stateSyntax, "boundaries: "+err.Error())
	}
	return cluster.Term(numbers[0]), boundaries, nil
}
