// Command case1 shows that a statement of one client can run inside the transaction of
// another one, and commit it, after a frontend process was killed and started again.
//
// # Usage
//
//	target/review/case1            # exit code 1: the rule was broken, 0: it held, 2: it couldn't run
//	TROUBLE=0 target/review/case1  # the same without the kill
package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/review/bed"
)

const (
	database = "lepu270"
	// clients is the number of clients with an open transaction before the kill, and
	// again after it.
	clients = 3
	// maxRest bounds how long the first clients rest inside their transactions. It is less
	// than transactionIdleMs. lastRest is the end of that rest.
	maxRest  = 2800 * time.Millisecond
	lastRest = 200 * time.Millisecond
)

// errNoOwner is returned if no proxy holds connections to the primary.
var errNoOwner = errors.New("no frontend process holds connections to the primary")

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

func run() (int, error) {
	b, err := bed.New(bed.Options{
		Folder: "review/1", Zones: []string{"perth-a", "perth-a", "perth-a", "perth-b", "perth-b", "bunbury", "bunbury", "geraldton", "geraldton"},
		ConnectionLimit: 8, Slots: 2, StatementTime: 3 * time.Millisecond, Configuration: configuration,
	})
	if err != nil {
		return 2, err
	}
	defer b.Close()
	if err := b.Start(); err != nil {
		return 2, err
	}
	owner, others, err := findOwner(b)
	if err != nil {
		return 2, err
	}
	b.Recordf("%s holds the connections to the primary", owner.Name)

	first, err := openTransactions(b, others, "first")
	if err != nil {
		return 2, err
	}
	rested := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		if err := owner.Kill(); err != nil {
			return 2, err
		}
		if !owner.AwaitReady(maxRest) {
			return 2, fmt.Errorf("%w: %s isn't ready in time", bed.ErrCannotRun, owner.Name)
		}
	}
	second, err := openTransactions(b, others, "second")
	if err != nil {
		return 2, err
	}
	time.Sleep(lastRest)
	rest := time.Since(rested)
	if rest > maxRest {
		return 2, fmt.Errorf("%w: the clients rested for %v", bed.ErrCannotRun, rest)
	}
	b.Recordf("the first clients go on after a rest of %v", rest)
	commitAll(b, first)
	commitAll(b, second)
	b.Service.CheckWrites()
	return b.Verdict(), nil
}

func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-ctnfzs9","host":"%s","pathPrefix":"/","routeKind":"primary","timeoutMs":800,"targetLatencyMs":100,"priority":1,"service":"perdiem-1","maxAttempts":2}],`+
		`"services":[{"name":"perdiem-1","healthPath":"/health","connectionLimit":8,"protocol":"h1","tlsEnabled":false,"syncReplicas":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000}}`, version, database)
}

// findOwner returns the process that holds connections to the primary, and the others.
func findOwner(b *bed.Bed) (owner *bed.Process, others []*bed.Process, err error) {
	for _, p := range b.Proxies {
		text, err := p.Metrics()
		if err != nil {
			return nil, nil, err
		}
		if share(text, b.Service.Primary().ID()) > 0 {
			owner = p
		} else {
			others = append(others, p)
		}
	}
	if owner == nil || len(others) == 0 {
		return nil, nil, errNoOwner
	}
	return owner, others, nil
}

// share returns the number of connections to a server that a process may open, by its
// metrics.
func share(text, server string) int {
	for line := range strings.Lines(text) {
		if !strings.Contains(line, server) || !strings.Contains(line, "share") || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err == nil {
			return int(n)
		}
	}
	return 0
}

// openTransactions opens a transaction with one write for each of some clients, through
// different processes.
func openTransactions(b *bed.Bed, through []*bed.Process, label string) ([]*bed.Client, error) {
	var list []*bed.Client
	for i := range clients {
		c, err := b.Connect(through[i%len(through)], database)
		if err != nil {
			return nil, err
		}
		if _, err := c.Query("BEGIN"); err != nil {
			return nil, err
		}
		a, err := c.Query(fmt.Sprintf("WRITE %s-%d %s", label, i, label))
		if err != nil {
			return nil, err
		}
		if a.Error != "" {
			return nil, fmt.Errorf("%w: the write of %s was answered with %s", bed.ErrCannotRun, c.Name, a.Error)
		}
		list = append(list, c)
	}
	return list, nil
}

// commitAll commits the clients' transactions.
func commitAll(b *bed.Bed, list []*bed.Client) {
	for _, c := range list {
		if _, err := c.Query("COMMIT"); err != nil {
			b.Recordf("%s: %v", c.Name, err)
		}
		c.Close()
	}
}
