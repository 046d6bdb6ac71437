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
	// unknownSettings is the fingerprint of a connection whose settings
	// aren't known.
	unknownSettings = "?"
)

// errSettings tells that a backend server refused the caller's settings.
var errSettings = eris.New("backend server refuses the session's settings")

// settings are the caller's settings of the server's own, in the order in
// which they were made. They are replayed on each connection that the caller
// gets.
type settings struct {
	made        []classify.Setting
	fingerprint string
}

// set records one setting; an empty value resets it.
func (s *settings) set(setting classify.Setting) {
	s.made = slices.DeleteFunc(slices.Clone(s.made), func(o classify.Setting) bool { return o.Name == setting.Name })
	if setting.Value != "" && setting.Value != "default" {
		s.made = append(s.made, setting)
	}
	s.fingerprint = statements(s.made)
}

// clear forgets all settings.
func (s *settings) clear() { *s = settings{} }

// statements returns the SET statements that make the settings.
func statements(made []classify.Setting) string {
	var text strings.Builder
	for _, setting := range made {
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
	if c.AppliedSettings == s.fingerprint {
		return nil
	}
	text := s.fingerprint
	if c.AppliedSettings != "" {
		text = resetAll + "; " + text
	}
	c.AppliedSettings = unknownSettings
	result, err := runQuietly(c, text)
	if err != nil {
		return err
	}
	if result.failure != nil {
		c.Poison()
		return eris.Wrapf(errSettings, "%s: %s", result.failure.Code, result.failure.Message)
	}
	c.AppliedSettings = s.fingerprint
	return nil
}
