// Package dev runs a complete system in one process, for trying it out on one
// machine.
//
// # Usage
//
//	err := dev.Run(ctx, dev.Options{DataFolder: folder}, os.Stdout, logger)
//
// The system has one control node, one proxy and three stand-in backend servers
// with a small ledger, which listen on the loopback interface. The data is in a
// temporary folder that is removed at the end, unless Options.DataFolder names
// another.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	controldaemon "github.com/burdockwood/burdockwood/internal/control/daemon"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	proxydaemon "github.com/burdockwood/burdockwood/internal/proxy/daemon"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	standindaemon "github.com/burdockwood/burdockwood/internal/standin/daemon"
)

const (
	// DefaultListen is the default IP:port for callers.
	DefaultListen = "127.0.0.1:6432"
	// DefaultControl is the default IP:port for the operators' commands.
	DefaultControl = "127.0.0.1:7400"

	serverCount          = 3
	slotsPerServer       = 4
	connectionsPerServer = 16
	connectDelay         = 10 * time.Millisecond
	replicaApplyLag      = 20 * time.Millisecond
	requestDeadline      = 5 * time.Second
	drainTime            = 2 * time.Second
	maxCallers           = 1000
	readyTimeout         = 20 * time.Second
	readyAttemptTimeout  = time.Second
	readyPollInterval    = 50 * time.Millisecond
	groupName            = "ledger"
	dataCentre           = "local"
	backendUser          = "burdockwood"
	declareChangeID      = "dev-first"

	declarations = `format: burdockwood-1
groups:
  - name: ledger
    labels: {tier: ledger}
    servers: 3
selectors:
  - name: everyone
    priority: 1
    groups: {tier: ledger}
    tenant: dev
    weight: 1
    deadline: 5s
`
	schema = `create table if not exists allowance (id integer primary key, member text not null, cents integer not null);
insert or ignore into allowance values (1, 'kim', 4500);
insert or ignore into allowance values (2, 'lee', 5200)`
)

// ErrNotReady means that the system didn't become ready in time.
var ErrNotReady = eris.New("the system did not become ready in time: see the log above")

// Options configure the system.
type Options struct {
	// Listen is the IP:port for callers; empty means DefaultListen.
	Listen string
	// Control is the IP:port for the operators' commands; empty means
	// DefaultControl.
	Control string
	// DataFolder stores the data. If it is empty, a temporary folder is used,
	// which is removed when Run returns.
	DataFolder string
}

// Run runs the system until ctx ends. Once the system is ready, Run writes to
// out how to connect to it. If a step of the set-up takes more than 20 s, the
// error is ErrNotReady.
func Run(ctx context.Context, options Options, out io.Writer, logger logr.Logger) error {
	options = withDefaults(options)
	folder, cleanUp, err := dataFolder(options.DataFolder)
	if err != nil {
		return err
	}
	defer cleanUp()
	peer, err := freeAddress()
	if err != nil {
		return err
	}
	var actors run.Group
	addControl(ctx, &actors, options, folder, logger)
	if err := addServers(ctx, &actors, options, folder, logger); err != nil {
		return err
	}
	addProxy(ctx, &actors, options, peer, logger)
	addSetup(ctx, &actors, options, out)
	return actors.Run()
}

func withDefaults(options Options) Options {
	if options.Listen == "" {
		options.Listen = DefaultListen
	}
	if options.Control == "" {
		options.Control = DefaultControl
	}
	return options
}

// addActor adds fn to the group, with a context that ends with the group.
func addActor(ctx context.Context, actors *run.Group, fn func(ctx context.Context) error) {
	actorCtx, cancel := context.WithCancel(ctx)
	actors.Add(func() error { return fn(actorCtx) }, func(error) { cancel() })
}

func addControl(ctx context.Context, actors *run.Group, options Options, folder string, logger logr.Logger) {
	control := settings.Control{
		Common:      settings.Common{Name: "control-1", DataCentre: dataCentre},
		Listen:      options.Control,
		Data:        filepath.Join(folder, "control-1"),
		Peers:       []string{"control-1=" + options.Control},
		BackendUser: backendUser,
	}
	addActor(ctx, actors, func(ctx context.Context) error {
		return controldaemon.Run(ctx, control, logger.WithName("control"))
	})
}

func addServers(ctx context.Context, actors *run.Group, options Options, folder string, logger logr.Logger) error {
	control, err := netip.ParseAddrPort(options.Control)
	if err != nil {
		return eris.Wrapf(err, "--control %q is not IP:port", options.Control)
	}
	for i := range serverCount {
		name := fmt.Sprintf("server-%d", i+1)
		server := standindaemon.Options{
			Listen:         "127.0.0.1:0",
			DataFolder:     filepath.Join(folder, name),
			Server:         cluster.ServerName(name),
			Group:          groupName,
			DataCentre:     dataCentre,
			Control:        []netip.AddrPort{control},
			Slots:          slotsPerServer,
			MaxConnections: connectionsPerServer,
			ConnectDelay:   connectDelay,
			ApplyLag:       replicaApplyLag,
		}
		addActor(ctx, actors, func(ctx context.Context) error {
			return standindaemon.Run(ctx, server, logger.WithName(name))
		})
	}
	return nil
}

func addProxy(ctx context.Context, actors *run.Group, options Options, peer netip.AddrPort, logger logr.Logger) {
	proxy := settings.Proxy{
		Common:      settings.Common{Name: "proxy-1", DataCentre: dataCentre},
		Listen:      options.Listen,
		Peer:        peer.String(),
		Control:     []string{options.Control},
		BackendUser: backendUser,
		DrainTime:   drainTime,
		Deadline:    requestDeadline,
		MaxCallers:  maxCallers,
	}
	addActor(ctx, actors, func(ctx context.Context) error {
		return proxydaemon.Run(ctx, proxy, logger.WithName("proxy"))
	})
}

// addSetup adds an actor that applies the declarations, waits for the group's
// primary, creates the ledger and writes to out how to connect.
func addSetup(ctx context.Context, actors *run.Group, options Options, out io.Writer) {
	addActor(ctx, actors, func(ctx context.Context) error {
		if err := applyDeclarationsAndWait(ctx, options); err != nil {
			return err
		}
		address, err := netip.ParseAddrPort(options.Listen)
		if err != nil {
			return eris.Wrapf(err, "--listen %q is not IP:port", options.Listen)
		}
		if err := createLedger(ctx, address); err != nil {
			return err
		}
		fmt.Fprintf(out, "burdockwood is up. Connect with\n\n")
		fmt.Fprintf(out, "    psql 'host=%s port=%d dbname=%s user=officer sslmode=disable' -c 'select * from allowance'\n\n", address.Addr(), address.Port(), groupName)
		fmt.Fprintf(out, "and inspect it with\n\n    go run ./cmd/burdockwood group list --control=%s\n\nStop it with Ctrl-C.\n", options.Control)
		<-ctx.Done()
		return nil
	})
}

func applyDeclarationsAndWait(ctx context.Context, options Options) error {
	address, err := netip.ParseAddrPort(options.Control)
	if err != nil {
		return eris.Wrapf(err, "--control %q is not IP:port", options.Control)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := leader.New([]netip.AddrPort{address}, transport.NewClient("", transport.Options{}))
	err = client.Do(ctx, readyAttemptTimeout, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Apply(ctx, &controlpb.ApplyRequest{Declarations: declarations, ChangeId: declareChangeID, Author: "dev"})
		return err
	})
	if err != nil {
		return eris.Wrap(ErrNotReady, err.Error())
	}
	for !hasPrimary(ctx, client) {
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrNotReady, "the group has no primary")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func hasPrimary(ctx context.Context, client *leader.Client) bool {
	found := false
	_ = client.Do(ctx, readyAttemptTimeout, func(ctx context.Context, control controlpb.Control) error {
		status, err := control.Status(ctx, &controlpb.StatusRequest{})
		for _, g := range status.GetGroups() {
			found = found || (g.GetName() == groupName && g.GetPrimary() != "")
		}
		return err
	})
	return found
}

// createLedger creates and fills the ledger through the proxy, as a caller would.
// It retries until readyTimeout has passed.
func createLedger(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d dbname=%s user=officer sslmode=disable", address.Addr(), address.Port(), groupName))
	if err != nil {
		return eris.Wrap(ErrNotReady, err.Error())
	}
	for {
		err := runSchema(ctx, config)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrNotReady, err.Error())
		case <-time.After(readyPollInterval):
		}
	}
}

func runSchema(ctx context.Context, config *pgconn.Config) error {
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, statement := range strings.Split(schema, ";") {
		if _, err := conn.Exec(ctx, statement).ReadAll(); err != nil {
			return err
		}
	}
	return nil
}

func dataFolder(folder string) (string, func(), error) {
	if folder != "" {
		return folder, func() {}, eris.Wrap(os.MkdirAll(folder, 0o700), "data folder")
	}
	temporary, err := os.MkdirTemp("", "burdockwood-dev-")
	if err != nil {
		return "", nil, eris.Wrap(err, "data folder")
	}
	return temporary, func() { os.RemoveAll(temporary) }, nil
}

func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "no free port")
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	return address, eris.Wrap(listener.Close(), "close")
}
