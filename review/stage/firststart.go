package main

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// lostAfter is when the machine is lost, counted from the start of its process;
	// startSpread is the time between that and the start of the others.
	lostAfter   = 100 * time.Millisecond
	startSpread = 200 * time.Millisecond
	// successorAfter is when an empty machine replaces the one that was lost.
	successorAfter = 2 * time.Second
	// submitTime is for how long the operator sends the first configuration.
	submitTime = 45 * time.Second
	// readTime is for how long the operator reads it back: contactWindowMs and more.
	readTime = 6 * time.Second
)

// playFirstStart starts the system for the first time. One of the three core machines is lost
// for good right after its start, and an empty one replaces it at another address. It checks
// that the operator's first configuration is acknowledged, and can be read back.
func playFirstStart(d *deployment, trouble bool) (broken bool, err error) {
	r := d.record
	lost := d.processes[controlCount-1]
	if err := d.launch(lost); err != nil {
		return false, err
	}
	time.Sleep(lostAfter)
	if trouble {
		r.logf("the machine of %s is lost", lost.name)
		if err := lost.signal(syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	time.Sleep(startSpread - lostAfter)
	for _, p := range d.processes {
		if p == lost {
			continue
		}
		if err := d.launch(p); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(successorAfter)
		if err := d.replaceLast(); err != nil {
			return false, err
		}
	}
	acknowledged := d.send(1, submitTime)
	came := d.readBack(readTime)
	r.logf("the first configuration was acknowledged: %v; it was read back: %v", acknowledged, came)
	return !came, nil
}

// replaceLast starts an empty core machine at another address, with the settings of the last
// one but for bootstrap.
func (d *deployment) replaceLast() error {
	old, last := byte(controlCount-1), byte(controlCount)
	settings := strings.NewReplacer(
		"bootstrap=true", "bootstrap=false",
		fmt.Sprintf("nodeName=core-%d\n", old), fmt.Sprintf("nodeName=core-%d\n", last),
		"ipAddress="+d.address(1, old), "ipAddress="+d.address(1, last),
		"listenAddresses.controlPlane="+d.apiAddress(old), "listenAddresses.controlPlane="+d.apiAddress(last),
		filepath.Join(d.folder, fmt.Sprint("core-", old)), filepath.Join(d.folder, fmt.Sprint("core-", last)),
	).Replace(d.processes[old].settings)
	d.add(fmt.Sprint("core-", last), "control", settings)
	d.record.logf("core-%d starts at another address, with an empty disk", last)
	return d.launch(d.processes[len(d.processes)-1])
}

// send sends a configuration to all control nodes in turn until one acknowledges it.
func (d *deployment) send(version int, timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	last := ""
	for try, until := 0, time.Now().Add(timeout); time.Now().Before(until); try++ {
		outcome := ""
		response, err := client.Post("http://"+d.apiAddress(byte(try%(controlCount+1)))+"/Configuration.Replace", "application/json", strings.NewReader(d.configuration(version)))
		if err == nil {
			outcome = response.Status
			_ = response.Body.Close() // the status is all that counts
		} else {
			outcome = "no answer"
		}
		if outcome != last {
			d.record.logf("operator: configuration %d: %s", version, outcome)
			last = outcome
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// readBack reads the configuration from all control nodes in turn, and reports whether any of
// them returned one.
func (d *deployment) readBack(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for try, until := 0, time.Now().Add(timeout); time.Now().Before(until); try++ {
		response, err := client.Get("http://" + d.apiAddress(byte(try%(controlCount+1))) + "/Configuration.Read")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read
		if err == nil && response.StatusCode == http.StatusOK {
			d.record.logf("operator: read back %d bytes", len(text))
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
