// Package routing holds the operators' configuration in the form that a proxy
// uses: which group serves a database, how stale its reads may be and how long a
// statement may take. A Config is immutable; a newer version replaces it.
//
// # Usage
//
//	c := routing.New(version, routes, groups, limits)
//	route, ok := c.Route("payroll")
package routing

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Strong reads see every commit that was acknowledged before they began.
	// They run on the primary.
	Strong Consistency = iota
	// BoundedStaleness reads see every commit that was acknowledged more than
	// Route.MaxStaleness before they began.
	BoundedStaleness
	// ReadYourWrites reads see what BoundedStaleness reads see, and every
	// acknowledged commit of their own session.
	ReadYourWrites
)

type (
	// Consistency is the guarantee on what a read sees.
	Consistency uint8

	// Route maps a database to the group that serves it.
	Route struct {
		Name        string
		Database    string
		Group       cluster.GroupName
		Consistency Consistency
		// MaxStaleness bounds the age of the data that a read returns if its
		// consistency isn't Strong.
		MaxStaleness time.Duration
		// StatementTimeout bounds the total time of a statement.
		StatementTimeout time.Duration
		// LatencyTarget is the time in which a statement should be done. The
		// statement's soft deadline is the end of that time: queues prefer
		// statements that can still meet it (see package admission). A statement
		// that misses it still runs, and is logged as late.
		LatencyTarget time.Duration
		// Priority orders queued statements; 0 is the highest.
		Priority int
		// Anonymous is true if callers need no key although the configuration
		// holds customers.
		Anonymous bool
	}

	// Group holds what the operators' configuration declares of a group.
	Group struct {
		// MaxConnections is the number of connections that each server of
		// the group accepts from all proxies together.
		MaxConnections int
		// SyncReplication is true if a commit is acknowledged only once a
		// replica has received it.
		SyncReplication bool
	}

	// Limits apply to all sessions.
	Limits struct {
		// TransactionIdleTimeout is how long a transaction may be idle
		// between statements; zero: no limit.
		TransactionIdleTimeout time.Duration
	}

	// Config is one version of the configuration.
	Config struct {
		Version uint64
		Limits  Limits
		// Customers are the customers that callers' keys belong to; nil: there are
		// none, and callers need no key.
		Customers *customer.Directory
		routes    map[string]Route
		groups    map[cluster.GroupName]Group
	}
)

// New returns a configuration.
func New(version uint64, routes []Route, groups map[cluster.GroupName]Group, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, groups: groups, routes: make(map[string]Route, len(routes))}
	for _, r := range routes {
		c.routes[r.Database] = r
	}
	return c
}

// Route returns the route of a database, and false if there is none.
func (c *Config) Route(database string) (Route, bool) {
	r, ok := c.routes[database]
	return r, ok
}

// Group returns what is declared of a group, and false if the group isn't declared.
func (c *Config) Group(name cluster.GroupName) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}
