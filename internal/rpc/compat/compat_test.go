// Package compat checks that builds that run side by side understand each other's
// messages: testdata holds the descriptors of earlier builds.
//
// # Usage
//
// After a release, add the descriptors of its messages, named after its commit:
//
//	protoc -I internal/rpc/fleetpb --descriptor_set_out=fleet-COMMIT.binpb fleet.proto
package compat

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/peerpb"
)

// current holds the files of this build by the first word of the names in testdata.
var current = map[string]protoreflect.FileDescriptor{
	"control": controlpb.File_control_proto, "fleet": fleetpb.File_fleet_proto, "peer": peerpb.File_peer_proto,
}

// earlierFile returns the file whose descriptor is stored at path.
func earlierFile(t *testing.T, path string) protoreflect.FileDescriptor {
	t.Helper()
	encoded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var set descriptorpb.FileDescriptorSet
	if err := proto.Unmarshal(encoded, &set); err != nil {
		t.Fatal(err)
	}
	file, err := protodesc.NewFile(set.GetFile()[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// TestMessagesOfEarlierBuilds fails if a field or an enum value of an earlier build has gone
// without being reserved, or has another number, type or name, if a reserved number is used
// again, or if a call has gone.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.binpb")
	if err != nil || len(paths) < len(current) {
		t.Fatalf("got %d files of earlier builds, %v, want one or more of each kind", len(paths), err)
	}
	for _, path := range paths {
		kind, _, _ := strings.Cut(filepath.Base(path), "-")
		earlier, now := earlierFile(t, path), current[kind]
		if now == nil {
			t.Fatalf("%s: no messages of this build", path)
		}
		compareMessages(t, path, earlier.Messages(), now.Messages())
		compareServices(t, path, earlier.Services(), now.Services())
	}
}

func compareMessages(t *testing.T, path string, earlier, now protoreflect.MessageDescriptors) {
	for i := range earlier.Len() {
		before := earlier.Get(i)
		after := now.ByName(before.Name())
		if after == nil {
			t.Errorf("%s: message %s has gone", path, before.Name())
			continue
		}
		compareFields(t, path, before, after)
		compareEnums(t, path, before.Enums(), after.Enums())
		compareMessages(t, path, before.Messages(), after.Messages())
	}
}

func compareFields(t *testing.T, path string, before, after protoreflect.MessageDescriptor) {
	for i := range before.Fields().Len() {
		old := before.Fields().Get(i)
		field := after.Fields().ByNumber(old.Number())
		switch {
		case field == nil && !after.ReservedRanges().Has(old.Number()):
			t.Errorf("%s: field %s has gone, and its number %d isn't reserved", path, old.FullName(), old.Number())
		case field == nil:
		case field.Name() != old.Name() || field.Kind() != old.Kind() || field.Cardinality() != old.Cardinality() || typeName(field) != typeName(old):
			t.Errorf("%s: field %d of %s was %s %s %s, is %s %s %s", path, old.Number(), before.Name(),
				old.Cardinality(), old.Kind(), old.Name(), field.Cardinality(), field.Kind(), field.Name())
		}
	}
	for i := range after.Fields().Len() {
		if field := after.Fields().Get(i); before.ReservedRanges().Has(field.Number()) {
			t.Errorf("%s: field %s has the number %d, which an earlier build had reserved", path, field.FullName(), field.Number())
		}
	}
}

// typeName returns the name of a field's message or enum; empty: it has another type.
func typeName(field protoreflect.FieldDescriptor) protoreflect.FullName {
	switch {
	case field.Message() != nil:
		return field.Message().FullName()
	case field.Enum() != nil:
		return field.Enum().FullName()
	default:
		return ""
	}
}

func compareEnums(t *testing.T, path string, earlier, now protoreflect.EnumDescriptors) {
	for i := range earlier.Len() {
		before := earlier.Get(i)
		after := now.ByName(before.Name())
		if after == nil {
			t.Errorf("%s: enum %s has gone", path, before.FullName())
			continue
		}
		for j := range before.Values().Len() {
			old := before.Values().Get(j)
			if value := after.Values().ByNumber(old.Number()); value == nil || value.Name() != old.Name() {
				t.Errorf("%s: value %s = %d has gone or has another name", path, old.FullName(), old.Number())
			}
		}
	}
}

func compareServices(t *testing.T, path string, earlier, now protoreflect.ServiceDescriptors) {
	for i := range earlier.Len() {
		before := earlier.Get(i)
		after := now.ByName(before.Name())
		if after == nil {
			t.Errorf("%s: service %s has gone", path, before.Name())
			continue
		}
		for j := range before.Methods().Len() {
			old := before.Methods().Get(j)
			call := after.Methods().ByName(old.Name())
			if call == nil || call.Input().FullName() != old.Input().FullName() || call.Output().FullName() != old.Output().FullName() {
				t.Errorf("%s: call %s has gone or takes other messages", path, old.FullName())
			}
		}
	}
}
