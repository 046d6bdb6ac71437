// Package wal stores the log, the hard state and the snapshots of a control
// node durably in one data folder.
//
// # Usage
//
//	folder, err := wal.OpenFolder("/var/lib/burdockwood")
//	log, opened, err := wal.Open(folder, "control-1")
//	err = log.Save(hardState, entries)      // durable when it returns
//	err = log.SaveSnapshot(snapshot, hardState, entriesAfterIt)
//
// An error of Save or SaveSnapshot is fatal: what the disk holds isn't known
// any more, so the process must end; a restart reads what is durable.
//
// # Files
//
//   - "identity" names the node and its disk. It is the last file written when
//     the folder is created. A folder without it is new.
//   - "log-<sequence>" is a segment: a header, then frames. Its first frame is
//     a base: the hard state, the position of the snapshot and the entries
//     after it. Each further frame is one Save.
//   - "snapshot-<index>" is a snapshot.
//
// Each file begins with a header: eight bytes that name its kind and format
// version, its sequence number and a checksum. A
// frame is its length, the CRC-32C of its place and payload, and the payload.
//
// # Crashes
//
// A Save writes one frame and syncs it before the next one begins, so only the
// last frame can be incomplete: it is cut off when the log is opened. A
// damaged frame with a sound one behind it was durable once: that is an error,
// never cut off. A snapshot is written to a temporary file, synced and renamed,
// and counts only once a new segment with a base that names it is durable;
// then the older files are removed.
package wal
