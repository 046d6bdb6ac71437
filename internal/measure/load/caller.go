package load

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/burdockwood/burdockwood/internal/measure/history"
)

const (
	tokenParameter = "burdockwood.mark"
	// notRunDetail is the prefix of the DETAIL of an error whose request didn't
	// run.
	notRunDetail = "not run"

	connectTimeout = 3 * time.Second
	requestTimeout = 8 * time.Second

	insertSQL = "INSERT INTO ledger (request, part, member, sequence, amount) VALUES ($1, $2, $3, $4, $5) RETURNING request"
	readSQL   = "SELECT $1 AS echo, coalesce(max(sequence), 0), coalesce(sum(CASE WHEN part > 0 THEN 1 ELSE 0 END), 0) FROM ledger WHERE member = $2"
	countSQL  = "SELECT $1 AS echo, count(*) FROM ledger WHERE request = $1"
)

// errUnexpectedResult is returned if the result of a statement has other rows or
// columns than the statement asks for.
var errUnexpectedResult = errors.New("unexpected result of a statement")

type (
	// caller is one session. It sends one request at a time.
	caller struct {
		options    Options
		session    int
		sendsToken bool          // sends its newest session token to each proxy
		token      string        // newest session token
		sequence   int64         // number of writes and transactions so far
		conns      []*connection // by proxy; nil if there is none
	}

	// connection is a caller's connection to one proxy.
	connection struct {
		conn  *pgconn.PgConn
		token string // session token that the caller and this proxy exchanged last
	}

	// attempt is a request in flight.
	attempt struct {
		operation  history.Operation
		sent       bool // a statement of the request may have been sent
		commitSent bool // the write or COMMIT may have been sent
	}
)

func newCaller(options Options, session int) *caller {
	return &caller{
		options:    options,
		session:    session,
		sendsToken: session%2 == 0,
		conns:      make([]*connection, len(options.Addresses)),
	}
}

// serve sends the request and returns the operation with its outcome.
func (c *caller) serve(ctx context.Context, r request, clock func() time.Duration) history.Operation {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := &attempt{operation: history.Operation{
		ID:      r.id,
		Session: c.session,
		Kind:    r.kind,
		Proxy:   r.proxy,
		Member:  r.member,
		MaxAge:  r.maxAge,
		Due:     r.due,
		Invoke:  clock(),
	}}
	err := c.execute(ctx, a)
	a.operation.Return = clock()
	a.operation.Outcome = a.outcome(err)
	if err != nil {
		a.operation.Reason = err.Error()
		c.closeIfUnusable(r.proxy, err)
	}
	return a.operation
}

// execute connects, sends the session token if needed and executes the request.
func (c *caller) execute(ctx context.Context, a *attempt) error {
	o := &a.operation
	connection, err := c.connect(ctx, o.Proxy)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	if err := c.sendToken(ctx, connection); err != nil {
		return err
	}
	a.sent = true
	switch o.Kind {
	case history.Write:
		err = c.write(ctx, connection, a)
	case history.Transaction:
		err = c.transaction(ctx, connection, a)
	default:
		err = c.read(ctx, connection, o)
	}
	if err == nil && !o.Kind.IsRead() {
		c.storeToken(connection)
	}
	return err
}

// connect returns the caller's connection to a proxy. It opens one if there is none
// or it was closed.
func (c *caller) connect(ctx context.Context, proxy int) (*connection, error) {
	if existing := c.conns[proxy]; existing != nil && !existing.conn.IsClosed() {
		return existing, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := Dial(ctx, c.options.Addresses[proxy], c.options.Database, "session-"+strconv.Itoa(c.session))
	if err != nil {
		return nil, err
	}
	c.conns[proxy] = &connection{conn: conn}
	return c.conns[proxy], nil
}

// Dial opens a connection to address for a caller with the given session identity.
func Dial(ctx context.Context, address netip.AddrPort, database, session string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.User = "measure"
	config.Database = database
	config.Fallbacks = nil
	config.RuntimeParams["options"] = "-c burdockwood.session=" + session
	return pgconn.ConnectConfig(ctx, config)
}

// sendToken sends the caller's newest session token to the proxy if the proxy doesn't have
// it yet.
func (c *caller) sendToken(ctx context.Context, connection *connection) error {
	if !c.sendsToken || c.token == connection.token {
		return nil
	}
	_, err := connection.conn.Exec(ctx, "SET "+tokenParameter+" = '"+c.token+"'").ReadAll()
	if err == nil {
		connection.token = c.token
	}
	return err
}

// storeToken stores the session token that the proxy has reported after a write.
func (c *caller) storeToken(connection *connection) {
	if token := connection.conn.ParameterStatus(tokenParameter); token != "" {
		c.token, connection.token = token, token
	}
}

// write inserts one row. A write commits by itself, so it counts as commitSent.
func (c *caller) write(ctx context.Context, connection *connection, a *attempt) error {
	c.sequence++
	a.operation.Sequence = c.sequence
	a.commitSent = true
	return c.insert(ctx, connection, &a.operation, 0)
}

// insert inserts one row and sets the operation's echo from the response.
func (c *caller) insert(ctx context.Context, connection *connection, o *history.Operation, part int) error {
	row, err := queryRow(ctx, connection, insertSQL, 1,
		o.ID, strconv.Itoa(part), strconv.Itoa(o.Member), strconv.FormatInt(o.Sequence, 10), "40")
	if err != nil {
		return err
	}
	o.Echo = row[0]
	return nil
}

// transaction inserts two rows in a transaction and counts its rows in between.
func (c *caller) transaction(ctx context.Context, connection *connection, a *attempt) error {
	c.sequence++
	o := &a.operation
	o.Sequence = c.sequence
	if _, err := connection.conn.Exec(ctx, "BEGIN").ReadAll(); err != nil {
		return err
	}
	if err := c.insert(ctx, connection, o, 1); err != nil {
		return err
	}
	row, err := queryRow(ctx, connection, countSQL, 2, o.ID)
	if err != nil {
		return err
	}
	if o.OwnRowsSeen, err = strconv.Atoi(row[1]); err != nil {
		return err
	}
	if err := c.insert(ctx, connection, o, 2); err != nil {
		return err
	}
	a.commitSent = true
	results, err := connection.conn.Exec(ctx, "COMMIT").ReadAll()
	if err == nil && (len(results) != 1 || results[0].CommandTag.String() != "COMMIT") {
		return fmt.Errorf("%w: COMMIT", errUnexpectedResult)
	}
	return err
}

// read reads the highest sequence of the operation's member and the number of rows
// that transactions have inserted for it.
func (c *caller) read(ctx context.Context, connection *connection, o *history.Operation) error {
	query := readSQL
	if o.MaxAge > 0 {
		query = fmt.Sprintf("/* burdockwood: max-age=%dms */ %s", o.MaxAge.Milliseconds(), readSQL)
	}
	row, err := queryRow(ctx, connection, query, 3, o.ID, strconv.Itoa(o.Member))
	if err != nil {
		return err
	}
	o.Echo = row[0]
	if o.Sequence, err = strconv.ParseInt(row[1], 10, 64); err != nil {
		return err
	}
	o.TransactionRowsSeen, err = strconv.Atoi(row[2])
	return err
}

// queryRow executes a statement and returns its only row, which must have the given
// number of columns.
func queryRow(ctx context.Context, connection *connection, query string, width int, arguments ...string) ([]string, error) {
	parameters := make([][]byte, len(arguments))
	for i, text := range arguments {
		parameters[i] = []byte(text)
	}
	result := connection.conn.ExecParams(ctx, query, parameters, nil, nil, nil).Read()
	if result.Err != nil {
		return nil, result.Err
	}
	if len(result.Rows) != 1 || len(result.Rows[0]) != width {
		return nil, fmt.Errorf("%w: %d rows", errUnexpectedResult, len(result.Rows))
	}
	row := make([]string, width)
	for i, value := range result.Rows[0] {
		row[i] = string(value)
	}
	return row, nil
}

// closeIfUnusable closes the connection to a proxy after an error, unless a server
// answered with that error and the connection is outside a transaction.
func (c *caller) closeIfUnusable(proxy int, err error) {
	connection := c.conns[proxy]
	if connection == nil {
		return
	}
	var serverErr *pgconn.PgError
	if errors.As(err, &serverErr) && connection.conn.TxStatus() == 'I' {
		return
	}
	c.conns[proxy] = nil
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	connection.conn.Close(ctx)
}

// close closes the caller's connections.
func (c *caller) close() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	for _, connection := range c.conns {
		if connection != nil {
			connection.conn.Close(ctx)
		}
	}
}

// outcome returns the result of a request that ended with err, as far as its caller
// can know it.
func (a *attempt) outcome(err error) history.Outcome {
	if err == nil {
		return history.Done
	}
	if !a.sent {
		return history.NotSent
	}
	var serverErr *pgconn.PgError
	if !errors.As(err, &serverErr) {
		return a.outcomeWithoutResponse()
	}
	switch {
	case strings.HasPrefix(serverErr.Detail, notRunDetail):
		return history.NotRun
	case a.operation.Kind == history.Transaction && !a.commitSent:
		return history.Failed
	case mayHaveRun(serverErr.Code):
		return history.Unknown
	default:
		return history.Failed
	}
}

// outcomeWithoutResponse returns the outcome of a request whose response was lost.
// A transaction whose COMMIT wasn't sent leaves no rows.
func (a *attempt) outcomeWithoutResponse() history.Outcome {
	if a.operation.Kind == history.Transaction && !a.commitSent {
		return history.Failed
	}
	return history.Unknown
}

// mayHaveRun reports whether a request that ended with the SQLSTATE may have run.
// That is so in the classes connection exception, operator intervention, system
// error and internal error, except for 57P03 (cannot connect now) and 57P05
// (adapter.StateNotPrimary: a server that is no longer primary refused the commit).
func mayHaveRun(state string) bool {
	switch state {
	case "57P03", "57P05":
		return false
	}
	for _, class := range []string{"08", "57", "58", "XX"} {
		if strings.HasPrefix(state, class) {
			return true
		}
	}
	return false
}
