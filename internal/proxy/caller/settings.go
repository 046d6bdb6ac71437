package caller

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

const (
	resetAll = "RESET ALL"
	// unknownSettings is the conn.Conn.AppliedSettings of a connection whose
	// settings aren't known. It differs from all SET statements, so that the
	// settings are reset before the next use.
	unknownSettings = "?"
)

// errSettings is returned if a backend server refuses the caller's settings.
var errSettings = eris.New("backend server refuses the session's settings")

// settings are the caller's settings that apply at the server, in the order in
// which they were set. They are applied to each connection that the session
// uses.
type settings struct {
	applied []classify.Setting
	// sql holds the SET statements of applied. It is compared with
	// conn.Conn.AppliedSettings.
	sql string
}

// set records one setting; an empty value resets it.
func (s *settings) set(setting classify.Setting) {
	s.applied = slices.DeleteFunc(slices.Clone(s.applied), func(o classify.Setting) bool { return o.Name == setting.Name })
	if setting.Value != "" && setting.Value != "default" {
		s.applied = append(s.applied, setting)
	}
	s.sql = setStatements(s.applied)
}

// clear removes all settings.
func (s *settings) clear() { *s = settings{} }

// setStatements returns the SET statements that apply the settings.
func setStatements(settings []classify.Setting) string {
	var text strings.Builder
	for _, setting := range settings {
		text.WriteString("SET ")
		text.WriteString(setting.Name)
		text.WriteString(" = '")
		text.WriteString(strings.ReplaceAll(setting.Value, "'", "''"))
		text.WriteString("'; ")
	}
	return text.String()
}

// apply makes the connection's settings equal to the session's.
func (s *settings) apply(c *conn.Conn) error {
	if c.AppliedSettings == s.sql {
		return nil
	}
	text := s.sql
	if c.AppliedSettings != "" {
		text = resetAll + "; " + text
	}
	c.AppliedSettings = unknownSettings
	result, err := runInternal(c, text)
	if err != nil {
		return err
	}
	if result.failure != nil {
		c.PreventReuse()
		return eris.Wrapf(errSettings, "%s: %s", result.failure.Code, result.failure.Message)
	}
	c.AppliedSettings = s.sql
	return nil
}
