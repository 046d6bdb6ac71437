// Package announcer tells control about a stand-in backend server.
//
// # Usage
//
//	a := announcer.New(engine, announcer.Options{Control: addresses, Key: key, Server: "s1"}, logger)
//	err := a.Run(ctx)
//
// It announces at an interval, and at once when the server's role or its wish
// to leave changes.
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
	interval    = 500 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	tryTimeout  = 150 * time.Millisecond
)

type (
	// Options describe the server.
	Options struct {
		Control []netip.AddrPort
		Key     string
		// Credentials takes the place of Key, if set.
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
	client := leader.New(options.Control, httpClient(options))
	return &Announcer{engine: e, options: options, client: client, logger: logger}
}

func httpClient(options Options) *http.Client {
	dial := transport.Options{DialTimeout: tryTimeout}
	if options.Credentials != nil {
		return options.Credentials.Client(dial)
	}
	return transport.NewClient(options.Key, dial)
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		state := a.engine.State()
		if err := a.announce(ctx, state); err != nil {
			a.logger.V(1).Info("announcement failed", "error", err.Error())
		}
		a.await(ctx, state)
	}
	return nil
}

func (a *Announcer) announce(ctx context.Context, state engine.State) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := a.request(state)
	return a.client.Do(ctx, tryTimeout, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Announce(ctx, request)
		return err
	})
}

func (a *Announcer) request(state engine.State) *controlpb.AnnounceRequest {
	return &controlpb.AnnounceRequest{
		Server:      string(a.options.Server),
		Group:       string(a.options.Group),
		Address:     a.options.Address.String(),
		DataCentre:  string(a.options.DataCentre),
		Role:        state.Role.String(),
		Promised:    uint64(state.Promised),
		Received:    mark(state.Received),
		Applied:     mark(state.Applied),
		Leaving:     state.Leaving,
		Slots:       uint32(a.options.Slots),
		Connections: uint32(a.options.MaxConnections),
		Labels:      a.options.Labels,
		Incarnation: uint64(a.options.Incarnation),
	}
}

// await returns when the next announcement is due.
func (a *Announcer) await(ctx context.Context, announced engine.State) {
	timer := time.NewTimer(interval)
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

func mark(m cluster.Mark) *controlpb.Mark {
	return &controlpb.Mark{Term: uint64(m.Term), Position: uint64(m.Position)}
}
