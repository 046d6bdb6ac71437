package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program     = "target/burdockwood-platform"
	controlPort = 8782
	callerPort  = 8784
	readyPort   = 8785
	peerPort    = 7440
	cloudPort   = 8783
	serverPort  = 8080

	controlCount = 3
	proxyCount   = 2

	// The bounds are those of a small deployment (Perth).
	heartbeatInterval = 1200 * time.Millisecond
	drainTimeout      = 7 * time.Second
	gracePeriod       = 6 * time.Second
	configApply       = 3 * time.Second
	recovery          = 12 * time.Second
	contactWindow     = 4 * time.Second
)

// deployment is the system under test: its addresses, settings files and processes.
type deployment struct {
	record *record
	folder string
	// network is the first three numbers of the loopback addresses.
	network string
	running map[string]*exec.Cmd
	logs    []*os.File
}

// newDeployment chooses a loopback network on which the ports are free.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, running: map[string]*exec.Cmd{}}
	for try := range 200 {
		d.network = fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%128, 1+(os.Getpid()/128+try)%250)
		if d.isFree() {
			return d, nil
		}
	}
	return nil, errors.New("no loopback network with free ports")
}

func (d *deployment) isFree() bool {
	for n := 2; n <= 50; n++ {
		for _, port := range []int{controlPort, callerPort, peerPort, cloudPort, serverPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, n, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (d *deployment) ip(n int) string             { return fmt.Sprintf("%s.%d", d.network, n) }
func (d *deployment) address(n, port int) string  { return fmt.Sprintf("%s:%d", d.ip(n), port) }
func (d *deployment) controlAddress(i int) string { return d.address(10+i, controlPort) }
func (d *deployment) callerAddress(i int) string  { return d.address(20+i, callerPort) }
func (d *deployment) cloudAddress() string        { return d.address(5, cloudPort) }
func (d *deployment) serverAddress(i int) string  { return d.address(30+i, serverPort) }
func (d *deployment) controlAddresses() (all []string) {
	for i := range controlCount {
		all = append(all, d.controlAddress(i))
	}
	return all
}

// settings returns the text of a settings file.
func (d *deployment) settings(role string, i int, bootstrap bool) string {
	lines := []string{
		"machineClass=" + map[string]string{"control": "core", "proxy": "frontend"}[role],
		"role=" + role,
		fmt.Sprintf("nodeName=%s-%d", role, i),
		fmt.Sprintf("zone=zone-%d", i%3), "region=region",
		"zones.zone-0=region", "zones.zone-1=region", "zones.zone-2=region",
		fmt.Sprintf("internalPortRange=%d,%d", peerPort, peerPort+15),
		"seedNodes=" + strings.Join(d.controlAddresses(), ","),
		fmt.Sprintf("bootstrap=%t", bootstrap),
		"limits.cpuShare=0.9", "limits.cpuCores=1", "limits.memoryMb=280", "limits.fileDescriptors=4096", "limits.linkMbps=1000.0",
		"discovery=registry", "entryPoint=virtual_ip",
		fmt.Sprintf("heartbeatIntervalMs=%d", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,recover,sql",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", fmt.Sprintf("bounds.contactWindowMs=%d", contactWindow.Milliseconds()),
		"bounds.ackTimeoutMs=5000", "bounds.catchUpS=4", fmt.Sprintf("bounds.drainTimeoutMs=%d", drainTimeout.Milliseconds()),
		fmt.Sprintf("bounds.gracePeriodS=%d", int(gracePeriod.Seconds())), "bounds.lossSlackMs=200",
		fmt.Sprintf("bounds.configApplyMs=%d", configApply.Milliseconds()), "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=12000",
		fmt.Sprintf("bounds.recoveryS=%d", int(recovery.Seconds())), "bounds.fencingRequired=false", "bounds.thawSlackMs=300",
		"config_mode=highest",
		"cloudApi.address=" + d.cloudAddress(), "cloudApi.ratePerS=50.0", "cloudApi.duties=promotion", "cloudApi.dutyPerS=50.0",
	}
	if role == "control" {
		lines = append(lines, "serves=control_plane", "countsTowardTolerance=true", "ipAddress="+d.ip(10+i),
			"listenAddresses.controlPlane="+d.controlAddress(i), "limits.diskMb=128",
			"dataDirectory="+filepath.Join(d.folder, fmt.Sprintf("disk-%d", i)))
	} else {
		lines = append(lines, "serves=frontend", "countsTowardTolerance=false", "ipAddress="+d.ip(20+i),
			"listenAddresses.frontend="+d.callerAddress(i), "listenAddresses.ready="+d.address(20+i, readyPort), "limits.diskMb=0")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts a process of a role with the command of the deploy file.
func (d *deployment) start(role string, i int, bootstrap bool) error {
	name := fmt.Sprintf("%s-%d", role, i)
	settings := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(settings, []byte(d.settings(role, i, bootstrap)), 0o600); err != nil {
		return err
	}
	if role == "control" {
		if err := os.MkdirAll(filepath.Join(d.folder, fmt.Sprintf("disk-%d", i)), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.logs = append(d.logs, log)
	cmd := exec.Command(program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "BURDOCKWOOD_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.running[name] = cmd
	d.record.say("started %s (bootstrap=%t)", name, bootstrap)
	return nil
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(role string, i int) {
	name := fmt.Sprintf("%s-%d", role, i)
	cmd := d.running[name]
	if cmd == nil {
		return
	}
	delete(d.running, name)
	// An error of Wait is that the process was killed.
	if err := cmd.Process.Kill(); err == nil {
		_ = cmd.Wait()
	}
	d.record.say("killed %s", name)
}

func (d *deployment) startAll(bootstrap bool) error {
	for i := range controlCount {
		if err := d.start("control", i, bootstrap); err != nil {
			return err
		}
	}
	for i := range proxyCount {
		if err := d.start("proxy", i, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) killAll() {
	for i := range controlCount {
		d.kill("control", i)
	}
	for i := range proxyCount {
		d.kill("proxy", i)
	}
}

// stop ends all processes and copies to the record the decisions that the control nodes
// have logged.
func (d *deployment) stop() {
	d.killAll()
	for _, log := range d.logs {
		log.Close()
	}
	for i := range controlCount {
		text, err := os.ReadFile(filepath.Join(d.folder, fmt.Sprintf("control-%d.log", i)))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			for _, message := range []string{"primacy", "status", "promotion requested", "leads control", "server changed"} {
				if strings.Contains(line, fmt.Sprintf("%q:%q", "msg", message)) {
					d.record.printf("log of control-%d: %s", i, line)
				}
			}
		}
	}
	if os.Getenv("RIG_KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}
