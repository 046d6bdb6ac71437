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
	// keepAliveIdle is the idle time after which TCP keep-alive checks whether
	// a caller is gone without having closed its connection.
	keepAliveIdle    = 30 * time.Second
	acceptRetryDelay = 10 * time.Millisecond
)

// acceptCallers accepts callers until ctx ends, and then drains them.
func (p *Proxy) acceptCallers(ctx context.Context) error {
	// Requests in flight may run on after ctx has ended: drainCallers cancels
	// them at the end of the drain time.
	requestCtx, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	stop := context.AfterFunc(ctx, func() { p.stopAccepting() })
	defer stop()
	for {
		conn, err := p.callerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			p.log.Error(err, "accepting a caller's connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		p.serveInBackground(requestCtx, conn)
	}
	return p.drainCallers(cancelRequests)
}

// stopAccepting makes the proxy report that it isn't ready, and closes the
// listener once the load balancer has had unreadyDelay to see the report.
func (p *Proxy) stopAccepting() {
	p.draining.Store(true)
	p.heartbeats.RequestUrgentCall()
	time.Sleep(unreadyDelay)
	_ = p.callerListener.Close()
}

// serveInBackground enables keep-alive and serves a connection in a goroutine of
// its own.
func (p *Proxy) serveInBackground(ctx context.Context, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle / 3, Count: 3})
	}
	p.sessions.Go(func() error {
		p.serve(ctx, conn)
		return nil
	})
}

// serve serves a connection until it ends, and closes it.
func (p *Proxy) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	startup, err := handshake.Accept(conn, p.tls, time.Now())
	if err != nil {
		if !eris.Is(err, handshake.ErrClosed) {
			p.log.V(1).Info("handshake failed", "address", conn.RemoteAddr().String(), "error", err.Error())
		}
		return
	}
	if startup.Cancel != nil {
		p.serveCancel(ctx, startup.Cancel)
		return
	}
	defer p.callerCount.Add(-1)
	if p.callerCount.Add(1) > int64(p.options.MaxCallers) {
		sendError(startup, outcome.Fatal(outcome.StateTooManyCallers, "too many callers"))
		return
	}
	if err := p.authenticate(startup); err != nil {
		p.log.V(1).Info("authentication failed", "user", startup.User, "address", conn.RemoteAddr().String())
		return
	}
	// The session reads from startup.Reader. Without this reference the memory of
	// the start-up's decoder can be freed.
	startup.Messages = nil
	session := caller.New(p.shared, startup)
	if err := session.Run(ctx, startup); err != nil {
		p.log.V(1).Info("session ended with an error", "error", err.Error())
	}
}

// sendError sends fatal to a caller whose session hasn't begun.
func sendError(startup *handshake.Startup, fatal *outcome.Error) {
	_, _ = startup.Conn.Write(fatal.Append(nil))
}

// drainCallers waits until all callers have disconnected. In the last part of the drain
// time, it cancels the requests and transactions that are still in flight, so that their
// callers are sent what is known of them, and at its end it closes the connections that
// are left.
func (p *Proxy) drainCallers(cancelRequests context.CancelFunc) error {
	p.shared.SetDraining(true)
	deadline := time.Now().Add(p.options.DrainTime)
	p.awaitCallers(deadline.Add(-min(answerTime, p.options.DrainTime/4)))
	cancelRequests()
	p.awaitCallers(deadline)
	if remaining := p.callerCount.Load(); remaining > 0 {
		p.log.Info("drain time is over; closing the remaining callers' connections", "callers", remaining)
		p.shared.Sessions.Each((*caller.Session).Abort)
	}
	return p.sessions.Wait()
}

// awaitCallers closes idle sessions until all callers have disconnected, or until a
// deadline.
func (p *Proxy) awaitCallers(deadline time.Time) {
	for p.callerCount.Load() > 0 && time.Now().Before(deadline) {
		p.shared.Sessions.Each((*caller.Session).Drain)
		time.Sleep(drainPollInterval)
	}
}

// authenticate authenticates the caller and removes the deadline that
// handshake.Accept has set on the connection.
func (p *Proxy) authenticate(startup *handshake.Startup) error {
	if err := p.passwords.Get().Authenticate(startup.Messages, startup.User); err != nil {
		return err
	}
	return startup.Conn.SetDeadline(time.Time{})
}
