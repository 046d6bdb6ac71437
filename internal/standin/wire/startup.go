package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// performStartup authenticates the client, checks the connection limit and
// completes the start-up phase of the protocol.
func (s *session) performStartup(ctx context.Context) error {
	if err := s.conn.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return err
	}
	parameters, err := s.receiveStartup()
	if err != nil {
		return err
	}
	s.user, s.database = parameters["user"], parameters["database"]
	if err := s.authenticate(); err != nil {
		return err
	}
	counter, ok := s.server.countConnection(s.database)
	if !ok {
		return s.sendFatal(newSQLError(adapter.StateTooManyConnections, "sorry, too many clients already"))
	}
	s.connectionCount = counter
	if err := s.finishStartup(ctx); err != nil {
		s.connectionCount.Add(-1)
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// receiveStartup reads the client's start-up message and returns its parameters.
// It declines requests for encryption. After a cancel request it returns
// errCancelRequest.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.server.cancelSession(m.ProcessID, m.SecretKey)
			return nil, errCancelRequest
		case *pgproto3.StartupMessage:
			return m.Parameters, nil
		default:
			return nil, newSQLError(stateProtocol, "unexpected start-up message")
		}
	}
}

func (s *session) authenticate() error {
	if s.server.options.Password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok || password.Password != s.server.options.Password {
		return s.sendFatal(newSQLError(stateAuthentication, fmt.Sprintf("password authentication failed for user %q", s.user)))
	}
	return nil
}

// finishStartup registers the session and sends the messages that end the
// start-up phase.
func (s *session) finishStartup(ctx context.Context) error {
	if !isLimitExempt(s.database) {
		if err := sleep(ctx, s.server.options.ConnectDelay); err != nil {
			return err
		}
	}
	if err := s.server.register(s); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretKey})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush()
}

// sendFatal sends err to the client as a FATAL error, after which the connection
// must be closed, and returns err.
func (s *session) sendFatal(err error) error {
	message := errorResponse(err)
	message.Severity, message.SeverityUnlocalized = "FATAL", "FATAL"
	s.backend.Send(message)
	return errors.Join(err, s.backend.Flush())
}
