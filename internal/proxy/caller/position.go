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

// identitySeparator can't occur in a user name, since strings in a start-up
// packet are zero-terminated.
const identitySeparator = "\x00"

// setPreference applies a proxy setting to prefs. The setting burdockwood.mark
// (settingMark) holds the session's token; callers know the token as the mark.
func (s *Session) setPreference(prefs *preferences, setting classify.Setting) *outcome.Error {
	if setting.Name != settingMark {
		return prefs.set(setting)
	}
	if setting.Value == "" {
		prefs.hasToken = false
		prefs.tokenPositions = nil
		return nil
	}
	// s.shared is common to all sessions of the proxy. Its Snapshot returns
	// the state of the system as the control nodes last sent it.
	positions, err := session.VerifyToken(setting.Value, s.shared.Snapshot().TokenKeys)
	if eris.Is(err, session.ErrMalformed) {
		return invalidValue(setting, "the value of the parameter burdockwood.mark, unchanged")
	}
	prefs.hasToken = true
	prefs.tokenVerified = err == nil
	prefs.tokenPositions = positions
	return nil
}

// requiredPosition returns the log position that the session must see in the group
// of the job (a request outside a transaction), and whether it covers all of the
// caller's writes. It may lower the maximum age that the job accepts.
func (s *Session) requiredPosition(ctx context.Context, j *job) (cluster.LogPosition, bool) {
	position := s.positions[j.group.Name]
	if j.prefs.hasToken {
		if tokenPosition := j.prefs.tokenPositions[j.group.Name]; position.Compare(tokenPosition) < 0 {
			position = tokenPosition
		}
		return position, j.prefs.tokenVerified
	}
	if !j.fetched {
		j.stored = s.shared.Positions.Fetch(ctx, s.identity(&j.prefs), j.group.Name)
		j.fetched = true
	}
	if position.Compare(j.stored.Position) < 0 {
		position = j.stored.Position
	}
	// The owners are the proxies that store the session's positions. They have
	// received every position since CompleteSince, but may lack that of an earlier
	// write. The data must therefore be newer than CompleteSince.
	completeFor := min(time.Since(j.stored.CompleteSince), session.MaxReplicaAge)
	j.prefs.maxAge = min(j.prefs.maxAge, completeFor)
	return position, j.stored.Complete && j.prefs.maxAge > 0
}

// identity returns the identity under which the log positions of a session
// without a token are stored. The doubled separator distinguishes the name of a
// session from that of an application.
func (s *Session) identity(prefs *preferences) string {
	if prefs.session != "" {
		return s.callerInfo.User + identitySeparator + identitySeparator + prefs.session
	}
	return s.callerInfo.User + identitySeparator + s.callerInfo.Application
}

// recordPosition records a confirmed write in the session before it is
// acknowledged: it stores the position and inserts the new token into the
// answer.
func (s *Session) recordPosition(ctx context.Context, group *upstream.Group, prefs *preferences, result execute.Result, answerStart int) *outcome.Error {
	if result.Position.IsZero() {
		return nil
	}
	if s.positions == nil {
		s.positions = session.Positions{}
	}
	s.positions.Merge(group.Name, result.Position)
	for name, position := range prefs.tokenPositions {
		s.positions.Merge(name, position)
	}
	if err := s.shared.Positions.Store(ctx, s.identity(prefs), group.Name, result.Position); err != nil {
		return outcome.Unknown("the write is confirmed, but its session mark is not stored: " + err.Error())
	}
	token := session.EncodeToken(s.positions, s.shared.Snapshot().TokenKeys)
	if token == "" {
		return nil
	}
	// status is the encoded protocol message.
	status := outcome.Append(nil, &pgproto3.ParameterStatus{Name: settingMark, Value: token})
	s.insertIntoAnswer(answerStart, status)
	return nil
}
