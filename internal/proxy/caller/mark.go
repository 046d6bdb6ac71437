package caller

import (
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
)

// prefer takes one of the proxy's own settings.
func (s *Session) prefer(into *preferences, setting classify.Setting) *outcome.Error {
	return into.set(setting)
}

// mark returns the caller's mark in the job's group and whether it covers all
// of the caller's writes.
func (s *Session) mark(*job) (cluster.Mark, bool) {
	return cluster.Mark{}, false
}

// acknowledge follows a confirmed answer.
func (s *Session) acknowledge(*upstream.Group, preferences, execute.Result, int) {}
