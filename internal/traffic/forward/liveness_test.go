package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// slowBroker is an owner that answers statements after statementDelay and pings after
// pingDelay. It signs its answers with its name.
type slowBroker struct {
	name                      string
	statementDelay, pingDelay time.Duration
}

func (b slowBroker) Execute(ctx context.Context, _ *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	return &fleetpb.ExecuteResponse{Signature: []byte(b.name)}, wait(ctx, b.statementDelay)
}

func (b slowBroker) Ping(ctx context.Context, _ *fleetpb.PingRequest) (*fleetpb.PingResponse, error) {
	return &fleetpb.PingResponse{}, wait(ctx, b.pingDelay)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return twirp.NewError(twirp.Canceled, ctx.Err().Error())
	}
}

// startBroker serves a broker and returns it as an owner.
func startBroker(t *testing.T, broker slowBroker) ownership.Peer {
	host := httptest.NewServer(fleetpb.NewBrokerServer(broker))
	t.Cleanup(host.CloseClientConnections)
	return ownership.Peer{Name: cluster.ProxyName(broker.name), Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}
}

// TestSilentOwner replays a cut between a proxy and one of two owners: an owner that
// answers neither statements nor pings loses the reads that it holds to the other one.
// One that only queues its statements keeps them, and so does one that may have run a
// write.
func TestSilentOwner(t *testing.T) {
	const late = 900 * time.Millisecond
	tests := []struct {
		name     string
		slow     slowBroker
		request  statement.Request
		want     string
		wantTime time.Duration
	}{
		{"read at a silent owner", slowBroker{"slow", late, late}, request(statement.Read, "READ 1"), "fast", 800 * time.Millisecond},
		{"read at a busy owner", slowBroker{"slow", late, 0}, request(statement.Read, "READ 1"), "slow", late + 600*time.Millisecond},
		{"write at a silent owner", slowBroker{"slow", late, late}, request(statement.Write, "WRITE 1 x"), "slow", late + 600*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slow, fast := startBroker(t, test.slow), startBroker(t, slowBroker{name: "fast"})
			client := NewOwnerClient(&http.Client{}, logr.Discard())
			owners := []ownership.Peer{slow, fast}
			// The digest decides on the owner; another text leads to the slow one.
			for ownership.ChooseOwner(owners, test.request.Digest(), func(ownership.Peer) bool { return true }).Name != slow.Name {
				test.request.Text += "0"
			}
			began := time.Now()
			answer, err := do(t, client.Connect("s", owners), test.request)
			if err != nil {
				t.Fatal(err)
			}
			if got, took := string(answer.Signature), time.Since(began); got != test.want || took > test.wantTime {
				t.Errorf("got an answer of the %s owner after %v, want the %s one within %v", got, took, test.want, test.wantTime)
			}
		})
	}
}
