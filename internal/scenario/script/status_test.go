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
	statusTimeout     = 10 * time.Second
	statusCallTimeout = time.Second
	scenarioKey       = "scenario-key-0123456789abcdef"
)

// findPrimary implements the script command primary: it waits until the group has a
// primary and sets the named variable to its name.
func findPrimary(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: primary VARIABLE")
	}
	waitForStatus(ts, "a primary", func(status *controlpb.StatusResponse) bool {
		for _, group := range status.GetGroups() {
			if group.GetName() == groupName && group.GetPrimary() != "" {
				ts.Setenv(args[0], group.GetPrimary())
				return true
			}
		}
		return false
	})
}

// findTerm implements the script command term: it waits until the group has a term
// and sets the named variable to it.
func findTerm(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: term VARIABLE")
	}
	waitForStatus(ts, "a term", func(status *controlpb.StatusResponse) bool {
		for _, group := range status.GetGroups() {
			if group.GetName() == groupName && group.GetTerm() > 0 {
				ts.Setenv(args[0], strconv.FormatUint(group.GetTerm(), 10))
				return true
			}
		}
		return false
	})
}

// waitUntilCaughtUp implements the script command caught-up: it waits until the named
// server is a replica that has promised the primary's term and has applied all that
// the primary has in its log.
func waitUntilCaughtUp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: caught-up SERVER")
	}
	waitForStatus(ts, args[0]+" to catch up", func(status *controlpb.StatusResponse) bool {
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

// findDiskID implements the script command disk: it waits until a control node is a
// voter and sets the named variable to the ID of its disk.
func findDiskID(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: disk NODE VARIABLE")
	}
	waitForStatus(ts, "control node "+args[0], func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			if node.GetName() == args[0] && node.GetVoter() {
				ts.Setenv(args[1], strconv.FormatUint(node.GetIncarnation(), 10))
				return true
			}
		}
		return false
	})
}

// waitUntilReplaced implements the script command replaced: it waits until a control
// node is a voter with another disk than the one with the given ID.
func waitUntilReplaced(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: replaced NODE DISK")
	}
	waitForStatus(ts, args[0]+" to be a voter with a new disk", func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			isNew := strconv.FormatUint(node.GetIncarnation(), 10) != args[1]
			if node.GetName() == args[0] && node.GetVoter() && isNew {
				return true
			}
		}
		return false
	})
}

// findLeader implements the script command leader: it waits until control has a leader
// and sets the named variable to its name.
func findLeader(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: leader VARIABLE")
	}
	waitForStatus(ts, "a leader", func(status *controlpb.StatusResponse) bool {
		for _, node := range status.GetNodes() {
			if node.GetLeader() {
				ts.Setenv(args[0], node.GetName())
				return true
			}
		}
		return false
	})
}

// waitForVersion implements the script command in-force: it waits until all three
// proxies use the given version of the declarations.
func waitForVersion(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: in-force VERSION")
	}
	waitForStatus(ts, "version "+args[0]+" on every proxy", func(status *controlpb.StatusResponse) bool {
		got := 0
		for _, proxy := range status.GetProxies() {
			if strconv.FormatUint(proxy.GetVersion(), 10) == args[0] {
				got++
			}
		}
		return got == processesPerKind
	})
}

// compareWords implements the script command same: it checks that two words are equal
// or, if neg is true, that they differ.
func compareWords(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: same WORD WORD")
	}
	if (args[0] == args[1]) == neg {
		ts.Fatalf("same %s %s = %v, want %v", args[0], args[1], args[0] == args[1], !neg)
	}
}

// primaryOf returns the name of the group's primary, or "".
func primaryOf(status *controlpb.StatusResponse) string {
	for _, group := range status.GetGroups() {
		if group.GetName() == groupName {
			return group.GetPrimary()
		}
	}
	return ""
}

// waitForStatus requests control's status until the condition holds, and fails the
// script if that takes longer than statusTimeout. what names the condition.
func waitForStatus(ts *testscript.TestScript, what string, holds func(*controlpb.StatusResponse) bool) {
	var last *controlpb.StatusResponse
	end := time.Now().Add(statusTimeout)
	for time.Now().Before(end) {
		status, err := requestStatus(ts)
		if err == nil && holds(status) {
			return
		}
		if err == nil {
			last = status
		}
		time.Sleep(retryPause)
	}
	ts.Fatalf("waited %v for %s; last status received (<nil>: none): %v", statusTimeout, what, fmt.Sprint(last))
}

// requestStatus requests the status from control's leader.
func requestStatus(ts *testscript.TestScript) (*controlpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*statusCallTimeout)
	defer cancel()
	var addresses []netip.AddrPort
	for _, text := range strings.Split(ts.Getenv("CONTROLS"), ",") {
		address, err := netip.ParseAddrPort(text)
		ts.Check(err)
		addresses = append(addresses, address)
	}
	client := leader.New(addresses, transport.NewClient(scenarioKey, transport.Options{}))
	var status *controlpb.StatusResponse
	err := client.Do(ctx, statusCallTimeout, func(ctx context.Context, control controlpb.Control) error {
		var err error
		status, err = control.Status(ctx, &controlpb.StatusRequest{})
		return err
	})
	return status, err
}
