package caller

import (
	"net"
	"net/netip"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/listen"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
)

// greeting are the parameters that callers are told at their start. Backend
// servers need not be reachable for it.
var greeting = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (burdockwood)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// greet takes the start-up's settings over and tells the caller that it may
// begin.
func (s *Session) greet(startup *listen.Startup) error {
	for name, value := range startup.Options {
		if refusal := s.option(classify.Setting{Name: name, Value: value}); refusal != nil {
			refusal.Severity = outcome.Fatal("", "").Severity
			return s.fatal(refusal)
		}
	}
	s.open()
	buf := s.answer.data
	buf = outcome.Append(buf, &pgproto3.AuthenticationOk{})
	for i := range greeting {
		buf = outcome.Append(buf, &greeting[i])
	}
	buf = outcome.Append(buf, &pgproto3.ParameterStatus{Name: "application_name", Value: s.who.Application})
	buf = outcome.Append(buf, s.cancel.key.message())
	s.answer.data = outcome.AppendReady(buf, s.status)
	return s.flush()
}

// option takes one setting of the start-up packet.
func (s *Session) option(setting classify.Setting) *outcome.Error {
	switch {
	case strings.HasPrefix(setting.Name, classify.SettingPrefix):
		return s.prefer(&s.own, setting)
	case setting.Name == "client_encoding":
		if !strings.EqualFold(strings.ReplaceAll(setting.Value, "-", ""), "utf8") {
			return badValue(setting, "UTF8, the only encoding")
		}
	case strings.HasPrefix(setting.Name, "_pq_."):
		// Extensions of the protocol may be ignored.
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
