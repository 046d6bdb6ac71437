package script_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockwood/burdockwood/internal/cli/root"
	standincommand "github.com/burdockwood/burdockwood/internal/standin/command"
)

const processesKey = "processes"

// TestScripts runs the scenarios in testdata against real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[sessionsKey] = &sessions{byName: map[string]*session{}}
			env.Values[processesKey] = &processes{byName: map[string]*process{}, relays: map[string]*processRelays{}}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":      reserveAddresses,
			"sql":        executeSQL,
			"command":    runCommand,
			"start":      withProcesses((*processes).startProcess),
			"signal":     withProcesses((*processes).signal),
			"exit":       withProcesses((*processes).waitForExit),
			"system":     withProcesses((*processes).startSystem),
			"again":      withProcesses((*processes).restart),
			"primary":    findPrimary,
			"caught-up":  waitUntilCaughtUp,
			"disk":       findDiskID,
			"replaced":   waitUntilReplaced,
			"cut":        withProcesses((*processes).cut),
			"logged":     waitForLog,
			"only":       withProcesses((*processes).cutFromControlExcept),
			"heal":       withProcesses((*processes).heal),
			"pause":      sleep,
			"connect":    withSessions((*sessions).connect),
			"query":      withSessions((*sessions).query),
			"background": withSessions((*sessions).startQuery),
			"finish":     withSessions((*sessions).finishQuery),
			"disconnect": withSessions((*sessions).disconnect),
			"cancel":     withSessions((*sessions).cancel),
			"leader":     findLeader,
			"in-force":   waitForVersion,
			"term":       findTerm,
			"same":       compareWords,
		},
		RequireExplicitExec: true,
	})
}

// withProcesses returns a script command that acts on the processes of its script.
func withProcesses(fn func(*processes, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fn(ts.Value(processesKey).(*processes), ts, neg, args)
	}
}

// withSessions returns a script command that acts on the sessions of its script.
func withSessions(fn func(*sessions, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fn(ts.Value(sessionsKey).(*sessions), ts, neg, args)
	}
}

// TestMain lets the test binary act as the programs that the scripts run.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"burdockwood": func() { os.Exit(root.Main()) },
		"standin":     func() { os.Exit(standincommand.Main()) },
	})
}
