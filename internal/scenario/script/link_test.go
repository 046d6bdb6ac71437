package script_test

import (
	"bytes"
	"context"
	"net/netip"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockwood/burdockwood/internal/measure/relay"
	"github.com/burdockwood/burdockwood/internal/standin/wire"
)

const (
	classReplication = "replication"
	classControl     = "control"
)

// links are the relays around one backend server or proxy: before a server, and
// from either to each control node.
type links struct {
	front    *relay.Relay
	announce []*relay.Relay
}

// openLinks starts the relays of a server. The server's own address is in the
// variable BACKEND_x; SERVER_x is what it announces.
func (p *processes) openLinks(ts *testscript.TestScript, letter string) *links {
	upper := strings.ToUpper(letter)
	found := &links{front: p.openRelay(ts, relay.Options{
		Listen:   ts.Getenv("SERVER_" + upper),
		Target:   netip.MustParseAddrPort(ts.Getenv("BACKEND_" + upper)),
		Classify: classify,
	})}
	found.announce = p.openControlRelays(ts)
	p.links["server-"+letter] = found
	return found
}

// openControlRelays starts a relay to each control node.
func (p *processes) openControlRelays(ts *testscript.TestScript) []*relay.Relay {
	var opened []*relay.Relay
	for _, address := range strings.Split(ts.Getenv("CONTROLS"), ",") {
		opened = append(opened, p.openRelay(ts, relay.Options{Target: netip.MustParseAddrPort(address)}))
	}
	return opened
}

func (p *processes) openRelay(ts *testscript.TestScript, options relay.Options) *relay.Relay {
	ctx, cancel := context.WithCancel(context.Background())
	opened, err := relay.Start(ctx, options)
	ts.Check(err)
	ts.Defer(func() {
		cancel()
		_ = opened.Wait()
	})
	return opened
}

// cut holds all bytes between a server and the named classes: replication,
// control (both ways), or the name of a proxy. Without a class it holds all. A
// proxy has the class control only.
func (p *processes) cut(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: cut SERVER [CLASS...]")
	}
	found := p.linksOf(ts, args[0])
	if found.front != nil {
		found.front.SetMode(relay.Cut, args[1:]...)
	}
	for _, class := range args[1:] {
		if class == classControl {
			found.setAnnounce(relay.Cut)
		}
	}
	if len(args) == 1 {
		found.setAnnounce(relay.Cut)
	}
}

// only cuts a proxy or server off from all control nodes but the named one.
func (p *processes) only(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: only NAME NODE")
	}
	found := p.linksOf(ts, args[0])
	for i, r := range found.announce {
		if "control-"+letters[i] != args[1] {
			r.SetMode(relay.Cut)
		}
	}
}

// heal ends what cut began.
func (p *processes) heal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: heal SERVER")
	}
	found := p.linksOf(ts, args[0])
	if found.front != nil {
		found.front.Heal()
	}
	for _, r := range found.announce {
		r.Heal()
	}
}

func (l *links) setAnnounce(mode relay.Mode) {
	for _, r := range l.announce {
		r.SetMode(mode)
	}
}

func (p *processes) linksOf(ts *testscript.TestScript, server string) *links {
	found, ok := p.links[server]
	if !ok {
		ts.Fatalf("server %s has no links", server)
	}
	return found
}

// classify tells by the start-up message who connects to a server. Control and
// the proxies use their own names as users.
func classify(first []byte) string {
	if bytes.Contains(first, []byte("\x00database\x00"+wire.ReplicationDatabase+"\x00")) {
		return classReplication
	}
	_, after, ok := bytes.Cut(first, []byte("user\x00"))
	if !ok {
		return ""
	}
	user, _, _ := bytes.Cut(after, []byte{0})
	return string(user)
}
