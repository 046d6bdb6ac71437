// Package protoconv converts backend servers and samples between their types and the
// RPC messages fleetpb.Server and fleetpb.Sample.
//
// # Usage
//
//	pb := protoconv.ServerToProto(server, now)
//	server, err := protoconv.ServerFromProto(pb, now)
package protoconv

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// ErrInvalidServer is returned for a message without a name, a group or a valid
// address.
var ErrInvalidServer = eris.New("the message doesn't describe a server")

// ServerToProto returns the message for a server. ColdUntil and DrainingSince are
// sent as durations relative to now, because the clocks of two VMs aren't
// comparable.
func ServerToProto(s registry.Server, now time.Time) *fleetpb.Server {
	pb := &fleetpb.Server{
		Name: string(s.Name), Group: string(s.Group), Address: s.Address.String(), DataCentre: string(s.DataCentre),
		Slots: uint32(s.Slots), Draining: s.Draining, Primary: s.Role == cluster.RolePrimary,
		BornUnixMs: s.StartedAt.UnixMilli(), Sequence: s.Sequence,
	}
	if remaining := s.ColdUntil.Sub(now); remaining > 0 {
		pb.ColdMs = uint32(remaining.Milliseconds())
	}
	if s.Draining && !s.DrainingSince.IsZero() {
		pb.DrainingForMs = uint32(now.Sub(s.DrainingSince).Milliseconds())
	}
	return pb
}

// ServerFromProto returns the server that a message describes. Durations in the
// message are relative to now. Errors: ErrInvalidServer.
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
	if remaining := pb.GetColdMs(); remaining > 0 {
		s.ColdUntil = now.Add(time.Duration(remaining) * time.Millisecond)
	}
	if s.Draining && pb.GetDrainingForMs() > 0 {
		s.DrainingSince = now.Add(-time.Duration(pb.GetDrainingForMs()) * time.Millisecond)
	}
	return s, nil
}

// SampleToProto returns the message for a sample of the given age. The age is rounded
// up, because a sample may be taken for older than it is, but not for newer.
func SampleToProto(s samples.Sample, age time.Duration) *fleetpb.Sample {
	return &fleetpb.Sample{
		Group: string(s.Group), Term: uint64(s.Term), LogTerm: uint64(s.Position.Term), LogPosition: uint64(s.Position.Position),
		AgeMs: uint32((age + time.Millisecond).Milliseconds()),
	}
}

// SampleFromProto returns the sample that a message describes, without TakenAt, and
// its age.
func SampleFromProto(pb *fleetpb.Sample) (samples.Sample, time.Duration) {
	return samples.Sample{
		Group: cluster.GroupName(pb.GetGroup()), Term: cluster.Term(pb.GetTerm()),
		Position: cluster.LogPosition{Term: cluster.Term(pb.GetLogTerm()), Position: cluster.Position(pb.GetLogPosition())},
	}, time.Duration(pb.GetAgeMs()) * time.Millisecond
}
