// Package detection compares timeouts after which an unresponsive primary counts as
// frozen: a fixed one and one that adapts to the pauses that the primary has
// survived.
//
// # Usage
//
//	row := detection.Run(detection.Options{Seed: 1, FrozenAfter: detection.Adaptive})
//
// The simulation has proxies that poll the primary over lossy links, and control's
// own probes. Package detect decides from their results. Times are simulated.
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
	// Adaptive stands for the timeout that adapts to the pauses of the primary.
	Adaptive = time.Duration(-1)

	proxies           = 9
	simulationStep    = 10 * time.Millisecond
	pollInterval      = 50 * time.Millisecond
	pollTimeout       = 300 * time.Millisecond
	probeInterval     = 100 * time.Millisecond
	probeTimeout      = 250 * time.Millisecond
	retransmission    = 200 * time.Millisecond
	meanPauseInterval = 20 * time.Second
	minPause          = 100 * time.Millisecond
	maxPause          = 800 * time.Millisecond
	// heartbeatDelay is the time until control receives a proxy's report. The
	// primary's silence in the report is shorter by this time.
	heartbeatDelay = 5 * time.Millisecond
	// timeBeforeFailure is the time, plus up to 1 s, after which the primary
	// freezes for good.
	timeBeforeFailure = 30 * time.Minute
)

type (
	// Options describe a run, in which the primary may pause repeatedly and finally
	// freezes for good.
	Options struct {
		Seed uint64
		// FrozenAfter is the fixed timeout, or Adaptive.
		FrozenAfter time.Duration
		// Loss is the share of messages that need a retransmission.
		Loss float64
		// Pauses makes the primary pause for 100 to 800 ms, every 20 s on
		// average.
		Pauses bool
	}

	// Row is the result of one run.
	Row struct {
		Options Options
		// FalsePromotions is the number of times that a primary was replaced
		// which had not failed.
		FalsePromotions int
		// DetectionTime is the time from the final freeze to the verdict.
		DetectionTime time.Duration
	}

	// poller polls the primary for a proxy or for control.
	poller struct {
		nextPoll     time.Time
		lastResponse time.Time
		// responseDue is when the response to the poll in flight arrives; zero if
		// none is in flight.
		responseDue time.Time
	}

	run struct {
		options   Options
		random    *rand.Rand
		now       time.Time
		start     time.Time
		frozenAt  time.Time
		pauseEnd  time.Time
		nextPause time.Time
		pollers   []poller
		probe     detect.Probe
		prober    poller
		pauses    detect.Pauses
		silentFor time.Duration
	}
)

// String returns the row as a line of a table.
func (r Row) String() string {
	timeout := r.Options.FrozenAfter.String()
	if r.Options.FrozenAfter == Adaptive {
		timeout = "adaptive"
	}
	return fmt.Sprintf("frozen-after=%s loss=%.2f pauses=%v seed=%d false-promotions=%d detection-time=%s", timeout, r.Options.Loss, r.Options.Pauses, r.Options.Seed, r.FalsePromotions, r.DetectionTime)
}

// Run simulates one run.
func Run(options Options) Row {
	start := time.Unix(1_000_000, 0)
	r := &run{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), now: start, start: start}
	r.frozenAt = start.Add(timeBeforeFailure + time.Duration(r.random.IntN(1000))*time.Millisecond)
	r.pollers = make([]poller, proxies)
	for i := range r.pollers {
		r.pollers[i].lastResponse = start
		r.pollers[i].nextPoll = start.Add(time.Duration(r.random.IntN(50)) * time.Millisecond)
	}
	r.nextPause = start.Add(r.untilPause())
	row := Row{Options: options}
	for {
		r.now = r.now.Add(simulationStep)
		r.advance()
		if !r.evaluate() {
			continue
		}
		if !r.now.Before(r.frozenAt) {
			row.DetectionTime = r.now.Sub(r.frozenAt)
			return row
		}
		row.FalsePromotions++
		r.promote()
	}
}

// untilPause draws the time until the next pause of the primary.
func (r *run) untilPause() time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(meanPauseInterval))
}

// responds reports whether the primary answers now.
func (r *run) responds() bool {
	return r.now.Before(r.frozenAt) && !r.now.Before(r.pauseEnd)
}

// promote simulates a promotion: there is no evidence against the new primary. The
// old primary's process keeps running, so its pause counts as survived.
func (r *run) promote() {
	r.pauses = r.pauses.WithPause(r.silentFor, r.now)
	r.pauseEnd = r.now
	r.probe = detect.Probe{}
	r.silentFor = 0
	for i := range r.pollers {
		r.pollers[i] = poller{nextPoll: r.now, lastResponse: r.now}
	}
}

// advance starts a pause if one is due, and lets the proxies poll.
func (r *run) advance() {
	if r.options.Pauses && !r.now.Before(r.nextPause) {
		length := minPause + time.Duration(r.random.Int64N(int64(maxPause-minPause)))
		r.pauseEnd = r.now.Add(length)
		r.nextPause = r.pauseEnd.Add(r.untilPause())
	}
	for i := range r.pollers {
		r.poll(&r.pollers[i], pollInterval)
	}
}

// poll lets a poller receive a response and send a request, if they are due. It has
// at most one request in flight. A lost message arrives later, and a paused primary
// responds when its pause ends.
func (r *run) poll(p *poller, interval time.Duration) {
	if !p.responseDue.IsZero() && !r.now.Before(p.responseDue) && r.responds() {
		p.lastResponse, p.responseDue = r.now, time.Time{}
		p.nextPoll = r.now.Add(interval)
	}
	if p.responseDue.IsZero() && !r.now.Before(p.nextPoll) {
		p.responseDue = r.now.Add(r.delay())
	}
}

// delay draws the round-trip time of a message: 2 ms, plus retransmissions that back
// off exponentially.
func (r *run) delay() time.Duration {
	delay := 2 * time.Millisecond
	for backoff := retransmission; r.random.Float64() < r.options.Loss; backoff *= 2 {
		delay += backoff
	}
	return delay
}

// evaluate reports whether control replaces the primary on the evidence of this
// moment.
func (r *run) evaluate() bool {
	var reports []detect.Report
	for i, p := range r.pollers {
		silent := r.now.Sub(p.lastResponse) - heartbeatDelay
		if silent < pollTimeout {
			continue
		}
		reports = append(reports, detect.Report{
			Proxy: cluster.ProxyName(rune('a' + i)), Kind: detect.KindTimeout, SilentFor: silent, ReceivedAt: r.now,
		})
	}
	if len(reports) == 0 {
		if r.silentFor > 0 {
			r.pauses = r.pauses.WithPause(r.silentFor, r.now)
		}
		r.silentFor, r.probe, r.prober = 0, detect.Probe{}, poller{}
		return false
	}
	r.updateProbe()
	frozenAfter := r.options.FrozenAfter
	if frozenAfter == Adaptive {
		frozenAfter = r.pauses.FrozenAfter(r.now)
	}
	evidence := detect.Evidence{Reports: reports, Observers: proxies, Probe: r.probe, FrozenAfter: frozenAfter}
	r.silentFor = max(r.silentFor, evidence.SilentFor(r.now))
	return detect.Evaluate(evidence, r.now).NeedsReplacement()
}

// updateProbe lets control probe the primary and updates r.probe.
func (r *run) updateProbe() {
	before := r.prober.lastResponse
	sent := r.prober.nextPoll
	r.poll(&r.prober, probeInterval)
	switch {
	case r.prober.lastResponse != before:
		r.probe = detect.Probe{LastSuccess: r.now}
	case !sent.IsZero() && r.now.Sub(sent) >= probeTimeout:
		if r.probe.LastFailure.IsZero() {
			r.probe.FailingSince = sent
		}
		r.probe.LastFailure, r.probe.Kind = r.now, detect.KindTimeout
	case sent.IsZero():
		r.prober.nextPoll = r.now
	}
}

// Summary summarizes runs that differ in their seed.
type Summary struct {
	FalsePromotionsPerHour                float64
	MedianDetectionTime, MaxDetectionTime time.Duration
}

// RunSeeds simulates runs with the seeds from 1 to runs and summarizes them. The
// median is the upper one.
func RunSeeds(options Options, runs int) Summary {
	var detected []time.Duration
	falsePromotions := 0
	for seed := range runs {
		options.Seed = uint64(seed + 1)
		row := Run(options)
		falsePromotions += row.FalsePromotions
		detected = append(detected, row.DetectionTime)
	}
	slices.Sort(detected)
	hours := float64(runs) * timeBeforeFailure.Hours()
	return Summary{FalsePromotionsPerHour: float64(falsePromotions) / hours, MedianDetectionTime: detected[len(detected)/2], MaxDetectionTime: detected[len(detected)-1]}
}
