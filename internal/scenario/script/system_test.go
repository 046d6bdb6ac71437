package script_test

import (
	"fmt"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	processesPerKind = 3
	groupName        = "ledger-1"
	slots            = 4
	connectionLimit  = 16

	declarations = `format: burdockwood-1
groups:
  - name: ledger-1
    labels: {tier: payroll}
    servers: 3
selectors:
  - name: all
    priority: 1
    groups: {tier: payroll}
    tenant: guild
    weight: 1
    deadline: 4s
`
)

// letters distinguish the processes of a kind, as in control-a, proxy-b and server-c.
var letters = []string{"a", "b", "c"}

// startSystem implements the script command system: it starts three control nodes,
// three backend servers and three proxies as separate processes. It sets CONTROL_A,
// PROXY_A, SERVER_A and so on to their addresses and CONTROLS to those of all control
// nodes. Replicas apply what they receive after the time LAG, if it's given.
func (p *processes) startSystem(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) > 1 {
		ts.Fatalf("usage: system [LAG]")
	}
	if len(args) == 1 {
		p.applyLag = args[0]
	}
	var names []string
	for _, letter := range letters {
		upper := strings.ToUpper(letter)
		names = append(names, "CONTROL_"+upper, "PROXY_"+upper, "PEER_"+upper, "SERVER_"+upper, "BACKEND_"+upper, "ADMIN_"+upper)
	}
	reserveAddresses(ts, false, names)
	var controls []string
	for _, letter := range letters {
		controls = append(controls, ts.Getenv("CONTROL_"+strings.ToUpper(letter)))
	}
	ts.Setenv("CONTROLS", strings.Join(controls, ","))
	ts.Check(os.WriteFile(ts.MkAbs("key"), []byte(scenarioKey+"\n"), 0o600))
	ts.Check(os.MkdirAll(ts.MkAbs("declarations"), 0o755))
	ts.Check(os.WriteFile(ts.MkAbs("declarations/guild.yaml"), []byte(declarations), 0o644))
	for _, letter := range letters {
		p.startControl(ts, letter)
		p.startServerRelays(ts, letter)
		p.startServer(ts, letter)
		p.startProxy(ts, letter)
	}
}

// restart implements the script command again: it starts a process of the system that
// has ended, as in again control-a.
func (p *processes) restart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: again NAME")
	}
	kind, letter, _ := strings.Cut(args[0], "-")
	switch kind {
	case "control":
		p.startControl(ts, letter)
	case "server":
		p.startServer(ts, letter)
	case "proxy":
		p.startProxy(ts, letter)
	default:
		ts.Fatalf("again: unknown kind %q", kind)
	}
}

func (p *processes) startControl(ts *testscript.TestScript, letter string) {
	name := "control-" + letter
	args := []string{
		name, "burdockwood", "control", "run", "--name=" + name, "--data-centre=perth-" + letter,
		"--listen=" + ts.Getenv("CONTROL_"+strings.ToUpper(letter)), "--data=" + ts.MkAbs(name), "--key-file=key", "--backend-user=" + classControl,
	}
	for _, other := range letters {
		args = append(args, fmt.Sprintf("--peer=control-%s=%s", other, ts.Getenv("CONTROL_"+strings.ToUpper(other))))
	}
	p.startProcess(ts, false, args)
}

func (p *processes) startServer(ts *testscript.TestScript, letter string) {
	name := "server-" + letter
	args := []string{
		name, "standin", "--name=" + name, "--group=" + groupName, "--data-centre=perth-" + letter,
		"--listen=" + ts.Getenv("BACKEND_"+strings.ToUpper(letter)), "--advertise=" + ts.Getenv("SERVER_"+strings.ToUpper(letter)), "--data=" + ts.MkAbs(name), "--key-file=key",
		fmt.Sprintf("--slots=%d", slots), fmt.Sprintf("--connections=%d", connectionLimit), "--connect-delay=10ms",
	}
	if p.applyLag != "" {
		args = append(args, "--apply-lag="+p.applyLag)
	}
	for _, r := range p.relays[name].toControl {
		args = append(args, "--control="+r.Address().String())
	}
	p.startProcess(ts, false, args)
}

func (p *processes) startProxy(ts *testscript.TestScript, letter string) {
	name := "proxy-" + letter
	upper := strings.ToUpper(letter)
	args := []string{
		name, "burdockwood", "proxy", "run", "--name=" + name, "--data-centre=perth-" + letter,
		"--listen=" + ts.Getenv("PROXY_"+upper), "--peer=" + ts.Getenv("PEER_"+upper),
		"--admin=" + ts.Getenv("ADMIN_"+upper), "--key-file=key", "--backend-user=" + name,
	}
	if p.relays[name] == nil {
		p.relays[name] = &processRelays{toControl: p.startControlRelays(ts)}
	}
	for _, r := range p.relays[name].toControl {
		args = append(args, "--control="+r.Address().String())
	}
	p.startProcess(ts, false, args)
}
