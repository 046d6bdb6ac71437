package codec

import (
	"net/netip"
	"reflect"
	"testing"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/rpc/peerpb"
)

func TestMessagesRoundTrip(t *testing.T) {
	id := quorum.ID{Node: "control-1", Disk: 1 << 63}
	config := &quorum.Configuration{
		Members:    []quorum.Member{{ID: id, Address: netip.MustParseAddrPort("[fd00::1]:7400")}},
		RetiredIDs: []quorum.ID{{Node: "control-1", Disk: 7}},
	}
	want := []quorum.Message{{
		Kind: quorum.MessageAppend, From: id, To: quorum.ID{Node: "control-2", Disk: 2}, ClusterID: 3, Term: 4,
		Index: 5, LogTerm: 6, Commit: 7, Round: 8, Reject: true, Hint: 9, HintTerm: 10,
		Entries: []quorum.Entry{
			{Index: 6, Term: 4, Kind: quorum.EntryCommand, Data: []byte("a")},
			{Index: 7, Term: 4, Kind: quorum.EntryConfiguration, Configuration: config},
		},
		Configuration: config, Offset: 11, Total: 12, Chunk: []byte("b"), MembersDigest: 13,
	}}
	payload, err := EncodeMessages(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeMessages(payload); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
}

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	entries := func(list ...*peerpb.Entry) *peerpb.Batch {
		return &peerpb.Batch{Version: version, Messages: []*peerpb.Message{{Entries: list}}}
	}
	tests := []struct {
		name  string
		batch *peerpb.Batch
		want  error
	}{
		{name: "newer version", batch: &peerpb.Batch{Version: version + 1}, want: ErrVersion},
		{name: "unknown kind of entry", batch: entries(&peerpb.Entry{Index: 1, Kind: 9}), want: ErrVersion},
		{name: "gap between entries", batch: entries(&peerpb.Entry{Index: 1}, &peerpb.Entry{Index: 3}), want: ErrMalformed},
		{name: "configuration entry without configuration", batch: entries(&peerpb.Entry{Index: 1, Kind: 2}), want: ErrMalformed},
		{name: "huge counter", batch: &peerpb.Batch{Version: version, Messages: []*peerpb.Message{{Term: 1 << 62}}}, want: ErrMalformed},
		{name: "invalid address", batch: entries(&peerpb.Entry{Index: 1, Kind: 2, Configuration: &peerpb.Configuration{
			Members: []*peerpb.Member{{Address: "control-1:7400"}},
		}}), want: ErrMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			payload, err := proto.Marshal(test.batch)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeMessages(payload); !eris.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}
