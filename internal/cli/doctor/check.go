package doctor

import (
	"fmt"
	"syscall"
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// maxLastContactMS is the time in milliseconds since control's last
	// contact with a process above which the process counts as unresponsive.
	maxLastContactMS = 5000
	minFreeDiskBytes = 1 << 30
	minControlNodes  = 3
)

// checkStatus returns the findings of all checks of a status, those with levelOK too.
func checkStatus(status *controlpb.StatusResponse, declared *declaration.Declarations) []finding {
	var findings []finding
	findings = append(findings, checkNodes(status)...)
	findings = append(findings, checkProxies(status)...)
	findings = append(findings, checkGroups(status, declared)...)
	findings = append(findings, checkConnections(status)...)
	for _, text := range status.GetFindings() {
		findings = append(findings, finding{level: levelWarning, check: "control", text: text})
	}
	return findings
}

func checkNodes(status *controlpb.StatusResponse) []finding {
	nodes := status.GetNodes()
	findings := []finding{{level: levelOK, check: "leader", text: fmt.Sprintf("%s leads %d nodes", status.GetLeader(), len(nodes))}}
	if len(nodes) < minControlNodes {
		findings = append(findings, finding{level: levelWarning, check: "members", text: fmt.Sprintf("%d control nodes survive no loss", len(nodes)), fix: "run three control nodes, on VMs that don't fail together"})
	} else if len(nodes)%2 == 0 {
		findings = append(findings, finding{level: levelWarning, check: "members", text: fmt.Sprintf("%d control nodes survive no more losses than %d", len(nodes), len(nodes)-1), fix: "run an odd number of control nodes"})
	}
	for _, node := range nodes {
		check := "control node " + node.GetName()
		if node.GetLastHeardMs() > maxLastContactMS {
			findings = append(findings, finding{level: levelError, check: check, text: "is silent for " + milliseconds(node.GetLastHeardMs()), fix: "start it, or replace its VM"})
		}
		if !node.GetVoter() {
			findings = append(findings, finding{level: levelWarning, check: check, text: "has no vote yet", fix: "wait until it has caught up"})
		}
	}
	return findings
}

func checkProxies(status *controlpb.StatusResponse) []finding {
	var findings []finding
	live := 0
	for _, proxy := range status.GetProxies() {
		check := "proxy " + proxy.GetProxy().GetName()
		if proxy.GetLastHeardMs() > maxLastContactMS {
			findings = append(findings, finding{level: levelWarning, check: check, text: "is silent for " + milliseconds(proxy.GetLastHeardMs()), fix: "start it, or replace its VM"})
			continue
		}
		live++
		if proxy.GetVersion() < status.GetVersion() {
			findings = append(findings, finding{level: levelWarning, check: check, text: fmt.Sprintf("has version %d, not %d", proxy.GetVersion(), status.GetVersion()), fix: "if this lasts for more than 3 s, look at its log"})
		}
		if proxy.GetDraining() {
			findings = append(findings, finding{level: levelWarning, check: check, text: "is draining", fix: "end it with \"burdockwood proxy drain " + proxy.GetProxy().GetName() + " --undo\""})
		}
	}
	if live == 0 {
		return append(findings, finding{level: levelError, check: "proxies", text: "no proxy is live", fix: "start a proxy with \"burdockwood proxy run\""})
	}
	return append(findings, finding{level: levelOK, check: "proxies", text: fmt.Sprintf("%d live", live)})
}

func checkGroups(status *controlpb.StatusResponse, declared *declaration.Declarations) []finding {
	inForce := make(map[string]*controlpb.Group)
	for _, g := range status.GetGroups() {
		inForce[g.GetName()] = g
	}
	if len(declared.Groups) == 0 {
		return []finding{{level: levelError, check: "declarations", text: "no group is declared", fix: "put declarations in force with \"burdockwood apply -f DIR\""}}
	}
	var findings []finding
	for _, g := range declared.Groups {
		check := "group " + string(g.Name)
		current := inForce[string(g.Name)]
		live := countLiveMembers(current)
		switch {
		case current.GetPrimary() == "":
			findings = append(findings, finding{level: levelError, check: check, text: fmt.Sprintf("no primary is in force, %d of %d servers are live", live, g.Servers), fix: "start its backend servers and let them announce themselves"})
		case live < g.Servers:
			findings = append(findings, finding{level: levelWarning, check: check, text: fmt.Sprintf("%d of %d servers are live", live, g.Servers), fix: "start the missing servers, or see \"burdockwood group view " + string(g.Name) + "\""})
		default:
			findings = append(findings, finding{level: levelOK, check: check, text: fmt.Sprintf("term %d, primary %s, %d servers live", current.GetTerm(), current.GetPrimary(), live)})
		}
	}
	return findings
}

// checkConnections reports the servers to which all proxies together have more
// connections open than the server accepts.
func checkConnections(status *controlpb.StatusResponse) []finding {
	open := make(map[string]uint32)
	for _, proxy := range status.GetProxies() {
		for _, use := range proxy.GetUses() {
			open[use.GetServer()] += use.GetOpen()
		}
	}
	var findings []finding
	for _, server := range status.GetServers() {
		name := server.GetGroup() + "/" + server.GetMember().GetServer()
		limit := server.GetMember().GetConnections()
		if open[name] > limit {
			findings = append(findings, finding{level: levelError, check: "server " + name, text: fmt.Sprintf("proxies hold %d connections, it accepts %d", open[name], limit), fix: "raise the server's connection limit, and report this problem"})
		}
	}
	return findings
}

func checkDisk(folder string) []finding {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(folder, &stat); err != nil {
		return []finding{{level: levelError, check: "disk", text: folder + ": " + err.Error(), fix: "check --data"}}
	}
	free := stat.Bavail * uint64(stat.Bsize)
	text := fmt.Sprintf("%s has %d MiB free", folder, free>>20)
	if free < minFreeDiskBytes {
		return []finding{{level: levelError, check: "disk", text: text, fix: "free at least 1 GiB: a node that can't sync its log stops"}}
	}
	return []finding{{level: levelOK, check: "disk", text: text}}
}

// countLiveMembers returns the number of members that have recent contact with
// control and aren't leaving.
func countLiveMembers(g *controlpb.Group) int {
	n := 0
	for _, member := range g.GetMembers() {
		if !member.GetSilent() && !member.GetLeaving() {
			n++
		}
	}
	return n
}

func milliseconds(ms uint32) string { return (time.Duration(ms) * time.Millisecond).String() }
