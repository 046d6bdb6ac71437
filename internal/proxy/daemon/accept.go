package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/caller"
	"github.com/burdockwood/burdockwood/internal/proxy/handshake"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
)

const (
	// keepAlive finds callers that are gone without a word.
	keepAlive   = 30 * time.Second
	acceptPause = 10 * time.Millisecond
)

// accept takes callers in until ctx ends, and then drains them.
func (p *Proxy) accept(ctx context.Context) error {
	// Requests in flight outlive ctx: they end by the drain.
	requests, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stop := context.AfterFunc(ctx, func() { p.stopAccepting() })
	defer stop()
	for {
		conn, err := p.callers.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			p.log.Error(err, "accept")
			time.Sleep(acceptPause)
			continue
		}
		p.take(requests, conn)
	}
	return p.drain(abort)
}

// stopAccepting turns the proxy unready, and closes the listener once the
// balancer has had time to learn of it.
func (p *Proxy) stopAccepting() {
	p.draining.Store(true)
	p.beat.RequestUrgentCall()
	time.Sleep(unreadyTime)
	_ = p.callers.Close()
}

// take serves one connection in a goroutine of its own.
func (p *Proxy) take(ctx context.Context, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive / 3, Count: 3})
	}
	p.sessions.Go(func() error {
		p.serve(ctx, conn)
		return nil
	})
}

// serve serves one connection to its end.
func (p *Proxy) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	startup, err := handshake.Accept(conn, p.tls, time.Now())
	if err != nil {
		if !eris.Is(err, handshake.ErrClosed) {
			p.log.V(1).Info("start-up refused", "address", conn.RemoteAddr().String(), "error", err.Error())
		}
		return
	}
	if startup.Cancel != nil {
		p.cancel(ctx, startup.Cancel)
		return
	}
	defer p.connected.Add(-1)
	if p.connected.Add(1) > int64(p.options.MaxCallers) {
		refuse(startup, outcome.Fatal(outcome.StateTooManyCallers, "too many callers"))
		return
	}
	if err := p.authenticate(startup); err != nil {
		p.log.V(1).Info("authentication failed", "user", startup.User, "address", conn.RemoteAddr().String())
		return
	}
	startup.Messages = nil
	session := caller.New(p.shared, startup)
	if err := session.Run(ctx, startup); err != nil {
		p.log.V(1).Info("session ended", "error", err.Error())
	}
}

func refuse(startup *handshake.Startup, fatal *outcome.Error) {
	_, _ = startup.Conn.Write(fatal.Append(nil))
}

// drain waits until all callers have left; those whose requests or
// transactions outlast the drain time are cut off.
func (p *Proxy) drain(abort context.CancelFunc) error {
	p.shared.SetDraining(true)
	deadline := time.Now().Add(p.options.DrainTime)
	for p.connected.Load() > 0 && time.Now().Before(deadline) {
		p.shared.Sessions.Each((*caller.Session).Drain)
		time.Sleep(drainPoll)
	}
	abort()
	if left := p.connected.Load(); left > 0 {
		p.log.Info("callers are cut off at the end of the drain time", "callers", left)
		p.shared.Sessions.Each((*caller.Session).Abort)
	}
	return p.sessions.Wait()
}

// authenticate checks the caller.
func (p *Proxy) authenticate(startup *handshake.Startup) error {
	if err := p.passwords.Get().Authenticate(startup.Messages, startup.User); err != nil {
		return err
	}
	return startup.Conn.SetDeadline(time.Time{})
}
