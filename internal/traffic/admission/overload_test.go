package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	pace := Pace{Service: 20 * time.Millisecond, Interval: 10 * time.Millisecond}
	waiting := func(count int) []Item[int] {
		var items []Item[int]
		for i := range count {
			items = append(items, Item[int]{Value: i, Priority: 1, SoftDeadline: at(100 + i), Arrival: uint64(i)})
		}
		return items
	}
	tests := []struct {
		name    string
		waiting []Item[int]
		item    Item[int]
		want    Decision
	}{
		{"nothing waits", nil, Item[int]{Value: 99, Priority: 1, SoftDeadline: at(200), HoldUntil: at(300)}, Decision{Wait: true, Expected: 10 * time.Millisecond}},
		{"in time behind others", waiting(5), Item[int]{Value: 99, Priority: 1, SoftDeadline: at(200), HoldUntil: at(300)}, Decision{Wait: true, Expected: 60 * time.Millisecond, Ahead: 5}},
		{"a higher priority goes before them", waiting(5), Item[int]{Value: 99, SoftDeadline: at(200), HoldUntil: at(300)}, Decision{Wait: true, Expected: 10 * time.Millisecond}},
		{"late, but soon", waiting(5), Item[int]{Value: 99, Priority: 1, SoftDeadline: at(-10), HoldUntil: at(300)}, Decision{Wait: true, Expected: 60 * time.Millisecond, Ahead: 5}},
		{"late, and not before its caller should come back", waiting(40), Item[int]{Value: 99, Priority: 1, SoftDeadline: at(-10), HoldUntil: at(300), Arrival: 99}, Decision{RetryAfter: 410 * time.Millisecond, Expected: 410 * time.Millisecond, Ahead: 40}},
		{"late, and may wait for any time", waiting(40), Item[int]{Value: 99, Priority: 1, SoftDeadline: at(-10), Arrival: 99}, Decision{Wait: true, Expected: 410 * time.Millisecond, Ahead: 40}},
		{"held for as long as it may be", waiting(1), Item[int]{Value: 0, Priority: 1, SoftDeadline: at(-400), HoldUntil: at(-1)}, Decision{RetryAfter: minRetryAfter, Expected: 10 * time.Millisecond}},
	}
	for _, test := range tests {
		var q Queue[int]
		for _, item := range test.waiting {
			q.Add(item, start)
		}
		if got := q.Decide(test.item, pace, start); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestStalledQueueRefuses checks that the prediction turns when nothing leaves the queue
// for much longer than usual.
func TestStalledQueueRefuses(t *testing.T) {
	var q Queue[int]
	item := Item[int]{Value: 1, SoftDeadline: at(100), HoldUntil: at(300)}
	q.Add(item, start)
	pace := Pace{Service: 20 * time.Millisecond, Interval: 10 * time.Millisecond}
	for ms := 0; ms < 400; ms += 50 {
		got, want := q.Decide(item, pace, at(ms)).Wait, ms <= 150
		if got != want {
			t.Errorf("after %d ms: got wait %v, want %v", ms, got, want)
		}
	}
}

func TestRetries(t *testing.T) {
	r := NewRetries()
	r.Record(1, at(100), at(500))
	r.Record(2, at(100), at(500))
	r.Done(2)
	tests := []struct {
		name   string
		digest uint64
		now    time.Time
		want   time.Time
	}{
		{"comes back after a refusal", 1, at(700), at(100)},
		{"too long after it", 1, at(2600), at(9000)},
		{"ran meanwhile", 2, at(700), at(9000)},
		{"never refused", 3, at(700), at(9000)},
	}
	for _, test := range tests {
		if got := r.SoftDeadline(test.digest, at(9000), test.now); !got.Equal(test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	for i := range uint64(3 * maxRetries) {
		r.Record(i, start, at(int(i)/100))
	}
	if len(r.firstTries) > maxRetries || len(r.order) > maxRetries {
		t.Errorf("got %d statements remembered, want %d at most", len(r.firstTries), maxRetries)
	}
}

type (
	// simulation is a server with 2 slots behind one queue, and callers that come
	// back twice after a refusal, through another proxy, which takes them for new.
	simulation struct {
		q       Queue[int]
		retries *Retries
		now     time.Time
		events  eventHeap
		random  *rand.Rand
		tries   map[int]*try
		lastID  int
		running int
		// refuses is true if statements are refused by prediction and recognized
		// when they come back. Otherwise they wait until their timeout.
		refuses bool

		inAim, late, heldToTheEnd int
	}

	// try is one try of a caller's operation that began at began.
	try struct {
		operation, number int
		began, arrived    time.Time
		queued            bool
	}

	event struct {
		at  time.Time
		run func()
	}
	eventHeap []event
)

const (
	simulatedService = 9 * time.Millisecond
	simulatedSlots   = 2
	simulatedAim     = 200 * time.Millisecond
	simulatedTimeout = 800 * time.Millisecond
	simulatedGiveUp  = 1500 * time.Millisecond
	simulatedHold    = 300 * time.Millisecond
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) schedule(after time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(after), run})
}

// arrive has a try arrive at the queue.
func (s *simulation) arrive(tr *try) {
	s.lastID++
	id := s.lastID
	tr.arrived = s.now
	item := Item[int]{Value: id, SoftDeadline: s.now.Add(simulatedAim), Arrival: uint64(id)}
	if s.refuses {
		item.HoldUntil = s.now.Add(simulatedHold)
		item.SoftDeadline = s.retries.SoftDeadline(uint64(tr.operation), item.SoftDeadline, s.now)
	}
	s.tries[id] = tr
	s.decide(item)
}

// decide refuses or queues an item, and decides again later.
func (s *simulation) decide(item Item[int]) {
	tr := s.tries[item.Value]
	if tr == nil {
		return
	}
	pace := Pace{Service: simulatedService, Interval: simulatedService / simulatedSlots}
	timedOut := s.now.Sub(tr.arrived) >= simulatedTimeout*7/8
	d := s.q.Decide(item, pace, s.now)
	if timedOut || !d.Wait {
		s.q.Remove(item.Value)
		delete(s.tries, item.Value)
		s.refuse(tr, item, d)
		return
	}
	if !tr.queued {
		tr.queued = true
		s.q.Add(item, s.now)
		s.start()
	}
	s.schedule(50*time.Millisecond, func() { s.decide(item) })
}

// refuse has a caller come back, if it has tries and time left.
func (s *simulation) refuse(tr *try, item Item[int], d Decision) {
	if s.refuses {
		s.retries.Record(uint64(tr.operation), item.SoftDeadline, s.now)
	}
	backoff := 50*time.Millisecond + time.Duration(s.random.Int64N(int64(100*time.Millisecond)))
	if s.refuses {
		backoff = max(backoff, d.RetryAfter)
	}
	if held := s.now.Sub(tr.arrived); held > simulatedTimeout/2 {
		s.heldToTheEnd++
	}
	if tr.number == 2 || s.now.Add(backoff).Sub(tr.began) > simulatedGiveUp {
		return
	}
	s.schedule(backoff, func() { s.arrive(&try{operation: tr.operation, number: tr.number + 1, began: tr.began}) })
}

// start starts queued work while a slot is free.
func (s *simulation) start() {
	for s.running < simulatedSlots {
		id, ok := s.q.Pop(simulatedService, s.now)
		if !ok {
			return
		}
		tr := s.tries[id]
		delete(s.tries, id)
		s.running++
		s.schedule(simulatedService, func() {
			s.running--
			switch took := s.now.Sub(tr.began); {
			case took <= simulatedAim:
				s.inAim++
			case took <= simulatedGiveUp:
				s.late++
			}
			s.start()
		})
	}
}

// simulate offers factor times what the server can do for 4 s.
func simulate(factor float64, refuses bool) *simulation {
	s := &simulation{retries: NewRetries(), now: start, random: rand.New(rand.NewPCG(1, 1)), tries: map[int]*try{}, refuses: refuses}
	interval := time.Duration(float64(simulatedService) / simulatedSlots / factor)
	for i := range int(4 * time.Second / interval) {
		at := time.Duration(i)*interval + time.Duration(s.random.Int64N(int64(interval)))
		s.schedule(at, func() { s.arrive(&try{operation: i, began: s.now}) })
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

// TestGoodputUnderOverload offers 1, 1.5, 2 and 4 times what a server can do, as when the
// replicas of a group lag and all of its reads run on the primary. What is done within
// the aim at 2 and 4 times must be at least 95 and 90 percent of that at 1 time.
func TestGoodputUnderOverload(t *testing.T) {
	base := simulate(1, true)
	tests := []struct {
		factor, want float64
	}{{1.5, 0.95}, {2, 0.95}, {4, 0.9}}
	for _, test := range tests {
		before, after := simulate(test.factor, false), simulate(test.factor, true)
		summary := fmt.Sprintf("%v times: in aim %d, late %d, held to the end %d; without refusals %d, %d, %d; at 1 time %d",
			test.factor, after.inAim, after.late, after.heldToTheEnd, before.inAim, before.late, before.heldToTheEnd, base.inAim)
		t.Log(summary)
		if got := float64(after.inAim) / float64(base.inAim); got < test.want {
			t.Errorf("got %.3f of the goodput at 1 time, want %v; %s", got, test.want, summary)
		}
		if after.heldToTheEnd > 0 {
			t.Errorf("got %d refusals after over half of the timeout, want none; %s", after.heldToTheEnd, summary)
		}
		if before.inAim >= after.inAim {
			t.Errorf("got no more in the aim than without refusals; %s", summary)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	var q Queue[int]
	for i := range 1000 {
		q.Add(Item[int]{Value: i, Priority: i % 3, SoftDeadline: at(i % 300), Arrival: uint64(i)}, start)
	}
	item := Item[int]{Value: 500, Priority: 1, SoftDeadline: at(150), HoldUntil: at(300), Arrival: 500}
	pace := Pace{Service: 20 * time.Millisecond, Interval: 10 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		q.Decide(item, pace, start)
	}
}
