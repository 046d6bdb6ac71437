package fleetrpc

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// TestPackedParts packs the content of a part again and again. Packed content is kept until
// the part changes, and not at all if it holds times.
func TestPackedParts(t *testing.T) {
	now := time.Unix(1000, 0)
	content := func(digest uint64, draining bool) coordinator.PartContent {
		s := registry.Server{
			Name: cluster.ServerName(fmt.Sprint("s", digest)), Group: "g", Address: netip.MustParseAddrPort("127.0.0.1:1"), Draining: draining, DrainingSince: now,
		}
		return coordinator.PartContent{
			Number: 3, Digest: digest, Servers: []registry.Server{s},
			Primaries: map[cluster.GroupName]state.GroupPrimary{"g": {Term: 2, Primary: s.Name}},
		}
	}
	var p packedParts
	steps := []struct {
		name    string
		content coordinator.PartContent
		// wantSame is true if a call a second later returns the same bytes.
		wantSame bool
	}{
		{"first", content(1, false), true},
		{"changed", content(2, false), true},
		{"draining", content(3, true), false},
	}
	for _, step := range steps {
		first, err := p.get(step.content, now)
		if err != nil {
			t.Fatal(err)
		}
		again, err := p.get(step.content, now.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if got := bytes.Equal(first, again); got != step.wantSame {
			t.Errorf("%s: got the same bytes %v, want %v", step.name, got, step.wantSame)
		}
		encoded, err := io.ReadAll(flate.NewReader(bytes.NewReader(first)))
		if err != nil {
			t.Fatal(err)
		}
		part := &fleetpb.Part{}
		if err := proto.Unmarshal(encoded, part); err != nil {
			t.Fatal(err)
		}
		if part.GetNumber() != 3 || part.GetServers()[0].GetName() != string(step.content.Servers[0].Name) || part.GetPrimacies()[0].GetTerm() != 2 {
			t.Errorf("%s: got part %v, want that of %v", step.name, part, step.content)
		}
	}
}
