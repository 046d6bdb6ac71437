package adapter_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// fakeServer accepts one connection and responds to each statement with the
// message that responses has for it.
type fakeServer struct {
	responses map[string]pgproto3.BackendMessage
	// startupParameters are the parameters of the client's start-up message.
	startupParameters map[string]string
}

func (f *fakeServer) serve(conn net.Conn) error {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	first, err := backend.ReceiveStartupMessage()
	if err != nil {
		return err
	}
	f.startupParameters = first.(*pgproto3.StartupMessage).Parameters
	backend.Send(&pgproto3.AuthenticationOk{})
	for {
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if err := backend.Flush(); err != nil {
			return err
		}
		message, err := backend.Receive()
		if err != nil {
			return err
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			return nil
		}
		f.respond(backend, query.String)
	}
}

func (f *fakeServer) respond(backend *pgproto3.Backend, statement string) {
	response, ok := f.responses[statement]
	if !ok {
		response = &pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "unexpected " + statement}
	}
	if _, row := response.(*pgproto3.DataRow); row {
		var fields []pgproto3.FieldDescription
		for _, name := range adapter.StatusColumns {
			fields = append(fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1})
		}
		backend.Send(&pgproto3.RowDescription{Fields: fields})
	}
	backend.Send(response)
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func statusRow(columns string) *pgproto3.DataRow {
	var values [][]byte
	for _, column := range strings.Fields(columns) {
		values = append(values, []byte(column))
	}
	return &pgproto3.DataRow{Values: values}
}

// dial serves fake on a listener and returns a connection to it.
func dial(t *testing.T, fake *fakeServer) adapter.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		return fake.serve(conn)
	})
	server, err := adapter.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), adapter.Credentials{User: "u"})
	if err != nil {
		t.Fatalf("Dial: %v", err)
	}
	t.Cleanup(func() {
		_ = server.Close()
		_ = listener.Close()
		_ = group.Wait()
	})
	return server
}

func TestServerSendsPlatformStatements(t *testing.T) {
	t.Setenv("PGDATABASE", "elsewhere")
	fake := &fakeServer{responses: map[string]pgproto3.BackendMessage{
		"PLATFORM STATUS":                  statusRow("s1 g dc primary 3 2/8 2/7 t"),
		"PLATFORM WAIT 3 812 50":           statusRow("s1 g dc replica 3 3/812 2/7 f"),
		"PLATFORM PROMISE 2":               &pgproto3.ErrorResponse{Severity: "ERROR", Code: adapter.StateStaleTerm, Message: "promised 3"},
		"PLATFORM PROMOTE 4":               &pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Message: "not promised"},
		"PLATFORM FOLLOW 4 127.0.0.1:5432": statusRow("s1 g dc replica many 2/8 2/7 f"),
	}}
	server := dial(t, fake)
	ctx := context.Background()
	status, err := server.Status(ctx)
	want := cluster.ServerStatus{
		Server: "s1", Group: "g", DataCentre: "dc", Role: cluster.RolePrimary, Promised: 3, Leaving: true,
		Received: cluster.LogPosition{Term: 2, Position: 8}, Applied: cluster.LogPosition{Term: 2, Position: 7},
	}
	if err != nil || status != want {
		t.Errorf("Status = %+v, %v, want %+v", status, err, want)
	}
	if got := fake.startupParameters["database"]; got != adapter.AdminDatabase {
		t.Errorf("database = %q, want %q", got, adapter.AdminDatabase)
	}
	if status, err := server.Wait(ctx, cluster.LogPosition{Term: 3, Position: 812}, 50*time.Millisecond); err != nil || status.Received.Position != 812 {
		t.Errorf("Wait = %+v, %v, want position 812", status, err)
	}
	if _, err := server.Promise(ctx, 2); !errors.Is(err, adapter.ErrStaleTerm) {
		t.Errorf("Promise(2) error = %v, want ErrStaleTerm", err)
	}
	if _, err := server.Promote(ctx, 4); !errors.Is(err, adapter.ErrRejected) || errors.Is(err, adapter.ErrUnreachable) {
		t.Errorf("Promote(4) error = %v, want ErrRejected", err)
	}
	if _, err := server.Follow(ctx, 4, netip.MustParseAddrPort("127.0.0.1:5432")); !errors.Is(err, adapter.ErrRejected) {
		t.Errorf("Follow with a malformed row: error = %v, want ErrRejected", err)
	}
}

func TestDialReportsTimeoutAndRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = adapter.Dial(ctx, address, adapter.Credentials{})
	if !errors.Is(err, adapter.ErrUnreachable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Dial of an unresponsive server: error = %v, want ErrUnreachable and a timeout", err)
	}
	_ = listener.Close()
	_, err = adapter.Dial(context.Background(), address, adapter.Credentials{})
	if !errors.Is(err, adapter.ErrUnreachable) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("Dial of a closed port: error = %v, want ErrUnreachable and ECONNREFUSED", err)
	}
}
