// Package bed is the test bed of the review's cases. It starts the project's own programs
// as separate processes on loopback addresses, with stand-ins for the platform, the
// servers and the clients, and checks rules from what the stand-ins see.
//
// # Usage
//
//	b, err := bed.New(bed.Options{Folder: "review/1", Zones: zones, ConnectionLimit: 8})
//	defer b.Close()
//	err = b.Start()
//	client, err := b.Connect(b.Proxies[3], "payroll")
//	answer, err := client.Query("WRITE 1a4 x")
//	b.Proxies[0].Kill()
//	os.Exit(b.Verdict())
package bed

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
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// program is built by the deploy file.
	program = "target/burdockwood-platform"
	// metricsPort is that of the deploy file.
	metricsPort = 9464
	// restartDelay is the pause before the platform restarts a process.
	restartDelay = 300 * time.Millisecond
	// startTimeout bounds the start of the whole system.
	startTimeout = 25 * time.Second
	// maxRunTime ends a case that hangs.
	maxRunTime = 110 * time.Second

	portOfClients = iota + 17000
	portOfReadiness
	portOfControl
	portOfPeers
	portOfServers
	portOfPlatform
)

// ErrCannotRun is returned if the case can't run here.
var ErrCannotRun = errors.New("the case can't run")

type (
	// Options describe a small deployment.
	Options struct {
		// Folder is the case's folder, in which record.txt is written.
		Folder string
		// Zones holds the zone of each frontend machine.
		Zones []string
		// ConnectionLimit and Slots are those of each server.
		ConnectionLimit, Slots int
		// StatementTime is how long a server works on a statement.
		StatementTime time.Duration
		// Configuration returns a version of the operator's configuration.
		Configuration func(version int) string
	}

	// Bed is a running system with its stand-ins.
	Bed struct {
		options  Options
		network  byte
		folder   string
		begun    time.Time
		Ledger   *Ledger
		Service  *Service
		Controls []*Process
		Proxies  []*Process
		group    errgroup.Group
		ctx      context.Context
		cancel   context.CancelFunc
		// release keeps the end of ctx from ending the case.
		release func() bool

		mu         sync.Mutex
		record     *os.File
		violations []string
	}

	// Process is the process of one machine.
	Process struct {
		bed        *Bed
		Name, Zone string
		role       string
		address    netip.Addr
		settings   string
		output     *os.File
		mu         sync.Mutex
		cmd        *exec.Cmd
	}
)

// New returns a test bed whose addresses are free.
func New(options Options) (*Bed, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(options.Folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &Bed{options: options, folder: folder, begun: time.Now(), Ledger: newLedger(), record: record}
	stopped, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	b.ctx, b.cancel = context.WithTimeout(stopped, maxRunTime)
	b.release = context.AfterFunc(b.ctx, func() {
		fmt.Fprintln(os.Stderr, "the case was ended, or takes too long")
		b.endProcesses()
		os.Exit(2)
	})
	context.AfterFunc(b.ctx, stop)
	for network := 1; network < 250; network++ {
		b.network = byte((os.Getpid() + network) % 250)
		if b.isFree() {
			return b, nil
		}
	}
	return nil, fmt.Errorf("%w: no free addresses", ErrCannotRun)
}

// isFree reports whether the addresses of the network are free.
func (b *Bed) isFree() bool {
	for class := byte(1); class <= 4; class++ {
		for _, port := range []int{portOfClients, portOfReadiness, portOfControl, portOfPeers, portOfServers, portOfPlatform, metricsPort} {
			listener, err := net.Listen("tcp", netip.AddrPortFrom(b.address(class, 0), uint16(port)).String())
			if err != nil {
				return false
			}
			if listener.Close() != nil {
				return false
			}
		}
	}
	return true
}

// address returns the address of a machine of a class.
func (b *Bed) address(class byte, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 110 + class, b.network, byte(index + 1)})
}

func (b *Bed) endpoint(class byte, index, port int) string {
	return netip.AddrPortFrom(b.address(class, index), uint16(port)).String()
}

// Start starts the stand-ins and the system and waits until it serves.
func (b *Bed) Start() error {
	const controls, servers = 3, 3
	var seeds []string
	for i := range controls {
		seeds = append(seeds, b.endpoint(1, i, portOfControl))
	}
	b.Service = newService(b, "perdiem-1", seeds)
	for i := range servers {
		if err := b.Service.startServer(b.options.Zones[0], b.endpoint(3, i, portOfServers)); err != nil {
			return fmt.Errorf("%w: %w", ErrCannotRun, err)
		}
	}
	platform := b.endpoint(4, 0, portOfPlatform)
	if err := b.Service.startPlatform(platform); err != nil {
		return fmt.Errorf("%w: %w", ErrCannotRun, err)
	}
	b.group.Go(func() error { b.Service.run(b.ctx); return nil })
	for i := range controls {
		p := &Process{bed: b, Name: fmt.Sprint("core-", i+1), Zone: b.options.Zones[0], role: "control", address: b.address(1, i)}
		b.Controls = append(b.Controls, p)
		if err := p.prepare(strings.Join(seeds, ","), platform); err != nil {
			return err
		}
	}
	for i, zone := range b.options.Zones {
		p := &Process{bed: b, Name: fmt.Sprint("frontend-", i+1), Zone: zone, role: "proxy", address: b.address(2, i)}
		b.Proxies = append(b.Proxies, p)
		if err := p.prepare(strings.Join(seeds, ","), platform); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*Process(nil), b.Controls...), b.Proxies...) {
		if err := p.start(); err != nil {
			return fmt.Errorf("%w: %w", ErrCannotRun, err)
		}
	}
	return b.awaitService(seeds)
}

// awaitService sends the first configuration until it is acknowledged and waits until
// every proxy is ready.
func (b *Bed) awaitService(seeds []string) error {
	until := time.Now().Add(startTimeout)
	for i := 0; b.Configure(1, seeds[i%len(seeds)]) != nil; i++ {
		if time.Now().After(until) {
			return fmt.Errorf("%w: the first configuration wasn't acknowledged", ErrCannotRun)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, p := range b.Proxies {
		if !p.AwaitReady(time.Until(until)) {
			return fmt.Errorf("%w: %s isn't ready", ErrCannotRun, p.Name)
		}
	}
	// No operator order is in progress and discovery is over before a case begins.
	time.Sleep(4500 * time.Millisecond)
	return nil
}

// Configure sends a version of the configuration to a control node.
func (b *Bed) Configure(version int, node string) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+node+"/Configuration.Replace", "application/json", strings.NewReader(b.options.Configuration(version)))
	if err != nil {
		return err
	}
	b.Recordf("operator: version %d sent to %s, answered %d", version, node, response.StatusCode)
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// ControlAddress returns the address at which a control node serves operators.
func (b *Bed) ControlAddress(index int) string { return b.endpoint(1, index, portOfControl) }

// Recordf writes a line to the record.
func (b *Bed) Recordf(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A record that can't be written shows as a short one.
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, values...))
}

// Violatef records a broken rule.
func (b *Bed) Violatef(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	b.Recordf("BROKEN %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, text)
}

// Verdict prints the broken rules and returns the exit code of the case.
func (b *Bed) Verdict() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.violations {
		fmt.Println("broken:", v)
	}
	if len(b.violations) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}

// Close ends all processes that the bed started, and the stand-ins.
func (b *Bed) Close() {
	b.release()
	b.cancel()
	b.endProcesses()
	if b.Service != nil {
		b.Service.close()
	}
	if err := b.group.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", b.folder)
		return
	}
	if err := os.RemoveAll(b.folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func (b *Bed) endProcesses() {
	for _, p := range append(append([]*Process(nil), b.Proxies...), b.Controls...) {
		p.end()
	}
}

// prepare writes the settings file.
func (p *Process) prepare(seeds, platform string) error {
	text := fmt.Sprintf(`nodeName=%s
role=%s
zone=%s
region=wa-west
ipAddress=%s
internalPortRange=%d,%d
seedNodes=%s
bootstrap=true
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.fileDescriptors=4200
limits.linkMbps=1000.0
discovery=registry
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,recover,sql
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactWindowMs=4000
bounds.ackTimeoutMs=5000
bounds.catchUpS=4
bounds.drainTimeoutMs=7000
bounds.gracePeriodS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=12000
bounds.recoveryS=12
bounds.fencingRequired=false
bounds.thawSlackMs=300
config_mode=highest
cloudApi.address=%s
cloudApi.ratePerS=50.0
cloudApi.duties=promotion
cloudApi.dutyPerS=50.0
`, p.Name, p.role, p.Zone, p.address, portOfPeers, portOfPeers, seeds, platform)
	switch p.role {
	case "proxy":
		text += fmt.Sprintf("machineClass=frontend\nserves=frontend\nlistenAddresses.frontend=%s:%d\nlistenAddresses.ready=%s:%d\n", p.address, portOfClients, p.address, portOfReadiness)
	default:
		data := filepath.Join(p.bed.folder, "data-"+p.Name)
		text += fmt.Sprintf("machineClass=core\nserves=control_plane\nlistenAddresses.controlPlane=%s:%d\ndataDirectory=%s\n", p.address, portOfControl, data)
	}
	p.settings = filepath.Join(p.bed.folder, p.Name+".conf")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	p.output, err = os.Create(filepath.Join(p.bed.folder, p.Name+".log"))
	return err
}

// start starts the process with the command of the deploy file.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bed.ctx.Err() != nil {
		return p.bed.ctx.Err()
	}
	p.cmd = exec.Command(program, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BURDOCKWOOD_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	return p.cmd.Start()
}

// Kill kills the process and starts it again after restartDelay, as the platform does.
func (p *Process) Kill() error {
	p.bed.Recordf("SIGKILL to %s", p.Name)
	p.end()
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	// The whole system starts for the first time only once.
	if err := os.WriteFile(p.settings, []byte(strings.ReplaceAll(string(settings), "bootstrap=true", "bootstrap=false")), 0o600); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	p.bed.Recordf("%s starts again", p.Name)
	return p.start()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.bed.Recordf("%s to %s", s, p.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// end kills the process and waits until it has ended.
func (p *Process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	// A process that has ended can't be killed, and Wait reports the kill.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// Entry returns the address at which a proxy serves clients.
func (p *Process) Entry() string { return fmt.Sprintf("%s:%d", p.address, portOfClients) }

// AwaitReady polls the ready probe of a proxy as the platform does, more often, and
// reports whether it answered 200 in time.
func (p *Process) AwaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", p.address, portOfReadiness))
		if err != nil {
			continue
		}
		if response.Body.Close() == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Metrics returns what a process exposes at the metrics address of the deploy file.
func (p *Process) Metrics() (string, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.address, metricsPort))
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), errors.Join(err, response.Body.Close())
}
