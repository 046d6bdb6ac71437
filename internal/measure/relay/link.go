package relay

import (
	"context"
	"net"
	"time"
)

func (l *link) name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.class
}

// set changes the link's mode. A link that was cut, also one way, or refused ends.
func (l *link) set(mode Mode) {
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

// silence holds bytes for good.
func (l *link) silence(mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = mode
	l.changed.Notify()
}

// await returns once the link is open in a direction.
func (l *link) await(ctx context.Context, d direction) error {
	for {
		changed := l.changed.Next()
		l.mu.Lock()
		mode := max(l.mode, l.silent)
		l.mu.Unlock()
		if mode == Open || mode == OneWay && d == forth {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

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

func (l *link) closeLocked() {
	reset(l.caller)
	if l.target != nil {
		reset(l.target)
	}
}

// read takes bytes from one side; its channel bounds what is held.
func (l *link) read(ctx context.Context, from net.Conn, to chan<- chunk) error {
	defer close(to)
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case to <- chunk{data: data[:n], due: time.Now().Add(l.relay.delay())}:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err != nil {
			return nil
		}
	}
}

// write delivers bytes when they are due and the link is open. It ends the
// link after the last byte.
func (l *link) write(ctx context.Context, to net.Conn, from <-chan chunk, d direction) error {
	for c := range from {
		if err := sleepUntil(ctx, c.due); err != nil {
			return err
		}
		if err := l.await(ctx, d); err != nil {
			return err
		}
		if _, err := to.Write(c.data); err != nil {
			return err
		}
		l.relay.bytes.Add(int64(len(c.data)))
	}
	if err := l.await(ctx, d); err != nil {
		return err
	}
	to.Close()
	return net.ErrClosed
}

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

// reset closes without sending what is left.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
