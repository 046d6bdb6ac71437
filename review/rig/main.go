package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// startPatience is how long the system has to serve the first request.
	startPatience = 20 * time.Second
)

// scene is a deployment with its surroundings, and whether a case disrupts it.
type scene struct {
	*deployment
	group   *group
	callers *callers
	trouble bool
}

// cases are the cases by their numbers. Each returns the breaks of the rule.
var cases = map[string]func(*scene) (broken []string, err error){
	"planned-stops":     plannedStops,
	"crashed-primary":   crashedPrimary,
	"busy-target":       busyTarget,
	"promoted-already":  promotedAlready,
	"first-start":       firstStartWithoutOne,
	"foreign-heartbeat": foreignHeartbeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	code := play(r, cases[os.Args[1]])
	if err := r.close(); err != nil {
		fmt.Println(err)
		code = exitNotRun
	}
	os.Exit(code)
}

// play plays a case and returns the exit status.
func play(r *record, run func(*scene) ([]string, error)) int {
	d, err := newDeployment(r)
	if err != nil {
		r.say("the case can't run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	s := &scene{deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	r.say("trouble: %t", s.trouble)
	broken, err := run(s)
	if s.callers != nil {
		s.callers.close()
	}
	if s.group != nil {
		s.group.close()
	}
	if err != nil {
		r.say("the case can't run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.say("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

var errNotServing = errors.New("the system didn't serve before the disruption")

// begin starts servers and processes, configures the system and has callers write and
// read until each kind succeeds.
func (s *scene) begin(syncReplicas int) error {
	s.group = newGroup(s.deployment, syncReplicas)
	if err := s.group.open(3); err != nil {
		return err
	}
	if err := s.startAll(true); err != nil {
		return err
	}
	if !configure(s.group, syncReplicas, startPatience) {
		return errNotServing
	}
	time.Sleep(configApply)
	s.callers = newCallers(s.deployment)
	s.callers.open(4, true)
	s.callers.open(4, false)
	for until := time.Now().Add(startPatience); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if succeeded, sent := s.callers.served(time.Now().Add(-time.Second), time.Now()); sent > 20 && succeeded > sent*9/10 {
			s.record.say("the system serves: %d of %d requests of the last second", succeeded, sent)
			return nil
		}
	}
	return errNotServing
}
