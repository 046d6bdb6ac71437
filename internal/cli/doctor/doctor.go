// Package doctor implements the command that checks the system for problems and
// suggests a fix for each.
//
// # Usage
//
//	cmd := doctor.NewCmdDoctor(f)
//
// The checks of control's status, in check.go, are pure functions.
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
	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	levelOK      = "ok"
	levelWarning = "warning"
	levelError   = "error"

	probeTimeout = 2 * time.Second
	// maxSkew leaves a margin because the HTTP Date header has whole seconds.
	maxSkew = 2 * time.Second
)

var errFindings = eris.New("the checks found problems")

type (
	// finding is the result of one check.
	finding struct {
		level string
		check string
		text  string
		fix   string
	}

	doctorOptions struct {
		output.Options
		Admins []string `long:"admin" value-name:"IP:PORT" description:"admin address of a proxy, to check the refusals and keys of customers too; may be repeated"`
		Data   string   `long:"data" value-name:"DIR" description:"check this data folder of a control node too"`
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
		Short: "Check the system for problems and suggest fixes",
		Long: `Check the system for problems and suggest fixes. The checks cover the
reachability and clocks of the control nodes, their number, the versions on
proxies, groups without enough servers, the sums of connections to each server,
disk space and, with --admin, customers of which many operations are refused or
whose keys nobody uses. The exit code is 1 if a check found an error.`,
		Example: `burdockwood doctor
burdockwood doctor --admin 10.0.0.5:9100 --admin 10.0.0.6:9100
burdockwood doctor --data /var/lib/burdockwood --json level,check,text,fix`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return doctorRun(ctx, f, options)
		},
	}
}

// Check returns all problems of the flags.
func (o *doctorOptions) Check() settings.Problems {
	return append(o.Client.Check(), scrape.CheckAddresses(o.Admins)...)
}

func doctorRun(ctx context.Context, f *factory.Factory, options *doctorOptions) error {
	findings := probeNodes(ctx, f, options.Client)
	findings = append(findings, checkSystem(ctx, f, options)...)
	if options.Data != "" {
		findings = append(findings, checkDisk(options.Data)...)
	}
	if err := output.Write(f.Streams, columns, findings, options.JSON); err != nil {
		return err
	}
	errorCount := 0
	for _, found := range findings {
		if found.level == levelError {
			errorCount++
		}
	}
	if errorCount > 0 {
		return exit.New(exit.Failed, exit.WithDetail(errFindings, "%d errors", errorCount), "")
	}
	return nil
}

// checkSystem checks the status and the declarations of the leading control node, and the
// customers' operations at the proxies whose admin addresses are given.
func checkSystem(ctx context.Context, f *factory.Factory, options *doctorOptions) []finding {
	status, err := factory.FetchStatus(ctx, f, options.Client)
	if err != nil {
		return []finding{{level: levelError, check: "leader", text: err.Error(), fix: "start the control nodes so that a majority runs"}}
	}
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return []finding{{level: levelError, check: "declarations", text: err.Error()}}
	}
	findings := checkStatus(status, current.Declarations)
	return append(findings, checkCustomers(ctx, options.Admins, current.Declarations)...)
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

// probeNode sends a request to one control node. It checks whether the node
// responds and accepts the key, and compares the clocks by the response's Date
// header.
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
		return finding{level: levelError, check: check, text: "can't be reached: " + err.Error(), fix: "start the node, or check its address and the network"}
	}
	defer func() { _ = response.Body.Close() }()
	end := now()
	if response.StatusCode == http.StatusUnauthorized {
		return finding{level: levelError, check: check, text: "refuses the key", fix: "set --key-file to the system's key file"}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		if skew := skewOf(date, start, end); skew > maxSkew {
			return finding{level: levelWarning, check: check, text: fmt.Sprintf("its clock differs by %v", skew.Round(time.Second)), fix: "synchronize the clocks of the VMs"}
		}
	}
	return finding{level: levelOK, check: check, text: fmt.Sprintf("answers in %v", end.Sub(start).Round(time.Microsecond))}
}

// skewOf returns the least difference between the local clock and a clock that
// showed date at some time between start and end. date is truncated to seconds.
func skewOf(date, start, end time.Time) time.Duration {
	return max(0, start.Sub(date.Add(time.Second)), date.Sub(end))
}
