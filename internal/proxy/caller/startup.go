package caller

import (
	"net"
	"net/netip"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/handshake"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
)

// startupParameters are the parameters that are sent to a caller after
// authentication. They are constant, so that no backend server has to be
// reachable.
var startupParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (burdockwood)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startUp applies the settings of the start-up packet and completes the
// start-up of the caller's connection.
func (s *Session) startUp(startup *handshake.Startup) error {
	for name, value := range startup.Options {
		if refusal := s.applyStartupOption(classify.Setting{Name: name, Value: value}); refusal != nil {
			refusal.Severity = outcome.Fatal("", "").Severity
			return s.endWith(refusal)
		}
	}
	s.ensureAnswer()
	buf := s.answer.data
	buf = outcome.Append(buf, &pgproto3.AuthenticationOk{})
	for i := range startupParameters {
		buf = outcome.Append(buf, &startupParameters[i])
	}
	buf = outcome.Append(buf, &pgproto3.ParameterStatus{Name: "application_name", Value: s.callerInfo.Application})
	buf = outcome.Append(buf, s.registration.key.message())
	s.answer.data = outcome.AppendReady(buf, s.status)
	return s.flushAnswer()
}

// applyStartupOption applies one setting of the start-up packet.
func (s *Session) applyStartupOption(setting classify.Setting) *outcome.Error {
	switch {
	case strings.HasPrefix(setting.Name, classify.SettingPrefix):
		return s.setPreference(&s.prefs, setting)
	case setting.Name == "client_encoding":
		if !strings.EqualFold(strings.ReplaceAll(setting.Value, "-", ""), "utf8") {
			return invalidValue(setting, "UTF8, the only encoding")
		}
	case strings.HasPrefix(setting.Name, "_pq_."):
		// Protocol extensions may be ignored.
	default:
		s.settings.set(setting)
	}
	return nil
}

func remoteAddress(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}
