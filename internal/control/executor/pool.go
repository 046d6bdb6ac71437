package executor

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// maxIdlePerServer is the maximum number of idle connections to each server.
const maxIdlePerServer = 2

type (
	// Dial opens a connection to a backend server for PLATFORM statements, by
	// which control queries the server's status and changes its term and role;
	// see package adapter.
	Dial func(ctx context.Context, address netip.AddrPort) (adapter.Server, error)

	// pool holds idle connections for PLATFORM statements to backend servers.
	pool struct {
		dial Dial

		mu   sync.Mutex
		idle map[netip.AddrPort][]adapter.Server
	}
)

func newPool(dial Dial) *pool {
	return &pool{dial: dial, idle: map[netip.AddrPort][]adapter.Server{}}
}

// withServer calls fn with a connection to the server. If a pooled connection
// turns out to be lost, withServer calls fn once more with a new one: every
// PLATFORM statement may be repeated.
func (p *pool) withServer(ctx context.Context, address netip.AddrPort, fn func(adapter.Server) error) error {
	if pooled, ok := p.get(address); ok {
		err := p.call(address, pooled, fn)
		if !errors.Is(err, adapter.ErrUnreachable) || ctx.Err() != nil {
			return err
		}
	}
	dialled, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return p.call(address, dialled, fn)
}

func (p *pool) call(address netip.AddrPort, server adapter.Server, fn func(adapter.Server) error) error {
	err := fn(server)
	if errors.Is(err, adapter.ErrUnreachable) {
		return errors.Join(err, server.Close())
	}
	p.put(address, server)
	return err
}

func (p *pool) get(address netip.AddrPort) (adapter.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil, false
	}
	server := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return server, true
}

func (p *pool) put(address netip.AddrPort, server adapter.Server) {
	p.mu.Lock()
	full := len(p.idle[address]) >= maxIdlePerServer
	if !full {
		p.idle[address] = append(p.idle[address], server)
	}
	p.mu.Unlock()
	if full {
		_ = server.Close()
	}
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, server := range idle {
			_ = server.Close()
		}
	}
	p.idle = map[netip.AddrPort][]adapter.Server{}
}
