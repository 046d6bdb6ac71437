package session

// This file holds which customer a session's statements belong to, and what happens when
// the caller's key is withdrawn.

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// maxWithdrawnLogged bounds the keys that are logged when one configuration withdraws
// them.
const maxWithdrawnLogged = 20

// errKeyWithdrawn ends the session of a caller whose key no customer holds any more.
var errKeyWithdrawn = eris.New("no customer holds the caller's key any more")

// identity is what one configuration says of a caller. It is zero, but for config, if the
// caller needs no key.
type identity struct {
	config   *routing.Config
	customer customer.Name
	key      customer.Digest
}

// identify returns the identity of a caller of a database with a key, and OK, NoDatabase
// or UnknownKey. It returns NoDatabase if there is no configuration yet.
func identify(config *routing.Config, database string, key customer.Digest) (identity, statement.Code) {
	if config == nil {
		return identity{}, statement.NoDatabase
	}
	route, declared := config.Route(database)
	code := statement.OK
	if !declared {
		code = statement.NoDatabase
	}
	if config.Customers == nil || route.Anonymous {
		return identity{config: config}, code
	}
	c, known := config.Customers.ByKey(key)
	switch {
	case known && !key.IsZero():
		return identity{config: config, customer: c.Name, key: key}, code
	case declared:
		code = statement.UnknownKey
	}
	return identity{config: config}, code
}

// checkIdentity looks the caller's key up again if another configuration came into force
// since the last call, and reports whether the session may go on. A transaction that
// belongs to another customer than the caller now does is rolled back, also if the caller
// belongs to none any more.
func (s *session) checkIdentity() bool {
	current := s.manager.Config()
	if s.identity.config == current {
		return true
	}
	next, code := identify(current, s.database, s.key)
	if s.tx != nil && next.customer != s.identity.customer {
		s.failTransaction()
	}
	if code == statement.UnknownKey {
		s.rejectionCause = causeUnknownKey
		return false
	}
	s.identity = next
	return true
}

// logWithdrawn logs which keys a configuration withdraws, up to maxWithdrawnLogged of
// them.
func (m *Manager) logWithdrawn(old, next *routing.Config) {
	if old.Customers == next.Customers {
		return
	}
	count := 0
	for _, c := range old.Customers.All() {
		for _, key := range c.Keys {
			if _, held := next.Customers.ByKey(key); held {
				continue
			}
			if count++; count <= maxWithdrawnLogged {
				m.options.Logger.Info("key withdrawn", "customer", c.Name, "key-digest", key.ForLog(), "version", next.Version)
			}
		}
	}
	if count > maxWithdrawnLogged {
		m.options.Logger.Info("more keys withdrawn", "withdrawn", count-maxWithdrawnLogged, "version", next.Version)
	}
}

// assign enters the customer of a statement into its request.
func (i identity) assign(request *statement.Request) {
	if i.customer == "" {
		return
	}
	request.Customer, request.Key, request.ConfigVersion = i.customer, i.key, i.config.Version
}

// refusalDetails returns the log fields that explain a refusal for the sake of the
// caller's key.
func (s *session) refusalDetails(c cause) []any {
	switch c {
	case causeUnknownKey:
		version := s.manager.Config().Version
		return []any{"version", version, "withdrawn-in", version, "key-digest", s.key.ForLog()}
	case causeNoKeyRight:
		return []any{"right-ended-ms-ago", s.manager.options.KeyRight.EndedFor(s.manager.options.Now()).Milliseconds()}
	default:
		return nil
	}
}

// checkRight returns the answer to a statement that a server would have to run although
// this proxy has no right to use the caller's key; nil: it may run. An open transaction
// is rolled back.
func (s *session) checkRight(verb statement.Verb) *statement.Answer {
	switch verb {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
	default:
		return nil
	}
	if s.identity.customer == "" || s.tx != nil && s.tx.failed || s.manager.options.KeyRight.Valid(s.manager.options.Now()) {
		return nil
	}
	s.manager.customerMetrics.get(s.identity.customer).refusedRight.Inc(1)
	answer := s.answerWithoutRight()
	s.rejectionCause = causeNoKeyRight
	if s.tx != nil {
		s.failTransaction()
		answer.Code = statement.Aborted
	}
	if verb == statement.Commit {
		s.tx = nil
	}
	answer.State, answer.Position = s.txState(), s.lastWritePosition
	return &answer
}

// answerWithoutRight returns the answer to a statement that hasn't run because this proxy
// has no right to use keys. The caller may be served by another proxy.
func (s *session) answerWithoutRight() statement.Answer {
	s.refusedWithoutLease = true
	return statement.Answer{
		Code:   statement.Busy,
		Detail: retryAdvice(keyright.ErrNoRight.Error(), retryAfterNoLease),
	}
}

// handleNotPermitted handles a statement that wasn't sent because of its key. Its results
// are those of attempt.
func (e *execution) handleNotPermitted(conn *upstream.Conn, err error) (statement.Answer, bool) {
	if e.tx == nil {
		conn.Release()
	} else {
		conn.Discard()
	}
	e.recordCause(causeOf(err), err.Error())
	if errors.Is(err, keyright.ErrUnknownKey) {
		return statement.Answer{Code: statement.UnknownKey, Detail: err.Error()}, false
	}
	return e.session.answerWithoutRight(), false
}
