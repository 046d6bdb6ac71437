package forward

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// TestUnknownNumbersInResponses guards against a process that ends because a newer build, or
// a damaged message, holds a number that it doesn't know. Such an answer must not be taken
// for a success or for a statement that hasn't run.
func TestUnknownNumbersInResponses(t *testing.T) {
	tests := []struct {
		name     string
		response *fleetpb.ExecuteResponse
		wantCode statement.Code
		wantErr  error
	}{
		{"known", &fleetpb.ExecuteResponse{Code: uint32(statement.Failed)}, statement.Failed, nil},
		{"code", &fleetpb.ExecuteResponse{Code: uint32(statement.UnknownKey) + 1}, statement.Unknown, nil},
		{"code that is a success in its lowest byte", &fleetpb.ExecuteResponse{Code: 256}, statement.Unknown, nil},
		{"state", &fleetpb.ExecuteResponse{State: 3}, 0, backend.ErrConnectionLost},
		{"state that is idle in its lowest byte", &fleetpb.ExecuteResponse{State: 256}, 0, backend.ErrConnectionLost},
		{"fault", &fleetpb.ExecuteResponse{Fault: 99}, 0, backend.ErrConnectionLost},
	}
	for _, test := range tests {
		host := httptest.NewServer(fleetpb.NewBrokerServer(brokerFunc(func(*fleetpb.ExecuteRequest) *fleetpb.ExecuteResponse { return test.response })))
		peer := ownership.Peer{Name: "owner", Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}
		conn := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", []ownership.Peer{peer})
		got, err := do(t, conn, request(statement.Write, "WRITE 1 x"))
		if !errors.Is(err, test.wantErr) || got.Code != test.wantCode {
			t.Errorf("%s: got code %v, %v, want %v, %v", test.name, got.Code, err, test.wantCode, test.wantErr)
		}
		if got.Code.String() == "" {
			t.Errorf("%s: got no name for the code", test.name)
		}
		host.Close()
	}
}

// TestUnknownVerbsAreRefused is the same for requests: nothing reaches the server, and the
// connection to it isn't lost.
func TestUnknownVerbsAreRefused(t *testing.T) {
	tests := []struct {
		name        string
		verb, begin uint32
	}{
		{"verb", 99, 0},
		{"verb that is a read in its lowest byte", 256 + uint32(statement.Read), 0},
		{"verb that isn't forwarded", uint32(statement.Reset), 0},
		{"begin", uint32(statement.Read), 99},
		{"begin that is none", uint32(statement.Read), uint32(statement.Commit)},
	}
	server := &fakeServer{}
	service, conn, _ := startOwner(t, server, 1)
	for _, test := range tests {
		response, err := service.Execute(t.Context(), &fleetpb.ExecuteRequest{Server: "s", Verb: test.verb, Begin: test.begin, Text: "READ 1", DeadlineMs: 1000})
		if err != nil || response.GetFault() != fleetpb.ExecuteResponse_FAULT_NOT_SENT {
			t.Errorf("%s: got %+v, %v, want not sent", test.name, response, err)
		}
	}
	if len(server.receivedStatements) > 0 {
		t.Errorf("got %q at the server, want nothing", server.receivedStatements)
	}
	if answer, err := do(t, conn, request(statement.Read, "READ 1")); err != nil || answer.Code != statement.OK {
		t.Errorf("got %+v, %v for a read on the only connection, want success", answer, err)
	}
}
