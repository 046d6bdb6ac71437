// Package declaration parses and validates what operators declare: labelled
// groups of backend servers, the selectors that decide which callers and
// which kinds of requests may reach which groups, and customers with their keys
// and limits.
//
// # Usage
//
//	declarations, problems := declaration.Parse(text)
//	if len(problems) > 0 {
//		// Each problem names the line, the field and how to fix it.
//	}
//	match := declarations.Select(caller, request)
//	steps := declarations.Explain(caller, request).Steps
//
// Declarations are one YAML document:
//
//	format: burdockwood-1
//	groups:
//	  - name: ledger-1
//	    labels: {tier: payroll}
//	    servers: 3
//	selectors:
//	  - name: payroll
//	    priority: 100
//	    callers: {databases: [ledger-1], users: [payroll], applications: [], addresses: [], labels: {}}
//	    requests: {kinds: [read, write, aged-read], labels: {}}
//	    groups: {tier: payroll}
//	    tenant: payroll
//	    weight: 4
//	    deadline: 2s
//	customers:
//	  - name: harbour-hotel
//	    keys: [2rrytapjsujqurtyiikd]
//	    limit: {rate: 200, burst: 400}
//	    priority: 1
//	    weight: 2
//
// Keys are turned into digests at once: neither the declarations nor a problem
// contain one, and Marshal writes key-digests, which Parse accepts in their place.
//
// Of the selectors that match a request, the one with the highest priority
// applies; of several with that priority, the first by name. An empty condition
// matches everything. A request that no selector matches is refused. If several
// groups have the labels that the selector names under groups, the group whose
// name equals the caller's database is chosen, or else the first by name. If no
// selectors are declared, a request goes to the group whose name equals the
// caller's database.
package declaration

import (
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// KindRead is a read that requires the newest data.
	KindRead Kind = "read"
	// KindWrite is a request that may change data.
	KindWrite Kind = "write"
	// KindAgedRead is a read that accepts data up to a given age.
	KindAgedRead Kind = "aged-read"

	// Format is the version of the YAML format that this release reads and
	// writes.
	Format = "burdockwood-1"
)

// Kinds lists all kinds of requests.
var Kinds = []Kind{KindRead, KindWrite, KindAgedRead}

type (
	// Kind is the kind of a request.
	Kind string

	// Declarations holds the groups, selectors and customers of one version.
	Declarations struct {
		Format    string     `yaml:"format"`
		Groups    []Group    `yaml:"groups"`
		Selectors []Selector `yaml:"selectors"`
		Customers Customers  `yaml:"customers,omitempty"`

		index        *Index
		hasPlainKeys bool
	}

	// Group declares a group of backend servers.
	Group struct {
		Name   cluster.GroupName `yaml:"name"`
		Labels cluster.Labels    `yaml:"labels,omitempty"`
		// Servers is the number of servers that the group should have.
		Servers int `yaml:"servers"`
		// ServerLabels sets labels of single servers; the label
		// "leaving: true" drains a server.
		ServerLabels []ServerLabels `yaml:"server-labels,omitempty"`
	}

	// ServerLabels sets the labels of one server.
	ServerLabels struct {
		Server cluster.ServerName `yaml:"server"`
		Labels cluster.Labels     `yaml:"labels,omitempty"`
	}

	// Selector decides which group serves the requests that match its
	// conditions, and with which limits.
	Selector struct {
		Name     string           `yaml:"name"`
		Priority int              `yaml:"priority,omitempty"`
		Callers  CallerCondition  `yaml:"callers,omitempty"`
		Requests RequestCondition `yaml:"requests,omitempty"`
		Groups   cluster.Labels   `yaml:"groups,omitempty"`
		// Tenant is the class that requests are counted under for fair
		// queueing and latency histograms; by default the selector's name.
		Tenant string `yaml:"tenant,omitempty"`
		// Weight is the tenant's relative share of capacity under overload;
		// at least 1.
		Weight int `yaml:"weight,omitempty"`
		// Deadline is the time within which a request must complete; zero: the
		// proxy's default.
		Deadline time.Duration `yaml:"deadline,omitempty"`
		// MaxAge is the maximum data age for reads that don't specify one;
		// zero: only the newest data.
		MaxAge time.Duration `yaml:"max-age,omitempty"`
	}

	// CallerCondition is a selector's condition on the caller. All fields that
	// are set must match.
	CallerCondition struct {
		Databases    []string       `yaml:"databases,omitempty"`
		Users        []string       `yaml:"users,omitempty"`
		Applications []string       `yaml:"applications,omitempty"`
		Addresses    []netip.Prefix `yaml:"addresses,omitempty"`
		Labels       cluster.Labels `yaml:"labels,omitempty"`
	}

	// RequestCondition is a selector's condition on the request. All fields that
	// are set must match.
	RequestCondition struct {
		Kinds  []Kind         `yaml:"kinds,omitempty"`
		Labels cluster.Labels `yaml:"labels,omitempty"`
	}

	// Caller describes the program that sends a request.
	Caller struct {
		Database    string
		User        string
		Application string
		Address     netip.Addr
		Labels      cluster.Labels
	}

	// Request holds the properties of a request that selectors match.
	Request struct {
		Kind   Kind
		Labels cluster.Labels
	}

	// Match is the result of Select and Explain.
	Match struct {
		// Found is false if no selector matched, or if no group has the labels
		// that the matching selector names.
		Found bool
		// Selector is nil if no selector matched or none is declared.
		Selector *Selector
		Group    cluster.GroupName
		// Steps says for each selector that was evaluated why it did or didn't
		// match; only Explain sets it.
		Steps []string
	}

	// Problem describes one mistake in the declarations.
	Problem struct {
		// File is the name of the file; empty for Parse, which reads a string.
		File string
		// Line counts from 1; 0 if the problem belongs to no line.
		Line int
		// Field is the path of the field, such as "groups[0].name".
		Field string
		// Text says what is wrong.
		Text string
		// Fix says how to correct it.
		Fix string
	}
)
