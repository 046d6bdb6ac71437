package script_test

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	statusTimeout = 10 * time.Second
	statusTry     = time.Second
	scenarioKey   = "scenario-key-0123456789abcdef"
)

// primary sets the named variable to the name of the group's primary.
func primary(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: primary VARIABLE")
	}
	awaitStatus(ts, "a primary", func(status *controlpb.StatusResponse) bool {
		for _, group := range status.GetGroups() {
			if group.GetName() == groupName && group.GetPrimary() != "" {
				ts.Setenv(args[0], group.GetPrimary())
				return true
			}
		}
		return false
	})
}

// term sets the named variable to the group's term.
func term(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: term VARIABLE")
	}
	awaitStatus(ts, "a term", func(status *controlpb.StatusResponse) bool {
		for _, group := range status.GetGroups() {
			if group.GetName() == groupName && group.GetTerm() > 0 {
				ts.Setenv(args[0], strconv.FormatUint(group.GetTerm(), 10))
				return true
			}
		}
		return false
	})
}

// caughtUp waits until the named server is a replica that has applied what the
// primary has.
func caughtUp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: caught-up SERVER")
	}
	awaitStatus(ts, args[0]+" to catch up", func(status *controlpb.StatusResponse) bool {
		var primary, server *controlpb.ServerStatus
		for _, s := range status.GetServers() {
			if s.GetRole() == "primary" && s.GetMember().GetServer() == primaryOf(status) {
				primary = s
			}
			if s.GetMember().GetServer() == args[0] {
				server = s
			}
		}
		if primary == nil || server == nil || server.GetRole() != "replica" {
			return false
		}
		return server.GetPromised() == primary.GetPromised() &&
			server.GetApplied().GetPosition() >= primary.GetReceived().GetPosition()
	})
}

// disk sets the named variable to the identity of a control node's disk.
func disk(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: disk NODE VARIABLE")
	}
	awaitStatus(ts, "control node "+args[0], func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			if node.GetName() == args[0] && node.GetVoter() {
				ts.Setenv(args[1], strconv.FormatUint(node.GetIncarnation(), 10))
				return true
			}
		}
		return false
	})
}

// replaced waits until a control node votes with another disk than the given
// one.
func replaced(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: replaced NODE DISK")
	}
	awaitStatus(ts, args[0]+" to vote with a new disk", func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			isNew := strconv.FormatUint(node.GetIncarnation(), 10) != args[1]
			if node.GetName() == args[0] && node.GetVoter() && isNew {
				return true
			}
		}
		return false
	})
}

// controlLeader sets the named variable to the name of the leading control node.
func controlLeader(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: leader VARIABLE")
	}
	awaitStatus(ts, "a leader", func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			if node.GetLeader() {
				ts.Setenv(args[0], node.GetName())
				return true
			}
		}
		return false
	})
}

// inForce waits until all three proxies have the given version in force.
func inForce(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: in-force VERSION")
	}
	awaitStatus(ts, "version "+args[0]+" on every proxy", func(status *controlpb.StatusResponse) bool {
		got := 0
		for _, proxy := range status.GetProxies() {
			if strconv.FormatUint(proxy.GetVersion(), 10) == args[0] {
				got++
			}
		}
		return got == systemSize
	})
}

// same checks that two words are equal.
func same(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: same WORD WORD")
	}
	if (args[0] == args[1]) == neg {
		ts.Fatalf("same %s %s = %v, want %v", args[0], args[1], args[0] == args[1], !neg)
	}
}

func primaryOf(status *controlpb.StatusResponse) string {
	for _, group := range status.GetGroups() {
		if group.GetName() == groupName {
			return group.GetPrimary()
		}
	}
	return ""
}

// awaitStatus asks control until the condition holds.
func awaitStatus(ts *testscript.TestScript, what string, holds func(*controlpb.StatusResponse) bool) {
	var last *controlpb.StatusResponse
	end := time.Now().Add(statusTimeout)
	for time.Now().Before(end) {
		status, err := askStatus(ts)
		if err == nil && holds(status) {
			return
		}
		if err == nil {
			last = status
		}
		time.Sleep(retryPause)
	}
	ts.Fatalf("waited %v for %s; last status: %v", statusTimeout, what, fmt.Sprint(last))
}

func askStatus(ts *testscript.TestScript) (*controlpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*statusTry)
	defer cancel()
	var addresses []netip.AddrPort
	for _, text := range strings.Split(ts.Getenv("CONTROLS"), ",") {
		address, err := netip.ParseAddrPort(text)
		ts.Check(err)
		addresses = append(addresses, address)
	}
	client := leader.New(addresses, transport.NewClient(scenarioKey, transport.Options{}))
	var status *controlpb.StatusResponse
	err := client.Do(ctx, statusTry, func(ctx context.Context, control controlpb.Control) error {
		var err error
		status, err = control.Status(ctx, &controlpb.StatusRequest{})
		return err
	})
	return status, err
}
