package root_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/root"
)

const (
	retryInterval = 20 * time.Millisecond
	maxAttempts   = 500
	maxWait       = 90 * time.Second
	// firstPort and lastPort bound the ports of freeAddress. The kernel chooses higher
	// ones.
	firstPort = 20_000
	lastPort  = 30_000
)

// triedPorts counts the ports that freeAddress has tried.
var triedPorts atomic.Uint32

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"burdockwood": func() { os.Exit(root.Main()) },
		"get":         func() { os.Exit(get(os.Args[1])) },
		"shows":       func() { os.Exit(shows(os.Args[1], os.Args[2:])) },
	})
}

// TestScripts runs the command line against real processes. Each script has the
// variables FREE and FREE2 with free addresses, BUSY with an address in use, and
// EXAMPLES with the folder of examples.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			busy := listen(t)
			env.Defer(func() { _ = busy.Close() })
			env.Setenv("BUSY", busy.Addr().String())
			env.Setenv("FREE", freeAddress(t))
			env.Setenv("FREE2", freeAddress(t))
			env.Setenv("EXAMPLES", examples)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":   cmdExits,
			"waitfor": cmdWaitFor,
		},
		Condition: func(name string) (bool, error) {
			return name == "root" && os.Geteuid() == 0, nil
		},
	})
}

// cmdExits runs a command and checks its exit code: exits 2 burdockwood ...
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exitErr *exec.ExitError
		if !errors.As(err, &exitErr) {
			ts.Fatalf("run %v: %v", args[1:], err)
		}
		got = exitErr.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code of %v: got %d, want %d", args[1:], got, want)
	}
}

// cmdWaitFor runs a command until it succeeds, up to maxAttempts times and no longer than
// maxWait: an attempt takes seconds while nothing answers.
func cmdWaitFor(ts *testscript.TestScript, _ bool, args []string) {
	began := time.Now()
	for attempt := 0; attempt < maxAttempts && time.Since(began) < maxWait; attempt++ {
		if ts.Exec(args[0], args[1:]...) == nil {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%v did not succeed", args)
}

// get is the command "get URL": it prints the response's status code and body.
func get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, string(body), err)
	return 0
}

// shows is the command "shows REGEXP ARGUMENTS...": it runs burdockwood with the
// arguments, and succeeds if burdockwood does and its output matches.
func shows(pattern string, args []string) int {
	var out strings.Builder
	f := factory.New("test")
	f.Streams.Out = &out
	code := root.Run(context.Background(), f, args)
	if code == 0 && !regexp.MustCompile(pattern).MatchString(out.String()) {
		return 1
	}
	return int(code)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// freeAddress returns an address that nobody takes by chance before the script uses it:
// its host is derived from the ID of this process, and its port is below those that the
// kernel chooses. A script's process once listened there on a port of the kernel's choice.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(pid>>16&0x7f) + 1, byte(pid >> 8), byte(pid)})
	for port := firstPort + triedPorts.Add(1); port < lastPort; port = firstPort + triedPorts.Add(1) {
		address := netip.AddrPortFrom(host, uint16(port)).String()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatalf("no free port up to %d on %v", lastPort, host)
	return ""
}
