// Package codec encodes and decodes the messages and the stored state of the
// consensus protocol.
//
// # Usage
//
//	payload, err := codec.EncodeMessages(messages)
//	messages, err := codec.DecodeMessages(payload)
//
// The encoding is protocol buffers (internal/rpc/peerpb), so that a newer release can
// decode what an older one encoded. Decoding checks the conditions that the consensus
// protocol relies on, so that bytes from the network can't cause a panic.
package codec

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/peerpb"
)

const (
	// version is the version of a batch of messages. It is raised only for a
	// change that an older release must not ignore, one release after the first
	// that can decode the new version.
	version = 1
	// maxCounter bounds the indexes, terms, offsets and sizes in a message, so
	// that sums of them can't overflow.
	maxCounter = 1 << 60
)

var (
	// ErrMalformed is returned for bytes that aren't a valid encoding.
	ErrMalformed = eris.New("codec: malformed bytes")
	// ErrVersion is returned for an encoding of an unknown version.
	ErrVersion = eris.New("codec: unknown version: upgrade this node")
)

// Frame is one synced write to the log.
type Frame struct {
	// Base is true if the frame replaces all that was written before.
	Base      bool
	HardState quorum.HardState
	Entries   []quorum.Entry
	// SnapshotIndex is the index of the snapshot before Entries; zero: none.
	// Only a base has a snapshot.
	SnapshotIndex uint64
}

// EncodeMessages encodes messages as the payload of one call. Errors: ErrMalformed.
func EncodeMessages(messages []quorum.Message) ([]byte, error) {
	batch := &peerpb.Batch{Version: version}
	for _, m := range messages {
		batch.Messages = append(batch.Messages, messageToPB(m))
	}
	return marshal(batch)
}

// DecodeMessages decodes what EncodeMessages returned. Errors: ErrMalformed,
// ErrVersion.
func DecodeMessages(payload []byte) ([]quorum.Message, error) {
	batch := &peerpb.Batch{}
	if err := unmarshal(payload, batch); err != nil {
		return nil, err
	}
	if batch.GetVersion() != version {
		return nil, eris.Wrapf(ErrVersion, "version %d", batch.GetVersion())
	}
	messages := make([]quorum.Message, 0, len(batch.GetMessages()))
	for _, pb := range batch.GetMessages() {
		m, err := messageFromPB(pb)
		if err != nil {
			return nil, err
		}
		messages = append(messages, m)
	}
	return messages, nil
}

// EncodeFrame encodes a frame. Errors: ErrMalformed.
func EncodeFrame(f Frame) ([]byte, error) {
	pb := &peerpb.Frame{
		Base:          f.Base,
		HardState:     hardStateToPB(f.HardState),
		Entries:       entriesToPB(f.Entries),
		SnapshotIndex: f.SnapshotIndex,
	}
	return marshal(pb)
}

// DecodeFrame decodes what EncodeFrame returned. Errors: ErrMalformed, ErrVersion.
func DecodeFrame(data []byte) (Frame, error) {
	pb := &peerpb.Frame{}
	if err := unmarshal(data, pb); err != nil {
		return Frame{}, err
	}
	entries, err := entriesFromPB(pb.GetEntries())
	if err != nil {
		return Frame{}, err
	}
	return Frame{
		Base:          pb.GetBase(),
		HardState:     hardStateFromPB(pb.GetHardState()),
		Entries:       entries,
		SnapshotIndex: pb.GetSnapshotIndex(),
	}, nil
}

// EncodeSnapshot encodes a snapshot. Errors: ErrMalformed.
func EncodeSnapshot(s *quorum.Snapshot) ([]byte, error) {
	pb := &peerpb.Snapshot{
		Index:         s.Index,
		Term:          s.Term,
		Configuration: configToPB(&s.Configuration),
		Data:          s.Data,
	}
	return marshal(pb)
}

// DecodeSnapshot decodes what EncodeSnapshot returned. Errors: ErrMalformed.
func DecodeSnapshot(data []byte) (*quorum.Snapshot, error) {
	pb := &peerpb.Snapshot{}
	if err := unmarshal(data, pb); err != nil {
		return nil, err
	}
	config, err := configFromPB(pb.GetConfiguration())
	if err != nil {
		return nil, err
	}
	if config == nil {
		return nil, eris.Wrap(ErrMalformed, "snapshot without members")
	}
	return &quorum.Snapshot{
		Index: pb.GetIndex(), Term: pb.GetTerm(), Configuration: *config, Data: pb.GetData(),
	}, nil
}

// EncodeID encodes a member ID. Errors: ErrMalformed.
func EncodeID(id quorum.ID) ([]byte, error) { return marshal(idToPB(id)) }

// DecodeID decodes what EncodeID returned. Errors: ErrMalformed.
func DecodeID(data []byte) (quorum.ID, error) {
	pb := &peerpb.Identity{}
	if err := unmarshal(data, pb); err != nil {
		return quorum.ID{}, err
	}
	return idFromPB(pb), nil
}

func marshal(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

func unmarshal(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func idToPB(id quorum.ID) *peerpb.Identity {
	if id.IsZero() {
		return nil
	}
	return &peerpb.Identity{Node: string(id.Node), Disk: uint64(id.Disk)}
}

func idFromPB(pb *peerpb.Identity) quorum.ID {
	return quorum.ID{Node: cluster.NodeName(pb.GetNode()), Disk: cluster.Incarnation(pb.GetDisk())}
}

func hardStateToPB(s quorum.HardState) *peerpb.HardState {
	return &peerpb.HardState{Term: s.Term, Vote: idToPB(s.Vote), Commit: s.Commit, Cluster: s.ClusterID}
}

func hardStateFromPB(pb *peerpb.HardState) quorum.HardState {
	return quorum.HardState{
		Term: pb.GetTerm(), Vote: idFromPB(pb.GetVote()), Commit: pb.GetCommit(), ClusterID: pb.GetCluster(),
	}
}

func configToPB(c *quorum.Configuration) *peerpb.Configuration {
	if c == nil {
		return nil
	}
	pb := &peerpb.Configuration{}
	for _, m := range c.Members {
		pb.Members = append(pb.Members, &peerpb.Member{Identity: idToPB(m.ID), Address: m.Address.String()})
	}
	for _, id := range c.RetiredIDs {
		pb.Retired = append(pb.Retired, idToPB(id))
	}
	return pb
}

func configFromPB(pb *peerpb.Configuration) (*quorum.Configuration, error) {
	if pb == nil {
		return nil, nil
	}
	if len(pb.GetMembers()) == 0 {
		return nil, eris.Wrap(ErrMalformed, "configuration without members")
	}
	c := &quorum.Configuration{}
	for _, m := range pb.GetMembers() {
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			return nil, eris.Wrapf(ErrMalformed, "address of %q: %v", m.GetIdentity().GetNode(), err)
		}
		c.Members = append(c.Members, quorum.Member{ID: idFromPB(m.GetIdentity()), Address: address})
	}
	for _, id := range pb.GetRetired() {
		c.RetiredIDs = append(c.RetiredIDs, idFromPB(id))
	}
	return c, nil
}

func entriesToPB(entries []quorum.Entry) []*peerpb.Entry {
	list := make([]*peerpb.Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, &peerpb.Entry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data,
			Configuration: configToPB(e.Configuration),
		})
	}
	return list
}

// entriesFromPB decodes entries and checks that they follow each other without a gap.
func entriesFromPB(encoded []*peerpb.Entry) ([]quorum.Entry, error) {
	entries := make([]quorum.Entry, 0, len(encoded))
	for i, pb := range encoded {
		config, err := configFromPB(pb.GetConfiguration())
		if err != nil {
			return nil, err
		}
		e := quorum.Entry{
			Index: pb.GetIndex(), Term: pb.GetTerm(), Kind: quorum.EntryKind(pb.GetKind()),
			Data: pb.GetData(), Configuration: config,
		}
		if pb.GetKind() > uint32(quorum.EntryConfiguration) {
			return nil, eris.Wrapf(ErrVersion, "entry %d has the kind %d", e.Index, pb.GetKind())
		}
		if e.Index == 0 || e.Index != encoded[0].GetIndex()+uint64(i) {
			return nil, eris.Wrapf(ErrMalformed, "entry %d at place %d after entry %d", e.Index, i, encoded[0].GetIndex())
		}
		if (e.Kind == quorum.EntryConfiguration) != (config != nil) {
			return nil, eris.Wrapf(ErrMalformed, "entry %d of kind %d", e.Index, e.Kind)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func messageToPB(m quorum.Message) *peerpb.Message {
	return &peerpb.Message{
		Kind: uint32(m.Kind), From: idToPB(m.From), To: idToPB(m.To), Cluster: m.ClusterID, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round, Reject: m.Reject,
		Hint: m.Hint, HintTerm: m.HintTerm, Entries: entriesToPB(m.Entries),
		Configuration: configToPB(m.Configuration), Offset: m.Offset, Total: m.Total, Chunk: m.Chunk,
		View: m.MembersDigest,
	}
}

func messageFromPB(pb *peerpb.Message) (quorum.Message, error) {
	highest := max(pb.GetTerm(), pb.GetIndex(), pb.GetLogTerm(), pb.GetCommit(), pb.GetHint(), pb.GetOffset(), pb.GetTotal())
	if highest > maxCounter {
		return quorum.Message{}, eris.Wrapf(ErrMalformed, "a counter is %d", highest)
	}
	entries, err := entriesFromPB(pb.GetEntries())
	if err != nil {
		return quorum.Message{}, err
	}
	config, err := configFromPB(pb.GetConfiguration())
	if err != nil {
		return quorum.Message{}, err
	}
	m := quorum.Message{
		Kind: quorum.MessageKind(pb.GetKind()), From: idFromPB(pb.GetFrom()), To: idFromPB(pb.GetTo()),
		ClusterID: pb.GetCluster(), Term: pb.GetTerm(), Index: pb.GetIndex(), LogTerm: pb.GetLogTerm(),
		Commit: pb.GetCommit(), Round: pb.GetRound(), Reject: pb.GetReject(), Hint: pb.GetHint(),
		HintTerm: pb.GetHintTerm(), Entries: entries, Configuration: config, Offset: pb.GetOffset(),
		Total: pb.GetTotal(), Chunk: pb.GetChunk(), MembersDigest: pb.GetView(),
	}
	if m.Kind == quorum.MessageAppend && len(entries) > 0 && entries[0].Index != m.Index+1 {
		return quorum.Message{}, eris.Wrapf(ErrMalformed, "entry %d follows position %d", entries[0].Index, m.Index)
	}
	return m, nil
}
