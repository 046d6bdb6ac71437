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

// useFixedSizeMachine gives a node a state machine whose state has 4 MiB.
func useFixedSizeMachine(o *node.Options) { o.StateMachine = &fixedSizeMachine{} }

// BenchmarkPropose measures the rate of commands that three nodes on loopback sync and
// commit, with a number of concurrent proposals per processor.
func BenchmarkPropose(b *testing.B) {
	for _, parallelism := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("parallelism-%d", parallelism), func(b *testing.B) {
			s := newTestCluster(b, 3, useFixedSizeMachine)
			s.startAll()
			leader := s.running[s.leader()].node
			command := make([]byte, 200)
			var failed atomic.Int64
			b.SetParallelism(parallelism)
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

// BenchmarkConfirmLeadership measures confirmations of the leadership by a quorum.
func BenchmarkConfirmLeadership(b *testing.B) {
	s := newTestCluster(b, 3, useFixedSizeMachine)
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

// BenchmarkIdle measures the traffic and processor time of idle nodes, which exchange
// only heartbeats, by default one each 75 ms.
func BenchmarkIdle(b *testing.B) {
	const heartbeats = 40
	s := newTestCluster(b, 3, useFixedSizeMachine)
	s.startAll()
	leader := s.running[s.leader()]
	time.Sleep(time.Second)
	for b.Loop() {
		sent, received, cpu := leader.traffic.Sent.Load(), leader.traffic.Received.Load(), processorTime(b)
		time.Sleep(heartbeats * 75 * time.Millisecond)
		perPeer := float64(heartbeats * 2) // the leader has two peers
		b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/(3*heartbeats*0.075), "cpu-us/s-and-node")
		b.ReportMetric(float64(leader.traffic.Sent.Load()-sent)/perPeer, "request-B")
		b.ReportMetric(float64(leader.traffic.Received.Load()-received)/perPeer, "answer-B")
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRecovery measures the start of a node on a stored log without a snapshot,
// until all committed entries are applied.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries-%d", count), func(b *testing.B) {
			s := newTestCluster(b, 1, func(o *node.Options) {
				useFixedSizeMachine(o)
				o.SnapshotEntries, o.SnapshotBytes = 1<<40, 1<<40
			})
			name := s.peers[0].Name
			p := s.start(name)
			s.leader()
			proposeMany(b, p.node, count)
			s.stop(name)
			for b.Loop() {
				p := s.start(name)
				s.waitFor("all entries", func() bool { return p.node.AppliedIndex() >= uint64(count) })
				b.StopTimer()
				s.stop(name)
				b.StartTimer()
			}
		})
	}
}

// proposeMany proposes count commands, 256 at a time.
func proposeMany(b *testing.B, n *node.Node, count int) {
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
