// Package doctor holds the command that looks for what is wrong with the
// system and says how to mend it.
//
// # Usage
//
//	cmd := doctor.NewCmdDoctor(f)
//
// The checks on a status (check.go) are pure functions.
package doctor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	levelOK      = "ok"
	levelWarning = "warning"
	levelError   = "error"

	probeTimeout = 2 * time.Second
	// maxSkew allows for the seconds that the HTTP date cuts off.
	maxSkew = 2 * time.Second
)

var errFindings = eris.New("something is wrong")

type (
	// finding is the outcome of one check.
	finding struct {
		level string
		check string
		text  string
		fix   string
	}

	doctorOptions struct {
		output.Options
		Data string `long:"data" value-name:"DIR" description:"check this data folder of a control node too"`
		settings.Client
	}
)

var columns = []output.Column[finding]{
	{Name: "level", Value: func(f finding) any { return f.level }},
	{Name: "check", Value: func(f finding) any { return f.check }},
	{Name: "text", Value: func(f finding) any { return f.text }},
	{Name: "fix", Value: func(f finding) any { return f.fix }},
}

// NewCmdDoctor returns the command "doctor".
func NewCmdDoctor(f *factory.Factory) *command.Command {
	options := &doctorOptions{}
	return &command.Command{
		Name:  "doctor",
		Short: "Look for what is wrong and tell the fix",
		Long: `Look for what is wrong and tell the fix: reachability and clocks of control
nodes, members, versions on proxies, groups without enough servers, sums of
connections, and disk space. The exit code is 1 if a check found an error.`,
		Example: `burdockwood doctor
burdockwood doctor --data /var/lib/burdockwood --json level,check,text,fix`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return doctorRun(ctx, f, options)
		},
	}
}

func doctorRun(ctx context.Context, f *factory.Factory, options *doctorOptions) error {
	findings := probeNodes(ctx, f, options.Client)
	findings = append(findings, checkSystem(ctx, f, options.Client)...)
	if options.Data != "" {
		findings = append(findings, checkDisk(options.Data)...)
	}
	if err := output.Write(f.Streams, columns, findings, options.JSON); err != nil {
		return err
	}
	errors := 0
	for _, found := range findings {
		if found.level == levelError {
			errors++
		}
	}
	if errors > 0 {
		return exit.New(exit.Failed, exit.WithDetail(errFindings, "%d errors", errors), "")
	}
	return nil
}

// checkSystem checks what the leader knows.
func checkSystem(ctx context.Context, f *factory.Factory, options settings.Client) []finding {
	status, err := factory.FetchStatus(ctx, f, options)
	if err != nil {
		return []finding{{level: levelError, check: "leader", text: err.Error(), fix: "start the control nodes so that a majority runs"}}
	}
	current, err := declarations.Fetch(ctx, f, options, 0)
	if err != nil {
		return []finding{{level: levelError, check: "declarations", text: err.Error()}}
	}
	return checkStatus(status, current.Declarations)
}

func probeNodes(ctx context.Context, f *factory.Factory, options settings.Client) []finding {
	_, client, err := f.Client(options)
	if err != nil {
		return []finding{{level: levelError, check: "key", text: err.Error()}}
	}
	var findings []finding
	for _, address := range options.ControlAddresses() {
		findings = append(findings, probeNode(ctx, client, address, f.Now))
	}
	return findings
}

// probeNode asks one control node for anything; the answer's status and date
// tell what is to be known.
func probeNode(ctx context.Context, client *http.Client, address netip.AddrPort, now func() time.Time) finding {
	check := "control " + address.String()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, transport.URL(address), nil)
	if err != nil {
		return finding{level: levelError, check: check, text: err.Error()}
	}
	start := now()
	response, err := client.Do(request)
	if err != nil {
		return finding{level: levelError, check: check, text: "is not reached: " + err.Error(), fix: "start the node, or check its address and the network"}
	}
	defer func() { _ = response.Body.Close() }()
	end := now()
	if response.StatusCode == http.StatusUnauthorized {
		return finding{level: levelError, check: check, text: "refuses the key", fix: "give the system's key file by --key-file"}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		if skew := skewOf(date, start, end); skew > maxSkew {
			return finding{level: levelWarning, check: check, text: fmt.Sprintf("its clock differs by %v", skew.Round(time.Second)), fix: "synchronize the clocks of the VMs"}
		}
	}
	return finding{level: levelOK, check: check, text: fmt.Sprintf("answers in %v", end.Sub(start).Round(time.Microsecond))}
}

// skewOf returns by how much a clock that showed date between start and end
// differs at least.
func skewOf(date, start, end time.Time) time.Duration {
	return max(0, start.Sub(date.Add(time.Second)), date.Sub(end))
}
