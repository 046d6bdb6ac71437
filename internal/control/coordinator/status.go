package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Status is the leader's state as operators see it.
	Status struct {
		Epoch   uint64
		Version cluster.Version
		Groups  []GroupView
		Servers []ServerStatus
		Proxies []ProxyStatus
		// Findings are sentences that describe problems.
		Findings []string
	}

	// ServerStatus is what the leader has recorded about a server.
	ServerStatus struct {
		MemberView
		Group            cluster.GroupName
		Status           cluster.ServerStatus
		SinceLastContact time.Duration
	}

	// ProxyStatus is what the leader has recorded about a proxy.
	ProxyStatus struct {
		Heartbeat
		SinceLastContact time.Duration
		Usage            map[ServerKey]allocation.Usage
	}
)

// Status returns the leader's state. Call it after the log has confirmed that
// this node leads. Errors: ErrNotLeader.
func (c *Coordinator) Status(now time.Time) (Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return Status{}, eris.Wrap(ErrNotLeader, "status")
	}
	status := Status{Epoch: c.epoch, Version: c.stateMachine.View().Version}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		g := c.groups[name]
		status.Groups = append(status.Groups, g.view)
		status.Servers = append(status.Servers, c.serverStatuses(name, g, now)...)
		status.Findings = append(status.Findings, c.findings(name, g, now)...)
	}
	for _, name := range slices.Sorted(maps.Keys(c.proxies)) {
		p := c.proxies[name]
		heartbeat := p.Heartbeat
		// The heartbeat's Draining means that the proxy shuts down, p.drain that
		// operators drain it.
		heartbeat.Draining = heartbeat.Draining || p.drainRequested
		status.Proxies = append(status.Proxies, ProxyStatus{Heartbeat: heartbeat, SinceLastContact: now.Sub(p.lastHeartbeat), Usage: p.usage})
		if !p.isLive(now) {
			status.Findings = append(status.Findings, fmt.Sprintf("proxy %s is silent for %s", name, now.Sub(p.lastHeartbeat).Round(time.Second)))
		}
	}
	return status, nil
}

func (c *Coordinator) serverStatuses(name cluster.GroupName, g *group, now time.Time) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(g.view.Members))
	for _, member := range g.view.Members {
		status := ServerStatus{MemberView: member, Group: name, SinceLastContact: now.Sub(c.leaderSince)}
		if server, ok := g.servers[member.Name]; ok {
			status.Status = server.Announcement.ServerStatus
			status.SinceLastContact = now.Sub(server.LastAnnounced)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (c *Coordinator) findings(name cluster.GroupName, g *group, now time.Time) []string {
	var findings []string
	declaredServers := c.declarations.Groups[name].Servers
	if g.view.Term == 0 {
		findings = append(findings, fmt.Sprintf("group %s waits for %d servers, %d are announced", name, declaredServers, len(g.servers)))
	}
	if g.verdict != detect.Fine {
		findings = append(findings, fmt.Sprintf("group %s: primary %s is %s", name, g.view.Primary, g.verdict))
	}
	for _, member := range g.view.Members {
		if member.Silent {
			findings = append(findings, fmt.Sprintf("server %s/%s is silent", name, member.Name))
		}
		if member.Repairing {
			findings = append(findings, fmt.Sprintf("server %s/%s has lost its disk and catches up", name, member.Name))
		}
	}
	return findings
}
