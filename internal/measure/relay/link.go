package relay

import (
	"context"
	"net"
	"time"
)

// className returns the name of the link's class.
func (l *link) className() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.class
}

// setMode changes the link's mode. It closes the link if the new mode is
// Refusing or if the link was cut, also one way.
func (l *link) setMode(mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mode == l.mode {
		return
	}
	if mode == Refusing || l.mode == Cut || l.mode == OneWay {
		l.closeLocked()
	}
	l.mode = mode
	l.changed.Notify()
}

// blackhole makes the link hold bytes for good.
func (l *link) blackhole(mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = mode
	l.changed.Notify()
}

// awaitOpen waits until the link forwards bytes in the direction d.
func (l *link) awaitOpen(ctx context.Context, d direction) error {
	for {
		changed := l.changed.Next()
		l.mu.Lock()
		mode := max(l.mode, l.blackholed)
		l.mu.Unlock()
		if mode == Open || mode == OneWay && d == toTarget {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// dial connects the link to the relay's target.
func (l *link) dial(ctx context.Context) error {
	l.relay.mu.Lock()
	address := l.relay.options.Target
	l.relay.mu.Unlock()
	dialer := &net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	return nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

// closeLocked resets both ends of the link; mu is held.
func (l *link) closeLocked() {
	reset(l.caller)
	if l.target != nil {
		reset(l.target)
	}
}

// readChunks reads bytes from one side and sends them to chunks, whose capacity
// bounds the bytes that the link holds.
func (l *link) readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk) error {
	defer close(chunks)
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case chunks <- chunk{data: data[:n], due: time.Now().Add(l.relay.delay())}:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err != nil {
			return nil
		}
	}
}

// writeChunks writes each chunk once it is due and the link forwards bytes in
// the direction d. After the last chunk it closes the connection and returns
// net.ErrClosed, which ends the link.
func (l *link) writeChunks(ctx context.Context, to net.Conn, chunks <-chan chunk, d direction) error {
	for c := range chunks {
		if err := sleepUntil(ctx, c.due); err != nil {
			return err
		}
		if err := l.awaitOpen(ctx, d); err != nil {
			return err
		}
		// Counted before the write, so that the count covers every byte that
		// the other side has received.
		l.relay.bytes.Add(int64(len(c.data)))
		if n, err := to.Write(c.data); err != nil {
			l.relay.bytes.Add(int64(n - len(c.data)))
			return err
		}
	}
	if err := l.awaitOpen(ctx, d); err != nil {
		return err
	}
	to.Close()
	return net.ErrClosed
}

// sleepUntil waits until due or until ctx is done, and returns ctx's error then.
func sleepUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// reset closes a connection without sending the bytes that are left.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
