// Package logging makes the logger of a process: structured lines, a level
// that can be changed while the process runs, and a limit on lines that a
// flood repeats.
//
// # Usage
//
//	level := logging.NewLevel("info")
//	logger := logging.New(os.Stderr, logging.FormatJSON, level)
//	logger.Info("listening", "address", address)
//	level.Set("debug")
//
// Lines carry no caller data and no secrets. logger.V(1) and above are lines
// of the level "debug". A message that is written more than 20 times in 10
// seconds is dropped until the 10 seconds are over; the next one tells under
// the key "dropped-lines" how many were.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

const (
	// FormatJSON writes one JSON object a line.
	FormatJSON Format = "json"
	// FormatText writes key=value pairs.
	FormatText Format = "text"

	// LevelDebug, LevelInfo and LevelError are the names of the levels.
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelError = "error"

	repeatLimit  = 20
	repeatWindow = 10 * time.Second
	maxMessages  = 512
	droppedKey   = "dropped-lines"
)

// ErrInvalidLevel tells that a text is not a level.
var ErrInvalidLevel = eris.New("a level is debug, info or error")

type (
	// Format is the form of the lines.
	Format string

	// Level is the least level that is written. It may be changed at any
	// time.
	Level struct {
		level slog.LevelVar
	}

	// limiter drops repeated lines.
	limiter struct {
		next    slog.Handler
		repeats *repeats
	}

	// RateLimit is how many lines of one message are written in a window; those
	// beyond are counted.
	RateLimit struct {
		Lines  int
		Window time.Duration
	}

	// repeats counts lines by message.
	repeats struct {
		mu       sync.Mutex
		bound    RateLimit
		messages map[string]*window
	}

	window struct {
		start   time.Time
		written int
		dropped int
	}
)

// NewLevel returns a level; an unknown name is "info".
func NewLevel(name string) *Level {
	var l Level
	if l.Set(name) != nil {
		l.level.Set(slog.LevelInfo)
	}
	return &l
}

// Set changes the level.
func (l *Level) Set(name string) error {
	switch name {
	case LevelDebug:
		l.level.Set(slog.LevelDebug)
	case LevelInfo:
		l.level.Set(slog.LevelInfo)
	case LevelError:
		l.level.Set(slog.LevelError)
	default:
		return eris.Wrapf(ErrInvalidLevel, "%q", name)
	}
	return nil
}

// String returns the level's name.
func (l *Level) String() string { return levelName(l.level.Level()) }

// New returns a logger that writes to w, with the bound of the package comment.
func New(w io.Writer, format Format, level *Level) logr.Logger {
	return NewRateLimited(w, format, level, RateLimit{Lines: repeatLimit, Window: repeatWindow})
}

// NewRateLimited returns a logger with another bound.
func NewRateLimited(w io.Writer, format Format, level *Level, bound RateLimit) logr.Logger {
	options := &slog.HandlerOptions{Level: &level.level, ReplaceAttr: replaceLevel}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if format == FormatText {
		handler = slog.NewTextHandler(w, options)
	}
	counted := &repeats{bound: bound, messages: make(map[string]*window)}
	return logr.FromSlogHandler(&limiter{next: handler, repeats: counted})
}

// Enabled reports whether lines of the level are written.
func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle writes a line unless it is one of too many.
func (l *limiter) Handle(ctx context.Context, record slog.Record) error {
	dropped, write := l.repeats.count(record.Message, record.Time)
	if !write {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int(droppedKey, dropped))
	}
	return l.next.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{next: l.next.WithAttrs(attrs), repeats: l.repeats}
}

// WithGroup returns a handler that puts later attributes into a group.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{next: l.next.WithGroup(name), repeats: l.repeats}
}

// count returns how many lines were dropped before this one and whether to
// write it.
func (r *repeats) count(message string, now time.Time) (dropped int, write bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.messages[message]
	if w == nil {
		if len(r.messages) >= maxMessages {
			clear(r.messages)
		}
		w = &window{start: now}
		r.messages[message] = w
	}
	if now.Sub(w.start) >= r.bound.Window {
		dropped = w.dropped
		*w = window{start: now}
	}
	if w.written >= r.bound.Lines {
		w.dropped++
		return 0, false
	}
	w.written++
	return dropped, true
}

func replaceLevel(groups []string, attr slog.Attr) slog.Attr {
	level, ok := attr.Value.Any().(slog.Level)
	if ok && len(groups) == 0 && attr.Key == slog.LevelKey {
		attr.Value = slog.StringValue(levelName(level))
	}
	return attr
}

func levelName(level slog.Level) string {
	switch {
	case level < slog.LevelInfo:
		return LevelDebug
	case level < slog.LevelError:
		return LevelInfo
	default:
		return LevelError
	}
}

// ErrorText returns the text of an error for a line that is also written without
// one; empty: there was none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
