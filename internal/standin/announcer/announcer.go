// Package announcer announces a stand-in backend server to the control nodes.
//
// # Usage
//
//	a := announcer.New(engine, announcer.Options{Control: addresses, Key: key, Server: "s1"}, logger)
//	err := a.Run(ctx)
//
// Run sends an announcement every 500 ms, and at once when the server's role
// changes or it starts or stops leaving.
package announcer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
)

const (
	announceInterval = 500 * time.Millisecond
	// callTimeout bounds an announcement, attemptTimeout the call of one
	// control node.
	callTimeout    = 400 * time.Millisecond
	attemptTimeout = 150 * time.Millisecond
)

type (
	// Options configure an announcer and describe the server.
	Options struct {
		// Control are the addresses of the control nodes, at least one.
		Control []netip.AddrPort
		// Key is the key that is sent with requests; empty: none.
		Key string
		// Credentials are used instead of Key if not nil.
		Credentials    *peerauth.Credentials
		Server         cluster.ServerName
		Group          cluster.GroupName
		Address        netip.AddrPort
		DataCentre     cluster.DataCentre
		Slots          int
		MaxConnections int
		Labels         cluster.Labels
		Incarnation    cluster.Incarnation
	}

	// Announcer announces one server.
	Announcer struct {
		engine  *engine.Engine
		options Options
		client  *leader.Client
		logger  logr.Logger
	}
)

// New returns an announcer for the engine.
func New(e *engine.Engine, options Options, logger logr.Logger) *Announcer {
	client := leader.New(options.Control, newHTTPClient(options))
	return &Announcer{engine: e, options: options, client: client, logger: logger}
}

func newHTTPClient(options Options) *http.Client {
	dial := transport.Options{DialTimeout: attemptTimeout}
	if options.Credentials != nil {
		return options.Credentials.Client(dial)
	}
	return transport.NewClient(options.Key, dial)
}

// Run announces the server until ctx ends. It logs failures and returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		state := a.engine.State()
		if err := a.announce(ctx, state); err != nil {
			a.logger.V(1).Info("announcement failed", "error", err.Error())
		}
		a.waitUntilDue(ctx, state)
	}
	return nil
}

func (a *Announcer) announce(ctx context.Context, state engine.State) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := a.newRequest(state)
	return a.client.Do(ctx, attemptTimeout, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Announce(ctx, request)
		return err
	})
}

func (a *Announcer) newRequest(state engine.State) *controlpb.AnnounceRequest {
	return &controlpb.AnnounceRequest{
		Server:      string(a.options.Server),
		Group:       string(a.options.Group),
		Address:     a.options.Address.String(),
		DataCentre:  string(a.options.DataCentre),
		Role:        state.Role.String(),
		Promised:    uint64(state.Promised),
		Received:    positionToProto(state.Received),
		Applied:     positionToProto(state.Applied),
		Leaving:     state.Leaving,
		Slots:       uint32(a.options.Slots),
		Connections: uint32(a.options.MaxConnections),
		Labels:      a.options.Labels,
		Incarnation: uint64(a.options.Incarnation),
	}
}

// waitUntilDue returns when the next announcement is due: after the interval, or
// when the role or Leaving differ from the announced state.
func (a *Announcer) waitUntilDue(ctx context.Context, announced engine.State) {
	timer := time.NewTimer(announceInterval)
	defer timer.Stop()
	for {
		changed := a.engine.StateChanged()
		now := a.engine.State()
		if now.Role != announced.Role || now.Leaving != announced.Leaving {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func positionToProto(position cluster.LogPosition) *controlpb.Mark {
	return &controlpb.Mark{Term: uint64(position.Term), Position: uint64(position.Position)}
}
