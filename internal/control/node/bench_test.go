package node_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/node"
)

// counting gives a node a machine whose state has 4 MB.
func counting(o *node.Options) { o.StateMachine = &countMachine{} }

// BenchmarkPropose measures commands that three nodes on loopback sync and
// commit, from a number of callers at once.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			s := newNodes(b, 3, counting)
			s.startAll()
			leader := s.running[s.leader()].node
			command := make([]byte, 200)
			var failed atomic.Int64
			b.SetParallelism(callers)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(context.Background(), command); err != nil {
						failed.Add(1)
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// BenchmarkConfirm measures confirmations of the leadership.
func BenchmarkConfirm(b *testing.B) {
	s := newNodes(b, 3, counting)
	s.startAll()
	leader := s.running[s.leader()].node
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := leader.ConfirmLeadership(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkIdle measures the traffic of nodes with nothing to do.
func BenchmarkIdle(b *testing.B) {
	const heartbeats = 40
	s := newNodes(b, 3, counting)
	s.startAll()
	leader := s.running[s.leader()]
	time.Sleep(time.Second)
	for b.Loop() {
		sent, received, cpu := leader.traffic.Sent.Load(), leader.traffic.Received.Load(), processorTime(b)
		time.Sleep(heartbeats * 75 * time.Millisecond)
		perPeer := float64(heartbeats * 2)
		b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/(3*heartbeats*0.075), "cpu-us/s-and-node")
		b.ReportMetric(float64(leader.traffic.Sent.Load()-sent)/perPeer, "request-B")
		b.ReportMetric(float64(leader.traffic.Received.Load()-received)/perPeer, "answer-B")
	}
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRecovery measures a start on a stored log without a snapshot, up to
// the end of what is committed.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries-%d", count), func(b *testing.B) {
			s := newNodes(b, 1, func(o *node.Options) {
				counting(o)
				o.SnapshotEntries, o.SnapshotBytes = 1<<40, 1<<40
			})
			name := s.peers[0].Name
			p := s.start(name)
			s.leader()
			fill(b, p.node, count)
			s.stop(name)
			for b.Loop() {
				p := s.start(name)
				s.until("all entries", func() bool { return p.node.AppliedIndex() >= uint64(count) })
				b.StopTimer()
				s.stop(name)
				b.StartTimer()
			}
		})
	}
}

// fill proposes commands from many callers.
func fill(b *testing.B, n *node.Node, count int) {
	b.Helper()
	var failed atomic.Int64
	command := make([]byte, 200)
	group := newLimited(256)
	for range count {
		group.Go(func() error {
			if _, err := n.Propose(context.Background(), command); err != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil || failed.Load() > 0 {
		b.Fatalf("got %d failed proposals, error %v", failed.Load(), err)
	}
}
