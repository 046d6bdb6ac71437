package main

import "time"

const (
	// slowCall is how long the platform takes for a call while it is slow, slowFor how
	// long it is slow.
	slowCall = 3500 * time.Millisecond
	slowFor  = 2 * time.Second
	// releaseGap is the time between two servers of a release.
	releaseGap = time.Second
	// promoteMargin is how far the clock readings of a promotion and of a commit may be
	// apart.
	promoteMargin = 20 * time.Millisecond
)

// playSlowPlatform replaces two servers of a service, one after the other, while the
// platform is slow for a moment. It checks that no write is committed at an old primary
// after a promotion has taken effect, and acknowledged.
func playSlowPlatform(d *deployment, trouble bool) (broken bool, err error) {
	r, b := d.record, d.backend
	w := startWriters(r, d)
	// A new leader takes some seconds to learn of all servers.
	time.Sleep(5 * time.Second)
	// Each new server starts before the old one drains.
	if err := b.join("i-3"); err != nil {
		return false, err
	}
	time.Sleep(releaseGap)
	slowUntil := time.Now().Add(slowFor)
	if trouble {
		b.mu.Lock()
		b.callTime = func() time.Duration {
			if time.Now().Before(slowUntil) {
				return slowCall
			}
			return 0
		}
		b.mu.Unlock()
		r.logf("the platform is slow for %v", slowFor)
	}
	b.drain("i-0")
	if err := b.join("i-4"); err != nil {
		return false, err
	}
	time.Sleep(releaseGap)
	b.drain("i-1")
	time.Sleep(6 * time.Second)
	w.end()
	return checkOnePrimary(r, b, w), nil
}

// checkOnePrimary reports whether a write was committed at an old primary after a promotion
// had taken effect, and acknowledged to the client.
func checkOnePrimary(r *record, b *backend, w *writers) (broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.newest.requests()
	late, lost := 0, 0
	for _, a := range w.acked {
		c := b.commits[a.id]
		if !kept[a.id] {
			lost++
		}
		for _, p := range b.promotions {
			if p.term <= c.term || c.at.Before(p.at.Add(promoteMargin)) {
				continue
			}
			if late++; late <= 5 {
				r.logf("write %s was committed at %s in term %d, %d ms after %s led term %d, and acknowledged",
					a.id, c.by.id, c.term, c.at.Sub(p.at).Milliseconds(), p.instance, p.term)
			}
			break
		}
	}
	r.logf("%d promotions; %d acknowledged writes committed at an old primary after a promotion; %d acknowledged writes aren't in the log of the newest primary", len(b.promotions), late, lost)
	return late > 0
}
