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

const forwardCancelTimeout = 2 * time.Second

// sessionsServer implements controlpb.Sessions, the RPC service for other proxies.
type sessionsServer struct {
	*session.PositionStore
	proxy *Proxy
}

// CancelRequest cancels the running request of a session that this proxy serves.
// It never returns an error; the response says whether the session was found.
func (s sessionsServer) CancelRequest(ctx context.Context, request *controlpb.CancelRequestRequest) (*controlpb.CancelRequestResponse, error) {
	found, err := s.proxy.shared.Sessions.Cancel(ctx, &pgproto3.CancelRequest{ProcessID: request.ProcessId, SecretKey: request.SecretKey})
	if err != nil {
		s.proxy.log.V(1).Info("cancel request failed", "error", err.Error())
	}
	return &controlpb.CancelRequestResponse{Found: found}, nil
}

// serveCancel serves a cancel request. If this proxy doesn't serve the session,
// because a load balancer has chosen another proxy for the cancel request than
// for the session, it forwards the request to each proxy that may serve the session
// according to the process ID in the request.
func (p *Proxy) serveCancel(ctx context.Context, request *pgproto3.CancelRequest) {
	found, err := p.shared.Sessions.Cancel(ctx, request)
	if err != nil {
		p.log.V(1).Info("cancel request failed", "error", err.Error())
	}
	if found {
		return
	}
	for _, peer := range p.view.Load().Peers {
		if peer.Name != cluster.ProxyName(p.options.Name) && caller.MayOwnKey(peer.Name, request.ProcessID) {
			p.forwardCancel(ctx, peer, request)
		}
	}
}

// forwardCancel forwards a cancel request to another proxy. A failure is only
// logged, since PostgreSQL's protocol has no answer to a cancel request.
func (p *Proxy) forwardCancel(ctx context.Context, peer clusterview.Peer, request *pgproto3.CancelRequest) {
	ctx, cancel := context.WithTimeout(ctx, forwardCancelTimeout)
	defer cancel()
	client := controlpb.NewSessionsProtobufClient(transport.URL(peer.Address), p.httpClient)
	_, err := client.CancelRequest(ctx, &controlpb.CancelRequestRequest{ProcessId: request.ProcessID, SecretKey: request.SecretKey})
	if err != nil {
		p.log.V(1).Info("forwarding the cancel request failed", "proxy", peer.Name, "error", err.Error())
	}
}

// applyOperatorDrain starts or ends a drain by an operator. During a drain idle
// callers are disconnected, and Ready returns false, so that a load balancer sends
// no new callers. A proxy that shuts down ignores an operator's drain.
func (p *Proxy) applyOperatorDrain(drain bool) {
	if p.draining.Load() {
		return
	}
	p.shared.SetDraining(drain)
	if drain {
		p.shared.Sessions.Each((*caller.Session).Drain)
	}
}
