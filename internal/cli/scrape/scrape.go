// Package scrape reads the metrics that proxies serve at their admin addresses.
//
// # Usage
//
//	metrics, err := scrape.Fetch(ctx, "10.0.0.5:9100")
//	for name, counts := range metrics.Customers() { ... }
//
//	for _, result := range scrape.FetchAll(ctx, admins) {
//		if result.Err != nil { ... }
//	}
package scrape

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	readTimeout      = 2 * time.Second
	maxResponseBytes = 32 << 20
	maxConcurrent    = 32
)

type (
	// Metrics maps the names of a proxy's metrics to their values in JSON.
	Metrics map[string]json.RawMessage

	// Result is what the proxy at one address has answered.
	Result struct {
		Address string
		Metrics Metrics
		Err     error
	}

	// Customer holds the counts of one customer. The counts of operations and of
	// opened connections began at the start of the proxy.
	Customer struct {
		// Operations maps outcomes to numbers of operations.
		Operations map[string]int64
		// Tokens is how many operations may still be admitted.
		Tokens int64
		// Connections are the open connections to servers.
		Connections int64
		Opened      int64
	}
)

// Fetch returns the metrics of the proxy with the admin address.
func Fetch(ctx context.Context, admin string) (Metrics, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics.json", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s answers with status %d", admin, response.StatusCode)
	}
	var read Metrics
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&read); err != nil {
		return nil, err
	}
	return read, nil
}

// FetchAll returns the metrics of several proxies, in the order of their addresses.
func FetchAll(ctx context.Context, admins []string) []Result {
	results := make([]Result, len(admins))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, admin := range admins {
		group.Go(func() error {
			read, err := Fetch(ctx, admin)
			results[i] = Result{Address: admin, Metrics: read, Err: err}
			return nil
		})
	}
	_ = group.Wait() // the errors are in the results
	return results
}

// CheckAddresses returns the problems of admin addresses that were given by --admin.
func CheckAddresses(admins []string) settings.Problems {
	var problems settings.Problems
	for _, admin := range admins {
		if _, err := netip.ParseAddrPort(admin); err != nil {
			problems = append(problems, settings.Problem{Setting: "--admin", Text: fmt.Sprintf("%q is not IP:port", admin)})
		}
	}
	return problems
}

// Customers returns the counts by customer. The empty name stands for keys that no
// customer holds.
func (m Metrics) Customers() map[string]*Customer {
	customers := make(map[string]*Customer)
	for name, value := range m {
		base, labels := metrics.ParseName(name)
		name, labelled := labels[metrics.LabelCustomer]
		var n int64
		if !labelled || json.Unmarshal(value, &n) != nil {
			continue
		}
		c := customers[name]
		if c == nil {
			c = &Customer{Operations: make(map[string]int64)}
			customers[name] = c
		}
		c.add(base, labels[metrics.LabelOutcome], n)
	}
	return customers
}

func (c *Customer) add(base, outcome string, n int64) {
	switch base {
	case metrics.CustomerOperations:
		c.Operations[outcome] += n
	case metrics.CustomerTokensHeld:
		c.Tokens += n
	case metrics.CustomerConnections:
		c.Connections += n
	case metrics.CustomerConnectionsOpened:
		c.Opened += n
	}
}
