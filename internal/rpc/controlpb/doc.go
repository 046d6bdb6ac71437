// Package controlpb holds the generated messages and twirp services for calls
// between burdockwood's own processes, and from backend servers and operators to
// the control nodes.
//
// # Usage
//
//	client := controlpb.NewControlProtobufClient("http://127.0.0.1:7400", httpClient)
//	status, err := client.Status(ctx, &controlpb.StatusRequest{})
//
// The files control.pb.go and control.twirp.go are generated from
// control.proto and committed, so that a build needs no generator. Run
// "go generate ./internal/rpc/controlpb" after a change.
package controlpb

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. control.proto
