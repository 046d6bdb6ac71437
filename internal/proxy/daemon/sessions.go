package daemon

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/caller"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const forwardTimeout = 2 * time.Second

// sessions answers the other proxies.
type sessions struct {
	*session.MarkStore
	proxy *Proxy
}

// CancelRequest cancels a request of a session that this proxy serves.
func (s sessions) CancelRequest(ctx context.Context, request *controlpb.CancelRequestRequest) (*controlpb.CancelRequestResponse, error) {
	found, err := s.proxy.shared.Sessions.Cancel(ctx, &pgproto3.CancelRequest{ProcessID: request.ProcessId, SecretKey: request.SecretKey})
	if err != nil {
		s.proxy.log.V(1).Info("cancel failed", "error", err.Error())
	}
	return &controlpb.CancelRequestResponse{Found: found}, nil
}

// cancel serves a cancel request. A balancer may have sent it to another proxy
// than the one that serves the session; it is passed on then.
func (p *Proxy) cancel(ctx context.Context, request *pgproto3.CancelRequest) {
	found, err := p.shared.Sessions.Cancel(ctx, request)
	if err != nil {
		p.log.V(1).Info("cancel failed", "error", err.Error())
	}
	if found {
		return
	}
	for _, peer := range p.store.Load().Peers {
		if peer.Name != cluster.ProxyName(p.options.Name) && caller.MayOwnKey(peer.Name, request.ProcessID) {
			p.passOn(ctx, peer, request)
		}
	}
}

// passOn hands a cancel request to another proxy.
func (p *Proxy) passOn(ctx context.Context, peer clusterview.Peer, request *pgproto3.CancelRequest) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := controlpb.NewSessionsProtobufClient(transport.URL(peer.Address), p.client)
	_, err := client.CancelRequest(ctx, &controlpb.CancelRequestRequest{ProcessId: request.ProcessID, SecretKey: request.SecretKey})
	if err != nil {
		p.log.V(1).Info("cancel not passed on", "proxy", peer.Name, "error", err.Error())
	}
}

// drainCallers follows an operator's drain: idle callers are sent away, and
// the balancer sends no new ones, until it is undone.
func (p *Proxy) drainCallers(drain bool) {
	if p.draining.Load() {
		return
	}
	p.shared.SetDraining(drain)
	if drain {
		p.shared.Sessions.Each((*caller.Session).Drain)
	}
}
