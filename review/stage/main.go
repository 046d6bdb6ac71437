// Command stage plays the scripted cases of the review: it starts the project's own
// processes with the commands of the deploy file on loopback, with stand-ins for the
// clients, the servers and the platform.
//
// Usage:
//
//	stage -case report -record record.txt [-trouble=false]
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// scripted is a case: what the service asks for, and the function that plays it and returns
// whether the rule was broken.
type scripted struct {
	syncReplicas int
	// startsItself is true if the case starts the processes.
	startsItself bool
	play         func(d *deployment, trouble bool) (broken bool, err error)
}

var cases = map[string]scripted{
	"first-start":   {startsItself: true, play: playFirstStart},
	"left-replica":  {syncReplicas: 1, play: playLeftReplica},
	"lost-leader":   {syncReplicas: 1, play: playLostLeader},
	"report":        {play: playReport},
	"slow-platform": {play: playSlowPlatform},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	chosen, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "stage-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d := newDeployment(r, folder, chosen.syncReplicas)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(exitFailed)
	}()
	broken, err := play(d, chosen, *trouble)
	if err != nil {
		r.logf("the case couldn't run: %v (logs in %s)", err, folder)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := os.RemoveAll(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if broken {
		r.logf("the rule was broken")
		return exitBroken
	}
	r.logf("the rule held")
	return exitHeld
}

// play plays a case and ends all processes.
func play(d *deployment, c scripted, trouble bool) (broken bool, err error) {
	defer d.stop()
	if err := d.prepare(); err != nil {
		return false, err
	}
	if c.startsItself {
		return c.play(d, trouble)
	}
	if err := d.start(); err != nil {
		return false, err
	}
	return c.play(d, trouble)
}
