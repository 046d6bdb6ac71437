package adapter

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

const (
	// DialTimeout is the maximum time to open a connection.
	DialTimeout = 500 * time.Millisecond

	// baseConnString sets what the driver would otherwise take from this
	// process's environment and the user's files.
	baseConnString = "host=127.0.0.1 sslmode=disable passfile=/dev/null servicefile=/dev/null target_session_attrs=any"
)

// Dial opens a connection to the platform's interface of the server at address,
// within DialTimeout. The returned Server doesn't reconnect: after
// ErrUnreachable, call Dial again. Errors: ErrUnreachable, ErrRejected.
func Dial(ctx context.Context, address netip.AddrPort, credentials Credentials) (Server, error) {
	config, err := dialConfig(address, credentials)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, wrapError(err)
	}
	return &server{conn: conn}, nil
}

func dialConfig(address netip.AddrPort, credentials Credentials) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig(baseConnString)
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrRejected, err), "parse the connection settings")
	}
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.Database = AdminDatabase
	config.User = credentials.User
	config.Password = credentials.Password
	config.RuntimeParams = map[string]string{}
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.ConnectTimeout = DialTimeout
	config.DialFunc = (&net.Dialer{Timeout: DialTimeout}).DialContext
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return config, nil
}

func formatUint[T ~uint64](value T) string { return strconv.FormatUint(uint64(value), 10) }
