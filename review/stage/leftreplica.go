package main

import "time"

const (
	// drainTime is how long a draining server goes on serving: drainTimeoutMs and a
	// little longer.
	drainTime = 7500 * time.Millisecond
	// reuseAfter is reuseAfterS: when the successor of a server starts at its address.
	reuseAfter = 2 * time.Second
	// deafBeforeLeave is how long a replica has received nothing when the other one
	// leaves; crashAfterLeave is when the primary crashes.
	deafBeforeLeave = 2 * time.Second
	crashAfterLeave = 300 * time.Millisecond
	// deafTime is how long the replica receives nothing: the largest dose of the site.
	deafTime = 6 * time.Second
)

// playLeftReplica replaces a replica of a service with synchronous replication as planned.
// The other replica receives nothing for a while, and the primary crashes meanwhile. It
// checks that the server that is promoted has all acknowledged commits.
func playLeftReplica(d *deployment, trouble bool) (broken bool, err error) {
	r, b := d.record, d.backend
	w := startWriters(r, d)
	// A new leader takes some seconds to learn of all servers.
	time.Sleep(5 * time.Second)
	b.drain("i-1")
	time.Sleep(drainTime - deafBeforeLeave)
	if trouble {
		b.setDeaf("i-2", true)
		time.AfterFunc(deafTime, func() { b.setDeaf("i-2", false) })
	}
	time.Sleep(deafBeforeLeave)
	if err := b.leave("i-1"); err != nil {
		return false, err
	}
	time.Sleep(crashAfterLeave)
	if trouble {
		b.crash("i-0")
	}
	time.Sleep(reuseAfter - crashAfterLeave)
	if err := b.succeed("i-1", "i-3"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	w.end()
	return checkPromotedLogs(r, b, w), nil
}

// checkPromotedLogs reports whether a server was promoted without a commit that had been
// acknowledged.
func checkPromotedLogs(r *record, b *backend, w *writers) (broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.promotions {
		missing := 0
		for _, a := range w.acked {
			c := b.commits[a.id]
			if c.term >= p.term || !a.at.Before(p.at) || p.log[a.id] {
				continue
			}
			if missing++; missing <= 5 {
				r.logf("write %s was committed at %s, acknowledged %d ms before %s was promoted, and isn't in its log",
					a.id, c.by.id, p.at.Sub(a.at).Milliseconds(), p.instance)
			}
		}
		r.logf("%s was promoted to term %d without %d acknowledged commits", p.instance, p.term, missing)
		broken = broken || missing > 0
	}
	return broken
}
