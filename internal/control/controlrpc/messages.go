package controlrpc

import (
	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

func groupToProto(group coordinator.GroupView) *controlpb.Group {
	message := &controlpb.Group{
		Name:     string(group.Name),
		Term:     uint64(group.Term),
		Primary:  string(group.Primary),
		Revision: group.Revision,
	}
	for _, voter := range group.Voters {
		message.Voters = append(message.Voters, string(voter))
	}
	for _, member := range group.Members {
		message.Members = append(message.Members, memberToProto(member))
	}
	return message
}

func memberToProto(member coordinator.MemberView) *controlpb.Member {
	return &controlpb.Member{
		Server:      string(member.Name),
		Address:     member.Address.String(),
		DataCentre:  string(member.DataCentre),
		Slots:       uint32(member.Slots),
		Connections: uint32(member.Connections),
		Labels:      member.Labels,
		Leaving:     member.Leaving,
		Silent:      member.Silent,
	}
}

func peerToProto(heartbeat coordinator.Heartbeat) *controlpb.ProxyPeer {
	return &controlpb.ProxyPeer{
		Name:        string(heartbeat.Proxy),
		Address:     heartbeat.Address.String(),
		Incarnation: uint64(heartbeat.Incarnation),
		DataCentre:  string(heartbeat.DataCentre),
	}
}

func proxyToProto(proxy coordinator.ProxyStatus) *controlpb.ProxyStatus {
	message := &controlpb.ProxyStatus{
		Proxy:       peerToProto(proxy.Heartbeat),
		Version:     uint64(proxy.Version),
		LastHeardMs: uint32(proxy.SinceLastContact.Milliseconds()),
		Draining:    proxy.Draining,
	}
	for key, use := range proxy.Usage {
		message.Uses = append(message.Uses, &controlpb.GrantUse{
			Server: key.String(), Open: uint32(use.Open), Wanted: uint32(use.Demand),
		})
	}
	return message
}

func serverToProto(server coordinator.ServerStatus) *controlpb.ServerStatus {
	return &controlpb.ServerStatus{
		Group:       string(server.Group),
		Member:      memberToProto(server.MemberView),
		Role:        server.Status.Role.String(),
		Promised:    uint64(server.Status.Promised),
		Received:    positionToProto(server.Status.Received),
		Applied:     positionToProto(server.Status.Applied),
		LastHeardMs: uint32(server.SinceLastContact.Milliseconds()),
	}
}

func nodeToProto(member consensus.MemberInfo, leader consensus.LeaderInfo) *controlpb.NodeStatus {
	return &controlpb.NodeStatus{
		Name:        string(member.Name),
		Address:     member.Address.String(),
		Incarnation: uint64(member.Incarnation),
		Voter:       member.Voter,
		Leader:      member.Name == leader.Name,
		Matched:     member.MatchIndex,
		LastHeardMs: member.LastContactMS,
	}
}

func changeToProto(change state.Change) *controlpb.Change {
	return &controlpb.Change{
		Version:        uint64(change.Version),
		ChangeId:       change.ID,
		Author:         change.Author,
		AcceptedUnixMs: change.AcceptedUnixMS,
	}
}

func positionToProto(position cluster.LogPosition) *controlpb.Mark {
	return &controlpb.Mark{Term: uint64(position.Term), Position: uint64(position.Position)}
}

func positionFromProto(message *controlpb.Mark) cluster.LogPosition {
	return cluster.LogPosition{Term: cluster.Term(message.GetTerm()), Position: cluster.Position(message.GetPosition())}
}
