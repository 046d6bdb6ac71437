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

// processRelays are the relays around one backend server or proxy: one to the server
// (nil for a proxy), and one from the server or proxy to each control node.
type processRelays struct {
	toServer  *relay.Relay
	toControl []*relay.Relay
}

// startServerRelays starts the relays of a server. The server listens on the address
// in the variable BACKEND_x and announces that of its relay, which is in SERVER_x.
func (p *processes) startServerRelays(ts *testscript.TestScript, letter string) *processRelays {
	upper := strings.ToUpper(letter)
	found := &processRelays{toServer: p.startRelay(ts, relay.Options{
		Listen:   ts.Getenv("SERVER_" + upper),
		Target:   netip.MustParseAddrPort(ts.Getenv("BACKEND_" + upper)),
		Classify: classifyConnection,
	})}
	found.toControl = p.startControlRelays(ts)
	p.relays["server-"+letter] = found
	return found
}

// startControlRelays starts one relay to each control node.
func (p *processes) startControlRelays(ts *testscript.TestScript) []*relay.Relay {
	var opened []*relay.Relay
	for _, address := range strings.Split(ts.Getenv("CONTROLS"), ",") {
		opened = append(opened, p.startRelay(ts, relay.Options{Target: netip.MustParseAddrPort(address)}))
	}
	return opened
}

// startRelay starts a relay that runs until the script ends.
func (p *processes) startRelay(ts *testscript.TestScript, options relay.Options) *relay.Relay {
	ctx, cancel := context.WithCancel(context.Background())
	opened, err := relay.Start(ctx, options)
	ts.Check(err)
	ts.Defer(func() {
		cancel()
		_ = opened.Wait()
	})
	return opened
}

// cut implements the script command cut: it cuts a server off from the named classes,
// which are replication, control (in both directions) or the name of a proxy.
// Without a class, it cuts the server off from all of them. A proxy can only be cut
// off from control.
func (p *processes) cut(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: cut NAME [CLASS...]")
	}
	found := p.relaysOf(ts, args[0])
	if found.toServer != nil {
		found.toServer.SetMode(relay.Cut, args[1:]...)
	}
	for _, class := range args[1:] {
		if class == classControl {
			found.setControlMode(relay.Cut)
		}
	}
	if len(args) == 1 {
		found.setControlMode(relay.Cut)
	}
}

// cutFromControlExcept implements the script command only: it cuts a proxy's or
// server's connections to all control nodes except the named one.
func (p *processes) cutFromControlExcept(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: only NAME NODE")
	}
	found := p.relaysOf(ts, args[0])
	for i, r := range found.toControl {
		if "control-"+letters[i] != args[1] {
			r.SetMode(relay.Cut)
		}
	}
}

// heal implements the script command heal: it ends what the commands cut and only
// have cut, and resets those connections.
func (p *processes) heal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: heal NAME")
	}
	found := p.relaysOf(ts, args[0])
	if found.toServer != nil {
		found.toServer.Heal()
	}
	for _, r := range found.toControl {
		r.Heal()
	}
}

// setControlMode sets the mode of the connections to control.
func (r *processRelays) setControlMode(mode relay.Mode) {
	for _, control := range r.toControl {
		control.SetMode(mode)
	}
}

// relaysOf returns the relays of a server or proxy, by its name.
func (p *processes) relaysOf(ts *testscript.TestScript, name string) *processRelays {
	found, ok := p.relays[name]
	if !ok {
		ts.Fatalf("there are no relays of %s", name)
	}
	return found
}

// classifyConnection returns the class of a connection to a server, given its
// start-up message: replication, or the user name, which is control for all control
// nodes and the proxy's name for a proxy.
func classifyConnection(first []byte) string {
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
