// Package detection compares ways to judge a silent primary: a fixed timeout
// against one that follows the pauses the primary has survived.
//
// # Usage
//
//	row := detection.Run(detection.Load{Seed: 1, Way: detection.Adaptive})
//
// The simulation joins proxies that poll the primary over lossy links with
// control's own probes, and lets package detect judge. Times are simulated.
package detection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Adaptive follows the survived pauses.
	Adaptive = time.Duration(-1)

	proxies        = 9
	step           = 10 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
	pollTimeout    = 300 * time.Millisecond
	probeInterval  = 100 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	retransmission = 200 * time.Millisecond
	heartbeatDelay = 5 * time.Millisecond
	pauseEvery     = 20 * time.Second
	shortestPause  = 100 * time.Millisecond
	longestPause   = 800 * time.Millisecond
	learningTime   = 30 * time.Minute
)

type (
	// Options is one run: pauses for a while, then the primary freezes for good.
	Options struct {
		Seed uint64
		// FrozenAfter is the fixed timeout, or Adaptive.
		FrozenAfter time.Duration
		// Loss is the share of messages that need a retransmission.
		Loss float64
		// Pauses turns pauses of 100 to 800 ms every 20 s on.
		Pauses bool
	}

	// Row is the outcome of one run.
	Row struct {
		Options Options
		// FalsePromotions is the number of promotions of a primary that had not failed.
		FalsePromotions int
		// DetectionTime is the time from the final freeze to the verdict.
		DetectionTime time.Duration
	}

	// watcher is a proxy or control's probe.
	watcher struct {
		next     time.Time
		answered time.Time
		due      time.Time
	}

	run struct {
		load     Options
		random   *rand.Rand
		now      time.Time
		start    time.Time
		frozenAt time.Time
		pauseEnd time.Time
		nextStop time.Time
		watchers []watcher
		probe    detect.Probe
		probing  watcher
		pauses   detect.Pauses
		silent   time.Duration
	}
)

// String returns the row as a line of a table.
func (r Row) String() string {
	way := r.Options.FrozenAfter.String()
	if r.Options.FrozenAfter == Adaptive {
		way = "adaptive"
	}
	return fmt.Sprintf("way=%s loss=%.2f pauses=%v seed=%d false=%d detected=%s", way, r.Options.Loss, r.Options.Pauses, r.Options.Seed, r.FalsePromotions, r.DetectionTime)
}

// Run simulates one run.
func Run(load Options) Row {
	start := time.Unix(1_000_000, 0)
	r := &run{load: load, random: rand.New(rand.NewPCG(load.Seed, 0)), now: start, start: start}
	r.frozenAt = start.Add(learningTime + time.Duration(r.random.IntN(1000))*time.Millisecond)
	r.watchers = make([]watcher, proxies)
	for i := range r.watchers {
		r.watchers[i].answered = start
		r.watchers[i].next = start.Add(time.Duration(r.random.IntN(50)) * time.Millisecond)
	}
	r.nextStop = start.Add(r.untilPause())
	row := Row{Options: load}
	for {
		r.now = r.now.Add(step)
		r.advance()
		if !r.judge() {
			continue
		}
		if !r.now.Before(r.frozenAt) {
			row.DetectionTime = r.now.Sub(r.frozenAt)
			return row
		}
		row.FalsePromotions++
		r.restart()
	}
}

func (r *run) untilPause() time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(pauseEvery))
}

// responds reports whether the primary answers now.
func (r *run) responds() bool {
	return r.now.Before(r.frozenAt) && !r.now.Before(r.pauseEnd)
}

// restart stands for a promotion: the new primary has no evidence against it,
// and the old one comes back without having been started again.
func (r *run) restart() {
	r.pauses = r.pauses.WithPause(r.silent, r.now)
	r.pauseEnd = r.now
	r.probe = detect.Probe{}
	r.silent = 0
	for i := range r.watchers {
		r.watchers[i] = watcher{next: r.now, answered: r.now}
	}
}

func (r *run) advance() {
	if r.load.Pauses && !r.now.Before(r.nextStop) {
		length := shortestPause + time.Duration(r.random.Int64N(int64(longestPause-shortestPause)))
		r.pauseEnd = r.now.Add(length)
		r.nextStop = r.pauseEnd.Add(r.untilPause())
	}
	for i := range r.watchers {
		r.poll(&r.watchers[i], pollInterval)
	}
}

// poll has at most one request under way; a lost message comes later, and a
// paused primary answers when it goes on.
func (r *run) poll(w *watcher, interval time.Duration) {
	if !w.due.IsZero() && !r.now.Before(w.due) && r.responds() {
		w.answered, w.due = r.now, time.Time{}
		w.next = r.now.Add(interval)
	}
	if w.due.IsZero() && !r.now.Before(w.next) {
		w.due = r.now.Add(r.delay())
	}
}

func (r *run) delay() time.Duration {
	delay := 2 * time.Millisecond
	for backoff := retransmission; r.random.Float64() < r.load.Loss; backoff *= 2 {
		delay += backoff
	}
	return delay
}

// judge forms the verdict as control does.
func (r *run) judge() bool {
	var reports []detect.Report
	for i, w := range r.watchers {
		silent := r.now.Sub(w.answered) - heartbeatDelay
		if silent < pollTimeout {
			continue
		}
		reports = append(reports, detect.Report{
			Proxy: cluster.ProxyName(rune('a' + i)), Kind: detect.KindTimeout, SilentFor: silent, ReceivedAt: r.now,
		})
	}
	if len(reports) == 0 {
		if r.silent > 0 {
			r.pauses = r.pauses.WithPause(r.silent, r.now)
		}
		r.silent, r.probe, r.probing = 0, detect.Probe{}, watcher{}
		return false
	}
	r.sendProbe()
	after := r.load.FrozenAfter
	if after == Adaptive {
		after = r.pauses.FrozenAfter(r.now)
	}
	evidence := detect.Evidence{Reports: reports, Observers: proxies, Probe: r.probe, FrozenAfter: after}
	r.silent = max(r.silent, evidence.SilentFor(r.now))
	return detect.Evaluate(evidence, r.now).NeedsReplacement()
}

func (r *run) sendProbe() {
	before := r.probing.answered
	sent := r.probing.next
	r.poll(&r.probing, probeInterval)
	switch {
	case r.probing.answered != before:
		r.probe = detect.Probe{LastSuccess: r.now}
	case !sent.IsZero() && r.now.Sub(sent) >= probeTimeout:
		if r.probe.LastFailure.IsZero() {
			r.probe.FailingSince = sent
		}
		r.probe.LastFailure, r.probe.Kind = r.now, detect.KindTimeout
	case sent.IsZero():
		r.probing.next = r.now
	}
}

// Summary joins the runs of one way.
type Summary struct {
	FalsePromotionsPerHour float64
	Median, Max            time.Duration
}

// RunSeeds runs the seeds 1 to runs.
func RunSeeds(load Options, runs int) Summary {
	var detected []time.Duration
	mistaken := 0
	for seed := range runs {
		load.Seed = uint64(seed + 1)
		row := Run(load)
		mistaken += row.FalsePromotions
		detected = append(detected, row.DetectionTime)
	}
	slices.Sort(detected)
	hours := float64(runs) * learningTime.Hours()
	return Summary{FalsePromotionsPerHour: float64(mistaken) / hours, Median: detected[len(detected)/2], Max: detected[len(detected)-1]}
}
