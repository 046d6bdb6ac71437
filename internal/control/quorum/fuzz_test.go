package quorum_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/codec"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
)

// FuzzStep delivers all messages that decode from the fuzzed bytes to a member in
// operation: Step may return an error, but not panic.
func FuzzStep(f *testing.F) {
	self, other := quorum.ID{Node: "control-1", Disk: 1}, quorum.ID{Node: "control-2", Disk: 2}
	address := netip.MustParseAddrPort("127.0.0.1:7400")
	config := &quorum.Configuration{Members: []quorum.Member{{ID: self, Address: address}, {ID: other, Address: address}}}
	first := quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryConfiguration, Configuration: config}
	second := quorum.Entry{Index: 2, Term: 2, Kind: quorum.EntryCommand, Data: []byte("x")}
	for kind := quorum.MessageDiscover; kind <= quorum.MessageRetired; kind++ {
		payload, err := codec.EncodeMessages([]quorum.Message{{
			Kind: kind, From: other, To: self, ClusterID: 9, Term: 3, Index: 1, LogTerm: 1, Commit: 2, Round: 1,
			Entries: []quorum.Entry{second}, Configuration: config, Total: 3, Chunk: []byte("abc"),
		}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload, uint8(kind))
	}
	f.Fuzz(func(t *testing.T, payload []byte, ticks uint8) {
		messages, err := codec.DecodeMessages(payload)
		if err != nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		options := quorum.Options{
			Self: config.Members[0], Nodes: config.Members, Random: rand.New(rand.NewPCG(1, 1)),
		}
		restored := quorum.Restored{
			HardState: quorum.HardState{Term: 2, Commit: 1, ClusterID: 9}, Entries: []quorum.Entry{first, second},
		}
		core, err := quorum.New(options, restored, now)
		if err != nil {
			t.Fatal(err)
		}
		for i := range min(int(ticks), 20) {
			now = now.Add(time.Duration(i) * 50 * time.Millisecond)
			core.Tick(now)
			for _, m := range messages {
				if core.Step(m, now) != nil {
					return
				}
			}
			if core.HasReady() {
				core.Advance(core.Ready(), now)
			}
		}
	})
}
