// Package logging creates the logger of a process. It writes structured lines, its
// level can be changed while the process runs, and it limits how often the same
// message is written.
//
// # Usage
//
//	level := logging.NewLevel("info")
//	logger := logging.New(os.Stderr, logging.FormatJSON, level)
//	logger.Info("listening", "address", address)
//	level.Set("debug")
//
// Lines must contain no caller data and no secrets. Lines of logger.V(1) and above
// have the level "debug". Of the lines with the same message, at most 20 are written
// within 10 seconds and the others are dropped. The first line after the 10 seconds
// reports the number of dropped lines under the key "dropped-lines".
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
	// FormatJSON writes one JSON object per line.
	FormatJSON Format = "json"
	// FormatText writes key=value pairs.
	FormatText Format = "text"

	// LevelDebug, LevelInfo and LevelError are the names of the levels.
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelError = "error"

	defaultLimitLines  = 20
	defaultLimitWindow = 10 * time.Second
	// maxTrackedMessages limits the memory for counts of lines. When it is
	// reached, all counts are reset.
	maxTrackedMessages = 512
	droppedKey         = "dropped-lines"
)

// ErrInvalidLevel is returned for a text that isn't the name of a level.
var ErrInvalidLevel = eris.New("a level is debug, info or error")

type (
	// Format is the format of the lines.
	Format string

	// Level is the minimum level of the lines that are written. It may be
	// changed at any time, also concurrently.
	Level struct {
		level slog.LevelVar
	}

	// rateLimitHandler drops lines whose message exceeds the rate limit and
	// passes the others to next.
	rateLimitHandler struct {
		next    slog.Handler
		counter *messageCounter
	}

	// RateLimit is the maximum number of lines with the same message that are
	// written within a window. Further lines are dropped and counted.
	RateLimit struct {
		Lines  int
		Window time.Duration
	}

	// messageCounter counts lines by message, independent of their level and
	// keys.
	messageCounter struct {
		mu      sync.Mutex
		limit   RateLimit
		windows map[string]*window
	}

	// window counts the lines of one message since start.
	window struct {
		start   time.Time
		written int
		dropped int
	}
)

// NewLevel returns the level with the name, or "info" if the name is unknown.
func NewLevel(name string) *Level {
	var l Level
	if l.Set(name) != nil {
		l.level.Set(slog.LevelInfo)
	}
	return &l
}

// Set changes the level. It returns ErrInvalidLevel for an unknown name.
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

// New returns a logger that writes to w, with the default rate limit: 20 lines with
// the same message within 10 seconds.
func New(w io.Writer, format Format, level *Level) logr.Logger {
	return NewRateLimited(w, format, level, RateLimit{Lines: defaultLimitLines, Window: defaultLimitWindow})
}

// NewRateLimited returns a logger that writes to w, with the given rate limit.
func NewRateLimited(w io.Writer, format Format, level *Level, limit RateLimit) logr.Logger {
	options := &slog.HandlerOptions{Level: &level.level, ReplaceAttr: replaceLevel}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if format == FormatText {
		handler = slog.NewTextHandler(w, options)
	}
	counter := &messageCounter{limit: limit, windows: make(map[string]*window)}
	return logr.FromSlogHandler(&rateLimitHandler{next: handler, counter: counter})
}

// Enabled reports whether lines with the level are written.
func (l *rateLimitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle writes a line unless it exceeds the rate limit.
func (l *rateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
	dropped, write := l.counter.count(record.Message, record.Time)
	if !write {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int(droppedKey, dropped))
	}
	return l.next.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes.
func (l *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{next: l.next.WithAttrs(attrs), counter: l.counter}
}

// WithGroup returns a handler that puts later attributes into a group.
func (l *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{next: l.next.WithGroup(name), counter: l.counter}
}

// count counts a line and reports whether to write it. dropped is the number of lines
// with the same message that were dropped in the previous window, if this line is the
// first of a new one.
func (r *messageCounter) count(message string, now time.Time) (dropped int, write bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windows[message]
	if w == nil {
		if len(r.windows) >= maxTrackedMessages {
			clear(r.windows)
		}
		w = &window{start: now}
		r.windows[message] = w
	}
	if now.Sub(w.start) >= r.limit.Window {
		dropped = w.dropped
		*w = window{start: now}
	}
	if w.written >= r.limit.Lines {
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

// ErrorText returns the text of err, or "" if err is nil. It serves messages that are
// logged on success and on failure alike.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
