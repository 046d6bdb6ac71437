package script_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockwood/burdockwood/internal/cli/root"
	standincommand "github.com/burdockwood/burdockwood/internal/standin/command"
)

const processesKey = "processes"

// TestScripts runs the scenarios in testdata over real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[sessionsKey] = &sessions{byName: map[string]*session{}}
			env.Values[processesKey] = &processes{byName: map[string]*process{}, links: map[string]*links{}}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":      ports,
			"sql":        sql,
			"command":    command,
			"start":      withProcesses((*processes).start),
			"signal":     withProcesses((*processes).signal),
			"exit":       withProcesses((*processes).exit),
			"system":     withProcesses((*processes).system),
			"again":      withProcesses((*processes).again),
			"primary":    primary,
			"caught-up":  caughtUp,
			"disk":       disk,
			"replaced":   replaced,
			"cut":        withProcesses((*processes).cut),
			"logged":     logged,
			"only":       withProcesses((*processes).only),
			"heal":       withProcesses((*processes).heal),
			"pause":      pause,
			"connect":    withSessions((*sessions).connect),
			"query":      withSessions((*sessions).query),
			"background": withSessions((*sessions).background),
			"finish":     withSessions((*sessions).finish),
			"disconnect": withSessions((*sessions).disconnect),
			"cancel":     withSessions((*sessions).cancel),
			"leader":     controlLeader,
			"in-force":   inForce,
			"term":       term,
			"same":       same,
		},
		RequireExplicitExec: true,
	})
}

func withProcesses(fn func(*processes, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fn(ts.Value(processesKey).(*processes), ts, neg, args)
	}
}

func withSessions(fn func(*sessions, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fn(ts.Value(sessionsKey).(*sessions), ts, neg, args)
	}
}

// TestMain makes the test binary serve as the programs that scripts run.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"burdockwood": func() { os.Exit(root.Main()) },
		"standin":     func() { os.Exit(standincommand.Main()) },
	})
}
