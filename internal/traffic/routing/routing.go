// Package catalog is the operators' configuration as a proxy uses it: which
// group serves a database, how fresh its reads must be and how long a
// statement may take. A catalog never changes; a newer one replaces it.
//
// # Usage
//
//	c := catalog.New(version, routes, groups, limits)
//	route, ok := c.Route("payroll")
package routing

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Strong reads see every commit acknowledged before them.
	Strong Consistency = iota
	// BoundedStaleness reads see every commit acknowledged more than MaxAge before.
	BoundedStaleness
	// ReadYourWrites reads are aged and see every commit of their session.
	ReadYourWrites
)

type (
	// Consistency tells what a read must see.
	Consistency uint8

	// Route leads a database's requests to a group.
	Route struct {
		Name        string
		Database    string
		Group       cluster.GroupName
		Consistency Consistency
		// MaxStaleness bounds the age of reads that needn't use the primary.
		MaxStaleness time.Duration
		// StatementTimeout bounds a statement.
		StatementTimeout time.Duration
		// LatencyTarget is the time in which an operation should be done.
		LatencyTarget time.Duration
		// Priority orders work that waits; 0 goes first.
		Priority int
	}

	// Group is what operators say of a group.
	Group struct {
		// MaxConnections is the number that a server of the group accepts
		// from all proxies together.
		MaxConnections int
		// SyncReplication tells that a commit is acknowledged only once a
		// replica has it.
		SyncReplication bool
	}

	// Limits hold for all sessions.
	Limits struct {
		// TransactionIdleTimeout is how long a transaction may rest between
		// statements; zero: as long as it likes.
		TransactionIdleTimeout time.Duration
	}

	// Config holds one version.
	Config struct {
		Version uint64
		Limits  Limits
		routes  map[string]Route
		groups  map[cluster.GroupName]Group
	}
)

// New returns a catalog.
func New(version uint64, routes []Route, groups map[cluster.GroupName]Group, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, groups: groups, routes: make(map[string]Route, len(routes))}
	for _, r := range routes {
		c.routes[r.Database] = r
	}
	return c
}

// Route returns the route of a database.
func (c *Config) Route(database string) (Route, bool) {
	r, ok := c.routes[database]
	return r, ok
}

// Group returns what operators say of a group.
func (c *Config) Group(name cluster.GroupName) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}
