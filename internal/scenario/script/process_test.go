package script_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"
)

const (
	firstPort   = 21000
	lastPort    = 31000
	exitTimeout = 40 * time.Second
)

var (
	nextPort atomic.Int64

	signals = map[string]os.Signal{
		"KILL": syscall.SIGKILL,
		"TERM": syscall.SIGTERM,
		"STOP": syscall.SIGSTOP,
		"CONT": syscall.SIGCONT,
	}
)

type (
	// processes are the processes that one script has started, with their relays.
	processes struct {
		byName map[string]*process
		relays map[string]*processRelays
		// applyLag is the time after which replicas apply what they receive; "" means
		// no delay.
		applyLag string
	}

	// process is a process that a script has started. Its exit code is set when
	// ended is closed.
	process struct {
		command *exec.Cmd
		waiter  errgroup.Group
		ended   chan struct{}
		code    int
	}
)

// reserveAddresses implements the script command ports: it sets each named variable
// to a free address on loopback.
func reserveAddresses(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: ports NAME...")
	}
	for _, name := range args {
		ts.Setenv(name, freeAddress(ts).String())
	}
}

// freeAddress returns a loopback address that no other run of these scripts uses at
// the same time: its host part is derived from the ID of this process.
func freeAddress(ts *testscript.TestScript) netip.AddrPort {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(pid>>16&0x7f) + 1, byte(pid >> 8), byte(pid)})
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(host, uint16(port))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		ts.Check(listener.Close())
		return address
	}
	ts.Fatalf("no free port between %d and %d on %v", firstPort, lastPort, host)
	return netip.AddrPort{}
}

// startProcess implements the script command start: it starts a program as a process,
// whose output is appended to NAME.log.
func (p *processes) startProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM [ARGUMENT...]")
	}
	name := args[0]
	if old, ok := p.byName[name]; ok && !old.hasEnded() {
		ts.Fatalf("%s is already running", name)
	}
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	command := exec.Command(lookPath(ts, args[1]), args[2:]...)
	command.Dir = ts.MkAbs(".")
	command.Stdout = log
	command.Stderr = log
	command.Env = append(os.Environ(), "GOCOVERDIR=")
	ts.Check(command.Start())
	started := &process{command: command, ended: make(chan struct{})}
	started.waiter.Go(func() error {
		defer close(started.ended)
		defer log.Close()
		_ = command.Wait()
		started.code = command.ProcessState.ExitCode()
		return nil
	})
	p.byName[name] = started
	ts.Defer(func() { started.kill() })
}

// signal implements the script command signal: it sends a signal to a process.
func (p *processes) signal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal NAME KILL|TERM|STOP|CONT")
	}
	signal, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	ts.Check(p.find(ts, args[0]).command.Process.Signal(signal))
}

// waitForExit implements the script command exit: it waits until a process has ended,
// and checks its exit code if one is given.
func (p *processes) waitForExit(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: exit NAME [CODE]")
	}
	ended := p.find(ts, args[0])
	select {
	case <-ended.ended:
	case <-time.After(exitTimeout):
		ts.Fatalf("%s did not end within %v", args[0], exitTimeout)
	}
	if len(args) == 2 && fmt.Sprint(ended.code) != args[1] {
		ts.Fatalf("%s ended with code %d, want %s", args[0], ended.code, args[1])
	}
}

// waitForLog implements the script command logged: it waits until the log of a
// process contains a text.
func waitForLog(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: logged NAME TEXT")
	}
	end := time.Now().Add(exitTimeout)
	for !strings.Contains(ts.ReadFile(args[0]+".log"), args[1]) {
		if !time.Now().Before(end) {
			ts.Fatalf("%s did not log %s within %v", args[0], args[1], exitTimeout)
		}
		time.Sleep(retryPause)
	}
}

// find returns the process with the given name, running or ended.
func (p *processes) find(ts *testscript.TestScript, name string) *process {
	found, ok := p.byName[name]
	if !ok {
		ts.Fatalf("%s was not started", name)
	}
	return found
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill kills the process, also if it's stopped, and waits until it has ended.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	_ = p.waiter.Wait()
}

// lookPath returns the path of a program in the script's PATH.
func lookPath(ts *testscript.TestScript, program string) string {
	for _, folder := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(folder, program)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path
		}
	}
	ts.Fatalf("program %s not found in %s", program, strings.ReplaceAll(ts.Getenv("PATH"), ":", " "))
	return ""
}
