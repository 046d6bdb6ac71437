// Package message translates between the fleet's types and the messages that
// its processes send each other.
//
// # Usage
//
//	pb := message.FromServer(server, now)
//	server, err := message.ToServer(pb, now)
package protoconv

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// ErrInvalidServer tells that a message doesn't describe a server.
var ErrInvalidServer = eris.New("the message doesn't describe a server")

// ServerToProto returns the message for a server. Times become durations, since
// clocks of two VMs have nothing in common.
func ServerToProto(s registry.Server, now time.Time) *fleetpb.Server {
	pb := &fleetpb.Server{
		Name: string(s.Name), Group: string(s.Group), Address: s.Address.String(), DataCentre: string(s.DataCentre),
		Slots: uint32(s.Slots), Draining: s.Draining, Primary: s.Role == cluster.RolePrimary,
		BornUnixMs: s.StartedAt.UnixMilli(), Sequence: s.Sequence,
	}
	if cold := s.ColdUntil.Sub(now); cold > 0 {
		pb.ColdMs = uint32(cold.Milliseconds())
	}
	if s.Draining && !s.DrainingSince.IsZero() {
		pb.DrainingForMs = uint32(now.Sub(s.DrainingSince).Milliseconds())
	}
	return pb
}

// ServerFromProto returns the server that a message describes. Errors: ErrServer.
func ServerFromProto(pb *fleetpb.Server, now time.Time) (registry.Server, error) {
	address, err := netip.ParseAddrPort(pb.GetAddress())
	if err != nil || pb.GetName() == "" || pb.GetGroup() == "" {
		return registry.Server{}, eris.Wrapf(ErrInvalidServer, "name %q, group %q, address %q", pb.GetName(), pb.GetGroup(), pb.GetAddress())
	}
	s := registry.Server{
		Name: cluster.ServerName(pb.GetName()), Group: cluster.GroupName(pb.GetGroup()), Address: address,
		DataCentre: cluster.DataCentre(pb.GetDataCentre()), Slots: int(pb.GetSlots()), Draining: pb.GetDraining(),
		Role: cluster.RoleReplica, StartedAt: time.UnixMilli(pb.GetBornUnixMs()), Sequence: pb.GetSequence(),
	}
	if pb.GetPrimary() {
		s.Role = cluster.RolePrimary
	}
	if cold := pb.GetColdMs(); cold > 0 {
		s.ColdUntil = now.Add(time.Duration(cold) * time.Millisecond)
	}
	if s.Draining && pb.GetDrainingForMs() > 0 {
		s.DrainingSince = now.Add(-time.Duration(pb.GetDrainingForMs()) * time.Millisecond)
	}
	return s, nil
}
