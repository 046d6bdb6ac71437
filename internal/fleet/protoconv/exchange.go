package protoconv

import (
	"math"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// demandUnits is the number of units of fleetpb.Holding.Demand in one operation a second.
const demandUnits = 100

// ExchangeToProto returns the message for an exchange.
func ExchangeToProto(r allowance.Request) *fleetpb.ExchangeRequest {
	pb := &fleetpb.ExchangeRequest{
		Proxy: string(r.Proxy), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence, Epoch: r.Epoch,
		Holdings: make([]*fleetpb.Holding, len(r.Holdings)), Full: r.Full, UptimeMs: uint32(r.Uptime.Milliseconds()),
	}
	for i, h := range r.Holdings {
		pb.Holdings[i] = &fleetpb.Holding{
			Customer: string(h.Customer), Held: uint32(h.Held), Offered: uint32(h.Offered), Spent: h.Spent,
			Waiting: uint32(h.Waiting), Missed: uint32(h.Missed), Demand: uint32(math.Ceil(h.Demand * demandUnits)),
			Returned: uint32(h.Returned), Generation: h.Generation, Recent: h.Recent,
		}
	}
	return pb
}

// ExchangeFromProto is the inverse of ExchangeToProto.
func ExchangeFromProto(pb *fleetpb.ExchangeRequest) allowance.Request {
	r := allowance.Request{
		Proxy: cluster.ProxyName(pb.GetProxy()), Incarnation: cluster.Incarnation(pb.GetIncarnation()),
		Sequence: pb.GetSequence(), Epoch: pb.GetEpoch(), Holdings: make([]allowance.Holding, len(pb.GetHoldings())),
		Full: pb.GetFull(), Uptime: time.Duration(pb.GetUptimeMs()) * time.Millisecond,
	}
	for i, h := range pb.GetHoldings() {
		r.Holdings[i] = allowance.Holding{
			Customer: customer.Name(h.GetCustomer()), Held: int(h.GetHeld()), Offered: int(h.GetOffered()), Spent: h.GetSpent(),
			Waiting: int(h.GetWaiting()), Missed: int(h.GetMissed()), Demand: float64(h.GetDemand()) / demandUnits,
			Returned: int(h.GetReturned()), Generation: h.GetGeneration(), Recent: h.GetRecent(),
		}
	}
	return r
}

// AllotmentsToProto returns the message for the allotments of an exchange. Times are
// rounded up.
func AllotmentsToProto(list []allowance.Allotment) []*fleetpb.Allotment {
	pb := make([]*fleetpb.Allotment, len(list))
	for i, a := range list {
		pb[i] = &fleetpb.Allotment{
			Held: uint32(a.Held), Target: uint32(a.Target), Generation: a.Generation, Uncertain: a.Uncertain,
			RetryAfterMs: uint32((a.RetryAfter + time.Millisecond - 1) / time.Millisecond),
		}
	}
	return pb
}

// AllotmentsFromProto is the inverse of AllotmentsToProto.
func AllotmentsFromProto(pb []*fleetpb.Allotment) []allowance.Allotment {
	list := make([]allowance.Allotment, len(pb))
	for i, a := range pb {
		list[i] = allowance.Allotment{
			Held: int(a.GetHeld()), Target: int(a.GetTarget()), Generation: a.GetGeneration(), Uncertain: a.GetUncertain(),
			RetryAfter: time.Duration(a.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	return list
}
