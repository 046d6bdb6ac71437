package caller

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
)

const (
	// settingMark is the setting whose value is the session's token, see
	// session.EncodeToken.
	settingMark     = classify.SettingPrefix + "mark"
	settingMaxAge   = classify.SettingPrefix + "max_age"
	settingRequest  = classify.SettingPrefix + "request_id"
	settingSession  = classify.SettingPrefix + "session"
	settingDeadline = classify.SettingPrefix + "deadline"
	settingLabel    = classify.SettingPrefix + "label."

	maxIdentifierLength = 200
)

// preferences are the proxy settings of a caller.
type preferences struct {
	// maxAge is the maximum age of the data that reads accept; zero means that
	// they require the newest data. If maxAgeSet is false, the caller hasn't set
	// it, and that of the selector applies.
	maxAge    time.Duration
	maxAgeSet bool
	deadline  time.Duration
	// requestID is the identifier under which a write runs at most once, see
	// package idempotency.
	requestID string
	// session is the caller's name of its session, see Session.identity.
	session string
	labels  cluster.Labels
	// hasToken is true if the caller has sent a token; tokenVerified is true if
	// its signature is valid, and tokenPositions are the log positions in it.
	hasToken       bool
	tokenVerified  bool
	tokenPositions session.Positions
}

// set sets one preference; an empty value resets it.
func (p *preferences) set(setting classify.Setting) *outcome.Error {
	name, value := setting.Name, setting.Value
	switch {
	case name == settingMaxAge:
		return p.setMaxAge(value)
	case name == settingDeadline:
		return p.setDeadline(value)
	case name == settingRequest && len(value) <= maxIdentifierLength:
		p.requestID = value
	case name == settingSession && len(value) <= maxIdentifierLength:
		p.session = value
	case name == settingRequest || name == settingSession:
		return invalidValue(setting, "at most 200 bytes")
	case strings.HasPrefix(name, settingLabel):
		p.setLabel(strings.TrimPrefix(name, settingLabel), value)
	default:
		refusal := outcome.New(outcome.StateBadValue, "unknown setting \""+name+"\"")
		refusal.Hint = "burdockwood.mark, max_age, request_id, session, deadline and label.<name> can be set"
		return refusal
	}
	return nil
}

func (p *preferences) setMaxAge(value string) *outcome.Error {
	age, ok := parseDuration(value)
	if !ok {
		return invalidValue(classify.Setting{Name: settingMaxAge, Value: value}, "a time such as 500ms or 5s")
	}
	p.maxAge = age
	p.maxAgeSet = value != ""
	return nil
}

func (p *preferences) setDeadline(value string) *outcome.Error {
	deadline, ok := parseDuration(value)
	if !ok {
		return invalidValue(classify.Setting{Name: settingDeadline, Value: value}, "a time such as 500ms or 5s")
	}
	p.deadline = deadline
	return nil
}

// setLabel replaces the map of labels by a changed copy, since the map is
// shared with other readers.
func (p *preferences) setLabel(name, value string) {
	labels := maps.Clone(p.labels)
	if labels == nil {
		labels = cluster.Labels{}
	}
	if value == "" {
		delete(labels, name)
	} else {
		labels[name] = value
	}
	p.labels = labels
}

// parseDuration parses a duration such as "5s" or a number of milliseconds. An
// empty value or "default" is zero.
func parseDuration(value string) (time.Duration, bool) {
	if value == "" || value == "default" {
		return 0, true
	}
	if number, err := strconv.Atoi(value); err == nil {
		return time.Duration(number) * time.Millisecond, number >= 0
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d >= 0
}

// invalidValue returns the error for a setting with an invalid value. Its hint tells
// the caller to give validValue, a description of the valid values.
func invalidValue(setting classify.Setting, validValue string) *outcome.Error {
	refusal := outcome.New(outcome.StateBadValue, "invalid value \""+setting.Value+"\" for \""+setting.Name+"\"")
	refusal.Hint = "give " + validValue
	return refusal
}
