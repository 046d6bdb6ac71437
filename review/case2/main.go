// Command case2 shows that a frontend process that gets SIGTERM breaks off requests that a
// server is working on, of a client that sends one request after the other.
//
// # Usage
//
//	target/review/case2            # exit code 1: the rule was broken, 0: it held, 2: it couldn't run
//	TROUBLE=0 target/review/case2  # the same without the SIGTERM
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/review/bed"
)

const (
	database = "lepu270"
	// clients is the number of clients that send through the process.
	clients = 4
	// thinkTime is the pause of a client between an answer and its next request.
	thinkTime = 5 * time.Millisecond
	// runTime is how long they send.
	runTime = 7 * time.Second
	// gracePeriod is gracePeriodS. A request counts that is sent up to plannedAfter after
	// the SIGTERM, unless it was sent at most excusedBefore after it and the server was
	// still at work in the last sixth of gracePeriodS.
	gracePeriod   = 6 * time.Second
	plannedAfter  = gracePeriod + time.Second
	excusedBefore = 3 * time.Second
)

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
		Folder: "review/2", Zones: []string{"perth-a", "perth-b", "bunbury"},
		ConnectionLimit: 16, Slots: 2, StatementTime: 9 * time.Millisecond, Configuration: configuration,
	})
	if err != nil {
		return 2, err
	}
	defer b.Close()
	if err := b.Start(); err != nil {
		return 2, err
	}
	proxy := b.Proxies[1]
	var terminated atomic.Int64 // the time of the SIGTERM in Unix nanoseconds; 0: there was none
	var group errgroup.Group
	var mu sync.Mutex
	served := 0
	begun := time.Now()
	for i := range clients {
		c, err := b.Connect(proxy, database)
		if err != nil {
			return 2, err
		}
		group.Go(func() error {
			defer c.Close()
			for n := 0; time.Since(begun) < runTime; n++ {
				_, err := c.Query(fmt.Sprintf("WRITE item-%d payment-%d", i, n))
				if errors.Is(err, bed.ErrSessionClosed) {
					return nil // the session was closed while no request was outstanding
				}
				if err != nil {
					checkLost(b, c, time.Unix(0, terminated.Load()))
					return nil
				}
				mu.Lock()
				served++
				mu.Unlock()
				time.Sleep(thinkTime)
			}
			return nil
		})
	}
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		terminated.Store(time.Now().UnixNano())
		if err := proxy.Signal(syscall.SIGTERM); err != nil {
			return 2, err
		}
	}
	if err := group.Wait(); err != nil {
		return 2, err
	}
	b.Recordf("%d requests were answered", served)
	return b.Verdict(), nil
}

// checkLost checks a request whose connection ended without an answer.
func checkLost(b *bed.Bed, c *bed.Client, terminated time.Time) {
	id, sent := c.Outstanding()
	after := sent.At.Sub(terminated)
	time.Sleep(100 * time.Millisecond) // the server may be about to run it
	ranAt, ran := b.Ledger.RanAt(id)
	if !ran {
		b.Recordf("%s: request %s wasn't passed on to a server", c.Name, id)
		return
	}
	if after > plannedAfter || after <= excusedBefore && ranAt.Sub(terminated) >= gracePeriod*5/6 {
		b.Recordf("%s: request %s doesn't count", c.Name, id)
		return
	}
	b.Violatef("LOST", "request %s of %s, sent %.3f s after the SIGTERM, ran on a server %.3f s after it, and its connection ended without an answer",
		id, c.Name, after.Seconds(), ranAt.Sub(terminated).Seconds())
}

func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-ctnfzs9","host":"%s","pathPrefix":"/","routeKind":"primary","timeoutMs":800,"targetLatencyMs":100,"priority":1,"service":"perdiem-1","maxAttempts":2}],`+
		`"services":[{"name":"perdiem-1","healthPath":"/health","connectionLimit":16,"protocol":"h1","tlsEnabled":false,"syncReplicas":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000}}`, version, database)
}
