package session

// This file holds which customer a session's statements belong to, and what happens when
// the caller's key is withdrawn.

import (
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

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
		return false
	}
	s.identity = next
	return true
}

// assign enters the customer of a statement into its request.
func (i identity) assign(request *statement.Request) {
	if i.customer == "" {
		return
	}
	request.Customer, request.Key, request.ConfigVersion = i.customer, i.key, i.config.Version
}
