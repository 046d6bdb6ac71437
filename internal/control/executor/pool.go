package executor

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// maxIdle is the number of idle connections kept for each server.
const maxIdle = 2

type (
	// Dial opens a connection to a server's platform interface.
	Dial func(ctx context.Context, address netip.AddrPort) (adapter.Server, error)

	// pool keeps idle connections to the platform interfaces of servers.
	pool struct {
		dial Dial

		mu   sync.Mutex
		idle map[netip.AddrPort][]adapter.Server
	}
)

func newPool(dial Dial) *pool {
	return &pool{dial: dial, idle: map[netip.AddrPort][]adapter.Server{}}
}

// use calls fn with a connection to the server. A kept connection that turns
// out to be lost is replaced by a new one, once: every statement of the
// interface may be repeated.
func (p *pool) use(ctx context.Context, address netip.AddrPort, fn func(adapter.Server) error) error {
	if kept, ok := p.take(address); ok {
		err := p.call(address, kept, fn)
		if !errors.Is(err, adapter.ErrUnreachable) || ctx.Err() != nil {
			return err
		}
	}
	fresh, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return p.call(address, fresh, fn)
}

func (p *pool) call(address netip.AddrPort, server adapter.Server, fn func(adapter.Server) error) error {
	err := fn(server)
	if errors.Is(err, adapter.ErrUnreachable) {
		return errors.Join(err, server.Close())
	}
	p.give(address, server)
	return err
}

func (p *pool) take(address netip.AddrPort) (adapter.Server, bool) {
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

func (p *pool) give(address netip.AddrPort, server adapter.Server) {
	p.mu.Lock()
	full := len(p.idle[address]) >= maxIdle
	if !full {
		p.idle[address] = append(p.idle[address], server)
	}
	p.mu.Unlock()
	if full {
		_ = server.Close()
	}
}

// close ends all idle connections.
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
