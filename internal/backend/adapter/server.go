package adapter

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	closeTimeout = 100 * time.Millisecond
	booleanTrue  = "t" // text of a true value in PostgreSQL
)

// server implements Server: it sends PLATFORM statements on one connection. Its
// methods are called by one goroutine at a time.
type server struct {
	conn *pgconn.PgConn
}

// Status returns the server's current status.
func (s *server) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return s.call(ctx, "PLATFORM STATUS")
}

// Wait returns the server's status once its received log position covers
// position, its promised term is above the term of position, or timeout has passed.
func (s *server) Wait(ctx context.Context, position cluster.LogPosition, timeout time.Duration) (cluster.ServerStatus, error) {
	timeoutMS := strconv.FormatInt(timeout.Milliseconds(), 10)
	return s.call(ctx, "PLATFORM WAIT", formatUint(position.Term), formatUint(position.Position), timeoutMS)
}

// Promise makes the server durably refuse every lower term.
func (s *server) Promise(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return s.call(ctx, "PLATFORM PROMISE", formatUint(term))
}

// Promote makes the server primary of a term that it has promised.
func (s *server) Promote(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return s.call(ctx, "PLATFORM PROMOTE", formatUint(term))
}

// Follow makes the server a replica of primary in the term.
func (s *server) Follow(ctx context.Context, term cluster.Term, primary netip.AddrPort) (cluster.ServerStatus, error) {
	return s.call(ctx, "PLATFORM FOLLOW", formatUint(term), primary.String())
}

// Close closes the connection.
func (s *server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.conn.Close(ctx); err != nil {
		return wrapError(err)
	}
	return nil
}

// call executes one statement and returns the status from its row. It sets the
// deadline of ctx on the socket and hides ctx from the driver, which would start
// a goroutine for each call to watch ctx. Cancelling such a ctx during the call
// has no effect before the deadline.
func (s *server) call(ctx context.Context, words ...string) (cluster.ServerStatus, error) {
	if err := ctx.Err(); err != nil {
		return cluster.ServerStatus{}, wrapError(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := s.conn.Conn().SetDeadline(deadline); err != nil {
			return cluster.ServerStatus{}, wrapError(err)
		}
		ctx = context.Background()
	}
	results, err := s.conn.Exec(ctx, strings.Join(words, " ")).ReadAll()
	if err != nil {
		return cluster.ServerStatus{}, wrapError(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return cluster.ServerStatus{}, eris.Wrapf(ErrRejected, "%s: the response is not exactly one row", words[0])
	}
	return parseStatus(results[0].Rows[0])
}

// parseStatus parses a row in the order of StatusColumns.
func parseStatus(row [][]byte) (cluster.ServerStatus, error) {
	if len(row) < len(StatusColumns) {
		return cluster.ServerStatus{}, eris.Wrapf(ErrRejected, "status row has %d columns, want %d", len(row), len(StatusColumns))
	}
	promised, err := strconv.ParseUint(string(row[4]), 10, 64)
	if err != nil {
		return cluster.ServerStatus{}, eris.Wrapf(ErrRejected, "status column promised: %v", err)
	}
	received, err := cluster.ParseLogPosition(string(row[5]))
	if err != nil {
		return cluster.ServerStatus{}, eris.Wrapf(ErrRejected, "status column received: %v", err)
	}
	applied, err := cluster.ParseLogPosition(string(row[6]))
	if err != nil {
		return cluster.ServerStatus{}, eris.Wrapf(ErrRejected, "status column applied: %v", err)
	}
	return cluster.ServerStatus{
		Server:     cluster.ServerName(row[0]),
		Group:      cluster.GroupName(row[1]),
		DataCentre: cluster.DataCentre(row[2]),
		Role:       cluster.ParseRole(string(row[3])),
		Promised:   cluster.Term(promised),
		Received:   received,
		Applied:    applied,
		Leaving:    string(row[7]) == booleanTrue,
	}, nil
}
