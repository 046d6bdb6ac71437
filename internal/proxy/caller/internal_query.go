package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

// internalResult is the answer to a query that the proxy itself sends.
type internalResult struct {
	// status is the transaction status in ReadyForQuery, which ends the answer;
	// zero as long as that isn't received.
	status byte
	// position is the log position of the commit, which the server reports as
	// adapter.PositionParameter; zero if nothing was committed.
	position cluster.LogPosition
	// failure is the first error in the answer, or nil.
	failure *pgproto3.ErrorResponse
	// row is the last row, in text format.
	row []string
}

// runInternal executes a simple query whose answer isn't sent to the caller. It
// returns an error only if the connection is lost; an error from the server is
// in the result's failure.
func runInternal(c *conn.Conn, text string) (internalResult, error) {
	var result internalResult
	query, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return result, eris.Wrap(conn.ErrLost, err.Error())
	}
	if err := c.Send(query); err != nil {
		return result, err
	}
	for result.status == 0 {
		message, err := c.Next()
		if err != nil {
			return result, err
		}
		if err := result.addMessage(message); err != nil {
			c.PreventReuse()
			return result, eris.Wrap(conn.ErrLost, err.Error())
		}
	}
	return result, nil
}

func (r *internalResult) addMessage(message wire.Message) error {
	switch message.Type() {
	case wire.ErrorResponse:
		failure := &pgproto3.ErrorResponse{}
		if err := failure.Decode(message.Body()); err != nil {
			return err
		}
		if r.failure == nil {
			r.failure = failure
		}
	case wire.DataRow:
		var row pgproto3.DataRow
		if err := row.Decode(message.Body()); err != nil {
			return err
		}
		r.row = r.row[:0]
		for _, value := range row.Values {
			r.row = append(r.row, string(value))
		}
	case wire.ParameterStatus:
		r.addParameterStatus(message)
	case wire.ReadyForQuery:
		var ready pgproto3.ReadyForQuery
		if err := ready.Decode(message.Body()); err != nil {
			return err
		}
		r.status = ready.TxStatus
	}
	return nil
}

func (r *internalResult) addParameterStatus(message wire.Message) {
	name, value, _ := strings.Cut(string(message.Body()), "\x00")
	if name != adapter.PositionParameter {
		return
	}
	if position, err := cluster.ParseLogPosition(strings.TrimRight(value, "\x00")); err == nil {
		r.position = position
	}
}
