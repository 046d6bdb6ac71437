package caller

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
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
	if c.Settings == s.fingerprint {
		return nil
	}
	text := s.fingerprint
	if c.Settings != "" {
		text = resetAll + "; " + text
	}
	c.Settings = unknownSettings
	if err := runQuietly(c, text); err != nil {
		return err
	}
	c.Settings = s.fingerprint
	return nil
}

// runQuietly runs a simple query whose answer nobody sees.
func runQuietly(c *conn.Conn, text string) error {
	query, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return eris.Wrap(errSettings, err.Error())
	}
	if err := c.Send(query); err != nil {
		return err
	}
	var failure error
	for {
		message, err := c.Next()
		if err != nil {
			return err
		}
		switch message.Type() {
		case wire.ErrorResponse:
			c.Poison()
			failure = eris.Wrap(errSettings, errorText(message))
		case wire.ReadyForQuery:
			return failure
		}
	}
}

// errorText returns the message of an ErrorResponse.
func errorText(message wire.Message) string {
	var response pgproto3.ErrorResponse
	if err := response.Decode(message.Body()); err != nil {
		return "malformed error"
	}
	return response.Code + ": " + response.Message
}
