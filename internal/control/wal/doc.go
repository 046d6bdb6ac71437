// Package wal is the write-ahead log of a control node: it stores the log, the hard
// state (term, vote, commit index and cluster ID) and the snapshots of the consensus
// protocol durably in one data folder.
//
// # Usage
//
//	folder, err := wal.OpenFolder("/var/lib/burdockwood")
//	log, recovered, err := wal.Open(folder, "control-1")
//	err = log.Save(hardState, entries)      // durable when it returns
//	err = log.SaveSnapshot(snapshot, hardState, entriesAfterIt)
//
// An error of Save or SaveSnapshot is fatal: the contents of the disk are unknown
// from then on, so the log must not be used any more. Opening the folder again
// reads what is durable.
//
// # Files
//
//   - "identity" holds the node's name and the ID of its disk. It is the last file
//     written when the folder is created. A folder without it is new.
//   - "founders" holds the nodes with which this disk may create a cluster. A disk
//     that came later doesn't have it.
//   - "log-<sequence>" is a segment: a header, then frames. Its first frame is
//     a base: the hard state, the index of the snapshot and the entries after
//     it. Each further frame is one Save.
//   - "snapshot-<index>" is a snapshot.
//
// Each file begins with a header: eight bytes that identify its kind and format
// version, its sequence number and a checksum. A frame consists of its length, a
// checksum and the payload. The checksum is the CRC-32C of the file's sequence
// number, the frame's offset and the payload.
//
// # Crashes
//
// A Save writes one frame and syncs it before the next one begins, so only the
// last frame can be incomplete: it is truncated when the log is opened. A damaged
// frame followed by a valid one was durable once: that is an error, and nothing is
// truncated. A snapshot is written to a temporary file, synced and renamed. It
// takes effect only once a new segment with a base that refers to it is durable;
// then the older files are removed.
package wal
