package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// primaryCrashAt is when the primary crashes, counted from when the replica began to
	// drain; leaderKillAfter is when control's leader is killed, counted from when the
	// replica has left, and leaderDown how long it is away.
	primaryCrashAt  = 5500 * time.Millisecond
	leaderKillAfter = 100 * time.Millisecond
	leaderDown      = 3500 * time.Millisecond
)

// playLostLeader replaces a replica of a service with synchronous replication as planned. The
// other replica receives nothing for a while, and the primary crashes meanwhile, before the
// first replica leaves. Control waits for the successor of that; then its leader is killed.
// The check is that of playLeftReplica.
func playLostLeader(d *deployment, trouble bool) (broken bool, err error) {
	r, b := d.record, d.backend
	w := startWriters(r, d)
	// A new leader takes some seconds to learn of all servers.
	time.Sleep(5 * time.Second)
	b.drain("i-1")
	time.Sleep(primaryCrashAt - deafBeforeLeave)
	if trouble {
		b.setDeaf("i-2", true)
		time.AfterFunc(deafTime, func() { b.setDeaf("i-2", false) })
	}
	time.Sleep(deafBeforeLeave)
	if trouble {
		b.crash("i-0")
	}
	time.Sleep(drainTime - primaryCrashAt)
	if err := b.leave("i-1"); err != nil {
		return false, err
	}
	time.Sleep(leaderKillAfter)
	if trouble {
		leader, err := d.leader()
		if err != nil {
			return false, err
		}
		r.logf("control's leader %s is killed", leader.name)
		if err := leader.signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		time.AfterFunc(leaderDown, func() {
			if err := d.launch(leader); err != nil {
				r.logf("starting %s again: %v", leader.name, err)
			}
		})
	}
	time.Sleep(reuseAfter - leaderKillAfter)
	if err := b.succeed("i-1", "i-3"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	w.end()
	return checkPromotedLogs(r, b, w), nil
}

// leader returns the control process that leads, by the metrics of the processes.
func (d *deployment) leader() (*process, error) {
	client := http.Client{Timeout: time.Second}
	for i := range controlCount {
		response, err := client.Get("http://" + net.JoinHostPort(d.address(1, byte(i)), strconv.Itoa(metricsPort)) + "/metrics")
		if err != nil {
			return nil, err
		}
		text, err := io.ReadAll(response.Body)
		if err := errors.Join(err, response.Body.Close()); err != nil {
			return nil, err
		}
		if strings.Contains(string(text), "control_leads 1\n") {
			return d.processes[i], nil
		}
	}
	return nil, errors.New("no control process leads")
}
