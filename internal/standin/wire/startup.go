package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// start answers the start-up messages.
func (s *session) start(ctx context.Context) error {
	if err := s.conn.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return err
	}
	parameters, err := s.startup()
	if err != nil {
		return err
	}
	s.user, s.database = parameters["user"], parameters["database"]
	if err := s.authenticate(); err != nil {
		return err
	}
	counter, ok := s.server.admit(s.database)
	if !ok {
		return s.refuse(fail(adapter.StateTooManyConnections, "sorry, too many clients already"))
	}
	s.counter = counter
	if err := s.greet(ctx); err != nil {
		s.counter.Add(-1)
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// startup reads up to the start-up message and returns its parameters.
func (s *session) startup() (map[string]string, error) {
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
			s.server.cancel(m.ProcessID, m.SecretKey)
			return nil, errEnded
		case *pgproto3.StartupMessage:
			return m.Parameters, nil
		default:
			return nil, fail(stateProtocol, "unexpected start-up message")
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
		return s.refuse(fail(stateAuthentication, fmt.Sprintf("password authentication failed for user %q", s.user)))
	}
	return nil
}

func (s *session) greet(ctx context.Context) error {
	if !isAdmin(s.database) {
		if err := sleep(ctx, s.server.options.ConnectDelay); err != nil {
			return err
		}
	}
	if err := s.server.register(s); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush()
}

// refuse tells the client why the connection ends.
func (s *session) refuse(err error) error {
	message := response(err)
	message.Severity, message.SeverityUnlocalized = "FATAL", "FATAL"
	s.backend.Send(message)
	return errors.Join(err, s.backend.Flush())
}
