// Package declaration reads and checks what operators declare: labelled
// groups of backend servers and the selectors that decide which callers and
// which kinds of request may reach which groups.
//
// # Usage
//
//	declared, faults := declaration.Parse(text)
//	if len(faults) > 0 {
//		// Each fault names the line, the field and the fix.
//	}
//	match := declared.Select(caller, request)
//	why := declared.Explain(caller, request).Steps
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
//
// The selector with the highest priority that matches decides; two that match
// at one priority are ordered by name. An empty condition matches everything.
// A request that no selector matches is refused. If several groups carry a
// selector's group labels, the one whose name equals the caller's database is
// chosen, else the first by name. Without any selector a request reaches the
// group whose name equals its database.
package declaration

import (
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// KindRead is a read that wants the newest data.
	KindRead Kind = "read"
	// KindWrite is a request that may change data.
	KindWrite Kind = "write"
	// KindAgedRead is a read that accepts data of a stated age.
	KindAgedRead Kind = "aged-read"

	// Format is the format that this release reads and writes.
	Format = "burdockwood-1"
)

// Kinds are all kinds of requests.
var Kinds = []Kind{KindRead, KindWrite, KindAgedRead}

type (
	// Kind is the kind of a request.
	Kind string

	// Declarations are the groups and selectors of one version.
	Declarations struct {
		Format    string     `yaml:"format"`
		Groups    []Group    `yaml:"groups"`
		Selectors []Selector `yaml:"selectors"`

		index *Index
	}

	// Group declares a group of backend servers.
	Group struct {
		Name   cluster.GroupName `yaml:"name"`
		Labels cluster.Labels    `yaml:"labels,omitempty"`
		// Servers is the number of servers that the group has when whole.
		Servers int `yaml:"servers"`
		// ServerLabels sets labels of servers; the label "leaving: true"
		// drains a server.
		ServerLabels []ServerLabels `yaml:"server-labels,omitempty"`
	}

	// ServerLabels are labels that an operator gives a server.
	ServerLabels struct {
		Server cluster.ServerName `yaml:"server"`
		Labels cluster.Labels     `yaml:"labels,omitempty"`
	}

	// Selector decides which requests reach which groups.
	Selector struct {
		Name     string           `yaml:"name"`
		Priority int              `yaml:"priority,omitempty"`
		Callers  CallerCondition  `yaml:"callers,omitempty"`
		Requests RequestCondition `yaml:"requests,omitempty"`
		Groups   cluster.Labels   `yaml:"groups,omitempty"`
		// Tenant names the class for fairness and histograms.
		Tenant string `yaml:"tenant,omitempty"`
		// Weight is the tenant's share under overload, from 1.
		Weight int `yaml:"weight,omitempty"`
		// Deadline bounds the time that a request may take.
		Deadline time.Duration `yaml:"deadline,omitempty"`
		// MaxAge is the age that reads accept when they state none; zero:
		// the newest data.
		MaxAge time.Duration `yaml:"max-age,omitempty"`
	}

	// CallerCondition is a condition on the caller; all given parts must hold.
	CallerCondition struct {
		Databases    []string       `yaml:"databases,omitempty"`
		Users        []string       `yaml:"users,omitempty"`
		Applications []string       `yaml:"applications,omitempty"`
		Addresses    []netip.Prefix `yaml:"addresses,omitempty"`
		Labels       cluster.Labels `yaml:"labels,omitempty"`
	}

	// RequestCondition is a condition on the request.
	RequestCondition struct {
		Kinds  []Kind         `yaml:"kinds,omitempty"`
		Labels cluster.Labels `yaml:"labels,omitempty"`
	}

	// Caller is who sends a request.
	Caller struct {
		Database    string
		User        string
		Application string
		Address     netip.Addr
		Labels      cluster.Labels
	}

	// Request is what is selected on besides the caller.
	Request struct {
		Kind   Kind
		Labels cluster.Labels
	}

	// Match is the outcome of Select.
	Match struct {
		// Found is false if no selector matched or its groups don't exist.
		Found    bool
		Selector *Selector
		Group    cluster.GroupName
		// Steps explains, selector by selector, why it did or didn't match;
		// filled by Explain only.
		Steps []string
	}

	// Problem is one mistake in a declaration.
	Problem struct {
		// File is the name of the file; empty if there is only a text.
		File string
		// Line counts from 1; 0 if the fault has no line.
		Line  int
		Field string
		Text  string
		Fix   string
	}
)
