// Package dev runs a whole system in one process, for a newcomer's machine.
//
// # Usage
//
//	err := dev.Run(ctx, dev.Options{Folder: folder}, os.Stdout, logger)
//
// One control node, one proxy and three stand-in backend servers with a small
// ledger listen on loopback. Nothing is kept: the data folder is a temporary
// one unless Options.Folder names another.
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
	// DefaultListen is where callers connect.
	DefaultListen = "127.0.0.1:6432"
	// DefaultControl is where operators' commands connect.
	DefaultControl = "127.0.0.1:7400"

	serverCount   = 3
	slots         = 4
	connections   = 16
	connectDelay  = 10 * time.Millisecond
	replicaLag    = 20 * time.Millisecond
	deadline      = 5 * time.Second
	drainTime     = 2 * time.Second
	maxCallers    = 1000
	readyTimeout  = 20 * time.Second
	readyTry      = time.Second
	readyPause    = 50 * time.Millisecond
	group         = "ledger"
	dataCentre    = "local"
	backendUser   = "burdockwood"
	declareChange = "dev-first"

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

// ErrNotReady tells that the system didn't come up in time.
var ErrNotReady = eris.New("the system did not come up: the log above says why")

// Options adjust the system.
type Options struct {
	// Listen is the IP:port for callers.
	Listen string
	// Control is the IP:port for operators' commands.
	Control string
	// DataFolder keeps the data; empty: a temporary folder that is removed.
	DataFolder string
}

// Run runs the system until ctx ends. Once it is up, it writes how to connect
// to out.
func Run(ctx context.Context, options Options, out io.Writer, logger logr.Logger) error {
	options = withDefaults(options)
	folder, remove, err := dataFolder(options.DataFolder)
	if err != nil {
		return err
	}
	defer remove()
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
	addGreeting(ctx, &actors, options, out)
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

// add runs fn until the group ends.
func add(ctx context.Context, actors *run.Group, fn func(ctx context.Context) error) {
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
	add(ctx, actors, func(ctx context.Context) error {
		return controldaemon.Run(ctx, control, logger.WithName("control"))
	})
}

func addServers(ctx context.Context, actors *run.Group, options Options, folder string, logger logr.Logger) error {
	control, err := netip.ParseAddrPort(options.Control)
	if err != nil {
		return eris.Wrapf(err, "--control %q: want IP:port", options.Control)
	}
	for i := range serverCount {
		name := fmt.Sprintf("server-%d", i+1)
		server := standindaemon.Options{
			Listen:         "127.0.0.1:0",
			DataFolder:     filepath.Join(folder, name),
			Server:         cluster.ServerName(name),
			Group:          group,
			DataCentre:     dataCentre,
			Control:        []netip.AddrPort{control},
			Slots:          slots,
			MaxConnections: connections,
			ConnectDelay:   connectDelay,
			ApplyLag:       replicaLag,
		}
		add(ctx, actors, func(ctx context.Context) error {
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
		Deadline:    deadline,
		MaxCallers:  maxCallers,
	}
	add(ctx, actors, func(ctx context.Context) error {
		return proxydaemon.Run(ctx, proxy, logger.WithName("proxy"))
	})
}

// addGreeting declares the group, waits for its primary and tells how to
// connect.
func addGreeting(ctx context.Context, actors *run.Group, options Options, out io.Writer) {
	add(ctx, actors, func(ctx context.Context) error {
		if err := declareAndWait(ctx, options); err != nil {
			return err
		}
		address, err := netip.ParseAddrPort(options.Listen)
		if err != nil {
			return eris.Wrapf(err, "--listen %q: want IP:port", options.Listen)
		}
		if err := createLedger(ctx, address); err != nil {
			return err
		}
		fmt.Fprintf(out, "burdockwood is up. Connect with\n\n")
		fmt.Fprintf(out, "    psql 'host=%s port=%d dbname=%s user=officer sslmode=disable' -c 'select * from allowance'\n\n", address.Addr(), address.Port(), group)
		fmt.Fprintf(out, "and look at it with\n\n    go run ./cmd/burdockwood group list --control=%s\n\nEnd it with Ctrl-C.\n", options.Control)
		<-ctx.Done()
		return nil
	})
}

func declareAndWait(ctx context.Context, options Options) error {
	address, err := netip.ParseAddrPort(options.Control)
	if err != nil {
		return eris.Wrapf(err, "--control %q: want IP:port", options.Control)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := leader.New([]netip.AddrPort{address}, transport.NewClient("", transport.Options{}))
	err = client.Do(ctx, readyTry, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Apply(ctx, &controlpb.ApplyRequest{Declarations: declarations, ChangeId: declareChange, Author: "dev"})
		return err
	})
	if err != nil {
		return eris.Wrap(ErrNotReady, err.Error())
	}
	for !hasPrimary(ctx, client) {
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrNotReady, "the group has no primary")
		case <-time.After(readyPause):
		}
	}
	return nil
}

func hasPrimary(ctx context.Context, client *leader.Client) bool {
	found := false
	_ = client.Do(ctx, readyTry, func(ctx context.Context, control controlpb.Control) error {
		status, err := control.Status(ctx, &controlpb.StatusRequest{})
		for _, g := range status.GetGroups() {
			found = found || (g.GetName() == group && g.GetPrimary() != "")
		}
		return err
	})
	return found
}

// createLedger fills the ledger through the proxy, as a caller would.
func createLedger(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d dbname=%s user=officer sslmode=disable", address.Addr(), address.Port(), group))
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
		case <-time.After(readyPause):
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
