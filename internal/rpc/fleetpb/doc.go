// Package fleetpb holds the generated messages and twirp services for calls
// between proxies and control nodes, and between proxies, in systems where
// leases fence the primaries.
//
// # Usage
//
//	client := fleetpb.NewFleetProtobufClient("http://127.0.0.1:7440", httpClient)
//	response, err := client.Renew(ctx, &fleetpb.RenewRequest{Proxy: "proxy-1"})
//
// The files fleet.pb.go and fleet.twirp.go are generated from fleet.proto and
// committed, so that a build needs no generator. Run "go generate
// ./internal/rpc/fleetpb" after a change.
package fleetpb

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. fleet.proto
