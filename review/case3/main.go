// Command case3 shows that a frontend process that gets SIGTERM while a message is on its
// way drops the part that it has received, and takes the rest for a message of its own.
//
// # Usage
//
//	target/review/case3            # exit code 1: the rule was broken, 0: it held, 2: it couldn't run
//	TROUBLE=0 target/review/case3  # the same without the SIGTERM
package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/burdockwood/burdockwood/review/bed"
)

const (
	database = "lepu270"
	// gap is the pause between the two segments of the message: less than the time for
	// which a TCP sender waits before it sends a lost segment again.
	gap = 150 * time.Millisecond
	// inner is text that the client stores. It has the form of a message.
	inner = "QUERY 0123456789abcdef WRITE stolen yes"
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
		Folder: "review/3", Zones: []string{"perth-a", "perth-b", "bunbury"},
		ConnectionLimit: 16, Slots: 2, StatementTime: 3 * time.Millisecond, Configuration: configuration,
	})
	if err != nil {
		return 2, err
	}
	defer b.Close()
	if err := b.Start(); err != nil {
		return 2, err
	}
	proxy := b.Proxies[1]
	client, err := b.Connect(proxy, database)
	if err != nil {
		return 2, err
	}
	defer client.Close()
	if a, err := client.Query("WRITE note1 before"); err != nil || a.Error != "" {
		return 2, fmt.Errorf("%w: the first write was answered with %s: %w", bed.ErrCannotRun, a, err)
	}
	message := client.Message("WRITE note2 " + strings.Repeat("x", 1400) + " " + inner)
	first, second := message[:strings.Index(message, inner)], message[strings.Index(message, inner):]
	if err := client.Send(first); err != nil {
		return 2, err
	}
	time.Sleep(gap / 2)
	if os.Getenv("TROUBLE") != "0" {
		if err := proxy.Signal(syscall.SIGTERM); err != nil {
			return 2, err
		}
	}
	time.Sleep(gap / 2)
	b.Recordf("%s sends the second segment", client.Name)
	if err := client.Send(second); err != nil {
		b.Recordf("%s: %v", client.Name, err)
	}
	if _, err := client.ReadAnswer(); err != nil {
		b.Recordf("%s: %v", client.Name, err)
	}
	return b.Verdict(), nil
}

func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-ctnfzs9","host":"%s","pathPrefix":"/","routeKind":"primary","timeoutMs":800,"targetLatencyMs":100,"priority":1,"service":"perdiem-1","maxAttempts":2}],`+
		`"services":[{"name":"perdiem-1","healthPath":"/health","connectionLimit":16,"protocol":"h1","tlsEnabled":false,"syncReplicas":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000}}`, version, database)
}
