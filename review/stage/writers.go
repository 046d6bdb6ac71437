package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	writersPerProxy = 2
	// writePause is the time between two writes of a client.
	writePause = 30 * time.Millisecond
)

type (
	// writers are clients that write all the time, each an item of its own.
	writers struct {
		record *record
		stop   chan struct{}
		waits  sync.WaitGroup
		mu     sync.Mutex
		acked  []ackedWrite
		other  map[string]int
	}

	// ackedWrite is a write that was answered with success.
	ackedWrite struct {
		id, item, data, signature string
		at                        time.Time
	}
)

// startWriters starts the clients.
func startWriters(r *record, d *deployment) *writers {
	w := &writers{record: r, stop: make(chan struct{}), other: map[string]int{}}
	for proxy := range byte(proxyCount) {
		for i := range writersPerProxy {
			w.waits.Go(func() { w.write(d, proxy, i) })
		}
	}
	return w
}

// end stops the clients and waits for their last answers.
func (w *writers) end() {
	close(w.stop)
	w.waits.Wait()
	w.record.logf("writes: %d acknowledged, others %v", len(w.acked), w.other)
}

func (w *writers) write(d *deployment, proxy byte, index int) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(writePause):
		}
		if c == nil {
			var err error
			if c, err = connect(d.callerAddress(proxy), strongDatabase, "writer"); err != nil {
				w.count("no session")
				c = nil
				continue
			}
		}
		id, item, data := fmt.Sprintf("%02x%02x%012x", proxy, index, n), fmt.Sprintf("w%d-%d", proxy, index), fmt.Sprintf("d%d", n)
		answer, err := c.query(id, "WRITE "+item+" "+data, 6*time.Second)
		w.record.logf("client %d-%d sent %s WRITE %s %s, answered %s", proxy, index, id, item, data, outcomeOf(answer, err))
		switch {
		case err != nil:
			w.count("no answer")
			c.close()
			c = nil
		case answer.code != "":
			w.count(answer.code)
		default:
			w.mu.Lock()
			w.acked = append(w.acked, ackedWrite{id: id, item: item, data: data, signature: answer.signature, at: time.Now()})
			w.mu.Unlock()
		}
	}
}

// outcomeOf describes an answer for the record.
func outcomeOf(answer result, err error) string {
	switch {
	case err != nil:
		return "nothing: " + err.Error()
	case answer.code != "":
		return answer.code + " " + answer.text
	default:
		return "DONE " + answer.signature
	}
}

func (w *writers) count(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.other[outcome]++
}
