// Package peerpb holds the generated messages of the consensus protocol
// between control nodes, and of the files in a control node's data folder.
//
// # Usage
//
//	batch := &peerpb.Batch{Version: 1}
//	payload, err := proto.Marshal(batch)
//
// The package internal/control/codec turns them into the types of
// internal/control/quorum. Run "go generate ./internal/rpc/peerpb" after a
// change of peer.proto.
package peerpb

//go:generate protoc --go_out=paths=source_relative:. peer.proto
