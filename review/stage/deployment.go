package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlCount = 3
	proxyCount   = 3
	// frontendMemoryMB is limits.memoryMb of the frontends of the small deployments,
	// connectionLimit that of their servers.
	frontendMemoryMB = 284
	connectionLimit  = 16
	// program is the one that the deploy file builds, as seen from the repository.
	program = "target/burdockwood-platform"
	// restartDelay is how long the platform waits before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// memoryCheckInterval is how often the platform looks at a process's memory.
	memoryCheckInterval = 10 * time.Millisecond
	// stopTimeout is how long processes have to end after SIGTERM.
	stopTimeout = 10 * time.Second
	// metricsPort is that of each process's metrics.
	metricsPort = 9464
)

// errStopping is returned for a process that isn't started any more.
var errStopping = errors.New("the deployment stops")

type (
	// deployment is a small system of the project's own processes on loopback.
	deployment struct {
		record  *record
		folder  string
		network byte
		port    int
		backend *backend
		// memoryMB is limits.memoryMb of each proxy; the platform kills a process
		// that uses more.
		memoryMB int
		// connectionLimit and syncReplicas are those of the service.
		connectionLimit, syncReplicas int
		processes                     []*process
		promotion                     *http.Server
		// launchMu orders the start of processes before or after the close of stopping.
		launchMu sync.Mutex
		stopping chan struct{}
		stopOnce sync.Once
		waits    sync.WaitGroup
	}

	// process is one process of the system and the settings that it starts with.
	process struct {
		name, role, settings string
		mu                   sync.Mutex
		cmd                  *exec.Cmd
		// exited is closed once cmd has ended.
		exited chan struct{}
		// overLimit counts how often the process exceeded its memory.
		overLimit int
		peakMB    int
	}
)

// newDeployment returns a deployment whose files are in a folder.
func newDeployment(r *record, folder string, syncReplicas int) *deployment {
	return &deployment{
		record: r, folder: folder, backend: newBackend(r, syncReplicas), memoryMB: frontendMemoryMB,
		connectionLimit: connectionLimit, syncReplicas: syncReplicas, stopping: make(chan struct{}),
	}
}

// address returns the loopback address of a host of this deployment.
func (d *deployment) address(kind, host byte) string {
	return net.IPv4(127, d.network, kind, host+1).String()
}

func (d *deployment) apiAddress(node byte) string {
	return net.JoinHostPort(d.address(1, node), strconv.Itoa(d.port+1))
}

func (d *deployment) callerAddress(proxy byte) string {
	return net.JoinHostPort(d.address(2, proxy), strconv.Itoa(d.port+2))
}

func (d *deployment) readyAddress(proxy byte) string {
	return net.JoinHostPort(d.address(2, proxy), strconv.Itoa(d.port+3))
}

// pickNetwork chooses a loopback network and a port of which nothing is in use.
func (d *deployment) pickNetwork() error {
	for try := range 100 {
		d.network, d.port = byte(20+(os.Getpid()+try)%200), 21000+(os.Getpid()*7+try*16)%8000
		if d.isFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) isFree() bool {
	for kind := byte(1); kind <= 4; kind++ {
		for _, port := range []int{metricsPort, d.port, d.port + 1, d.port + 2, d.port + 3, d.port + 4, d.port + 5, d.port + 6} {
			l, err := net.Listen("tcp", net.JoinHostPort(d.address(kind, 0), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			if err := l.Close(); err != nil {
				return false
			}
		}
	}
	return true
}

// prepare starts the servers and the platform's API, and makes the settings of all processes.
func (d *deployment) prepare() error {
	if err := d.pickNetwork(); err != nil {
		return err
	}
	if err := d.startPromotion(); err != nil {
		return err
	}
	var seeds, apis []string
	for i := range byte(controlCount) {
		seeds, apis = append(seeds, d.apiAddress(i)), append(apis, d.apiAddress(i))
	}
	if err := d.backend.start(d.address(3, 0), d.port+2, apis); err != nil {
		return err
	}
	common := fmt.Sprintf("region=r\nzone=a\nzones.a=r\ninternalPortRange=%d,%d\nseedNodes=%s\nfaultTolerance.machines=1\n"+
		"heartbeatIntervalMs=1200\nbounds.contactWindowMs=4000\nbounds.drainTimeoutMs=7000\nbounds.gracePeriodS=6\nbounds.configApplyMs=3000\n"+
		"bounds.fencingRequired=false\nlimits.fileDescriptors=4200\ncloudApi.address=%s\ncloudApi.duties=promotion\n",
		d.port, d.port, strings.Join(seeds, ","), net.JoinHostPort(d.address(4, 0), strconv.Itoa(d.port+4)))
	for i := range byte(controlCount) {
		name := fmt.Sprint("core-", i)
		d.add(name, "control", fmt.Sprintf("nodeName=%s\nipAddress=%s\nlistenAddresses.controlPlane=%s\ndataDirectory=%s\nbootstrap=true\nlimits.memoryMb=280\n",
			name, d.address(1, i), d.apiAddress(i), filepath.Join(d.folder, name))+common)
	}
	for i := range byte(proxyCount) {
		name := fmt.Sprint("frontend-", i)
		d.add(name, "proxy", fmt.Sprintf("nodeName=%s\nipAddress=%s\nlistenAddresses.frontend=%s\nlistenAddresses.ready=%s\nlimits.memoryMb=%d\n",
			name, d.address(2, i), d.callerAddress(i), d.readyAddress(i), d.memoryMB)+common)
	}
	return nil
}

// start starts all processes and submits a configuration. It returns once each proxy is
// ready.
func (d *deployment) start() error {
	for _, p := range d.processes {
		if err := d.launch(p); err != nil {
			return err
		}
	}
	if err := d.submit(1); err != nil {
		return err
	}
	return d.awaitReady(20 * time.Second)
}

func (d *deployment) add(name, role, settings string) {
	d.processes = append(d.processes, &process{name: name, role: role, settings: settings})
}

// launch starts a process as the deploy file says.
func (d *deployment) launch(p *process) error {
	d.launchMu.Lock()
	defer d.launchMu.Unlock()
	select {
	case <-d.stopping:
		return errStopping
	default:
	}
	path := filepath.Join(d.folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKWOOD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	d.waits.Go(func() {
		err := cmd.Wait()
		d.record.logf("%s ended: %v", p.name, err)
		close(exited)
	})
	if p.role == "proxy" && d.memoryMB > 0 {
		d.waits.Go(func() { d.watchMemory(p, cmd.Process, exited) })
	}
	return nil
}

// watchMemory kills a process that uses more than its memory, as the platform does, and
// starts it again after a short delay.
func (d *deployment) watchMemory(p *process, running *os.Process, exited <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		used := residentMB(running.Pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, used)
		over := used > d.memoryMB
		if over {
			p.overLimit++
		}
		p.mu.Unlock()
		if !over {
			continue
		}
		d.record.logf("%s uses %d MB, its limit is %d MB: the platform kills it", p.name, used, d.memoryMB)
		if err := running.Kill(); err != nil {
			d.record.logf("killing %s: %v", p.name, err)
		}
		<-exited
		select {
		case <-d.stopping:
			return
		case <-time.After(restartDelay):
		}
		if err := d.launch(p); err != nil {
			d.record.logf("starting %s again: %v", p.name, err)
			return
		}
		d.record.logf("the platform has started %s again", p.name)
		return
	}
}

// residentMB returns the resident memory of a process that this one started.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// signal sends a signal to a process that the deployment started.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// configuration returns a configuration with one route of each kind, and with the time-outs
// of the example in the pages.
func (d *deployment) configuration(version int) string {
	route := func(name, kind string, timeoutMS int, extra string) string {
		return fmt.Sprintf(`{"name":"r-%s","host":"%s","pathPrefix":"/","routeKind":"%s","timeoutMs":%d,"targetLatencyMs":400,"priority":1,"service":"%s","maxAttempts":2%s}`,
			name, name, kind, timeoutMS, serviceName, extra)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"%s","healthPath":"/health","connectionLimit":%d,"protocol":"h1","tlsEnabled":false,"syncReplicas":%d}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"transactionIdleMs":3000}}`,
		version, route(strongDatabase, "primary", 1000, ""), route(ownDatabase, "read_your_writes", 1000, `,"maxStalenessMs":2500`),
		route(boundedDatabase, "bounded_staleness", 3000, `,"maxStalenessMs":1500`), serviceName, d.connectionLimit, d.syncReplicas)
}

// submit sends a configuration until a control node acknowledges it.
func (d *deployment) submit(version int) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		response, err := http.Post("http://"+d.apiAddress(0)+"/Configuration.Replace", "application/json", strings.NewReader(d.configuration(version)))
		if err != nil {
			continue
		}
		if err := response.Body.Close(); err != nil {
			return err
		}
		if response.StatusCode == http.StatusOK {
			d.record.logf("configuration %d acknowledged", version)
			return nil
		}
	}
	return errors.New("no control node acknowledged the configuration")
}

// awaitReady waits until each proxy answers the readiness probe with 200.
func (d *deployment) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for i := range byte(proxyCount) {
		for !d.isReady(i) {
			if time.Now().After(until) {
				return fmt.Errorf("frontend-%d isn't ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.logf("all frontends are ready")
	return nil
}

func (d *deployment) isReady(proxy byte) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readyAddress(proxy) + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startPromotion serves the platform's API.
func (d *deployment) startPromotion() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(d.address(4, 0), strconv.Itoa(d.port+4)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", d.backend.servePromotion)
	d.promotion = &http.Server{Handler: mux}
	d.waits.Go(func() {
		if err := d.promotion.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.record.logf("platform API: %v", err)
		}
	})
	return nil
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() { d.stopOnce.Do(d.stopAll) }

func (d *deployment) stopAll() {
	d.launchMu.Lock()
	close(d.stopping)
	d.launchMu.Unlock()
	var running []*process
	for _, p := range d.processes {
		if p.end() == nil {
			continue
		}
		running = append(running, p)
		// A process that has ended already needs no signal.
		_ = p.signal(syscall.SIGCONT)
		_ = p.signal(syscall.SIGTERM)
	}
	deadline := make(chan struct{})
	time.AfterFunc(stopTimeout, func() { close(deadline) })
	for _, p := range running {
		select {
		case <-p.end():
		case <-deadline:
			_ = p.signal(syscall.SIGKILL)
			<-p.end()
		}
	}
	if d.promotion != nil {
		if err := d.promotion.Close(); err != nil {
			d.record.logf("closing the platform API: %v", err)
		}
	}
	d.backend.stop()
}

// end returns the channel that is closed once the process has ended; nil: it was never
// started.
func (p *process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}
