package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// reportRows is the number of rows of a report, reportRowBytes the length of each.
	reportRows     = 60_000
	reportRowBytes = 1000
	// reportProxies is the number of proxies that clients read reports through,
	// readersPerProxy the number of clients of each that read one at the same time.
	reportProxies   = 2
	readersPerProxy = 3
	reportRounds    = 4
	reportGap       = 4 * time.Second
	// endsForFault is how often the processes of a machine have to end by themselves.
	endsForFault = 3
)

// playReport has clients read long reports through two proxies, while others write. It
// checks that the proxies stay within their memory.
func playReport(d *deployment, trouble bool) (broken bool, err error) {
	r := d.record
	w := startWriters(r, d)
	time.Sleep(3 * time.Second)
	rows := 1
	if trouble {
		rows = reportRows
	}
	for round := range reportRounds {
		var readers sync.WaitGroup
		for proxy := range byte(reportProxies) {
			for reader := range readersPerProxy {
				readers.Go(func() { readReport(r, d, proxy, round*readersPerProxy+reader, rows) })
			}
		}
		readers.Wait()
		time.Sleep(reportGap)
	}
	w.end()
	machines := 0
	for _, p := range d.processes {
		if p.role != "proxy" {
			continue
		}
		p.mu.Lock()
		r.logf("%s: peak %d MB, over its memory %d times", p.name, p.peakMB, p.overLimit)
		if p.overLimit >= endsForFault {
			machines++
		}
		p.mu.Unlock()
	}
	return machines >= 2, nil
}

// readReport reads one report in a session of its own.
func readReport(r *record, d *deployment, proxy byte, reader, rows int) {
	c, err := connect(d.callerAddress(proxy), boundedDatabase, "reporter")
	if err != nil {
		r.logf("reader %d at frontend-%d: no session: %v", reader, proxy, err)
		return
	}
	defer c.close()
	answer, err := c.query(fmt.Sprintf("f%x%014x", proxy, reader), fmt.Sprintf("READ report-%d", rows), 12*time.Second)
	r.logf("reader %d at frontend-%d: %d rows of %d, %s %s, error %v", reader, proxy, answer.rows, rows, answer.code, answer.text, err)
}
