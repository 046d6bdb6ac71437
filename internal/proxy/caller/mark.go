package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
)

// identitySeparator can't be part of a user's name in a start-up packet.
const identitySeparator = "\x00"

// prefer takes one of the proxy's own settings.
func (s *Session) prefer(into *preferences, setting classify.Setting) *outcome.Error {
	if setting.Name != settingMark {
		return into.set(setting)
	}
	if setting.Value == "" {
		into.carriesMark = false
		into.given = nil
		return nil
	}
	marks, err := session.VerifyToken(setting.Value, s.shared.Snapshot().Keys)
	if eris.Is(err, session.ErrMalformed) {
		return badValue(setting, "the value of the parameter burdockwood.mark, unchanged")
	}
	into.carriesMark = true
	into.verified = err == nil
	into.given = marks
	return nil
}

// mark returns the caller's mark in the job's group and whether it covers all
// of the caller's writes. It may lower the age that the job accepts.
func (s *Session) mark(ctx context.Context, j *job) (cluster.Mark, bool) {
	mark := s.marks[j.group.Name]
	if j.prefs.carriesMark {
		if given := j.prefs.given[j.group.Name]; mark.Compare(given) < 0 {
			mark = given
		}
		return mark, j.prefs.verified
	}
	if !j.fetched {
		j.known = s.shared.Marks.Fetch(ctx, s.identity(&j.prefs), j.group.Name)
		j.fetched = true
	}
	if mark.Compare(j.known.Mark) < 0 {
		mark = j.known.Mark
	}
	// Writes before known.Since may have left no mark, so data must be newer.
	vouched := min(time.Since(j.known.CompleteSince), session.MaxReplicaAge)
	j.prefs.maxAge = min(j.prefs.maxAge, vouched)
	return mark, j.known.Complete && j.prefs.maxAge > 0
}

// identity names the session of a caller that carries no mark.
func (s *Session) identity(prefs *preferences) string {
	if prefs.session != "" {
		return s.who.User + identitySeparator + identitySeparator + prefs.session
	}
	return s.who.User + identitySeparator + s.who.Application
}

// remember makes a confirmed write part of the session before it is
// acknowledged, and tells the caller its new mark.
func (s *Session) remember(ctx context.Context, group *upstream.Group, prefs *preferences, result execute.Result, from int) *outcome.Error {
	if result.Mark.IsZero() {
		return nil
	}
	if s.marks == nil {
		s.marks = session.Marks{}
	}
	s.marks.Merge(group.Name, result.Mark)
	for name, mark := range prefs.given {
		s.marks.Merge(name, mark)
	}
	if err := s.shared.Marks.Store(ctx, s.identity(prefs), group.Name, result.Mark); err != nil {
		return outcome.Unknown("the write is confirmed, but its session mark is not stored: " + err.Error())
	}
	sealed := session.EncodeToken(s.marks, s.shared.Snapshot().Keys)
	if sealed == "" {
		return nil
	}
	status := outcome.Append(nil, &pgproto3.ParameterStatus{Name: settingMark, Value: sealed})
	s.appendFront(from, status)
	return nil
}
