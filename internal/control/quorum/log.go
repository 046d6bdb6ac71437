package quorum

import "sort"

type (
	// memLog is the log in memory: the entries after base, and the
	// configurations that they and the snapshot carry.
	memLog struct {
		// base is the index of the last dropped entry, baseTerm its term.
		base     uint64
		baseTerm uint64
		entries  []Entry
		// stable is the index of the last entry that is durable here.
		stable  uint64
		commit  uint64
		applied uint64
		// configs is sorted by index.
		configs []indexedConfig
	}

	// indexedConfig is the configuration from the entry at index on.
	indexedConfig struct {
		index  uint64
		config Configuration
	}
)

// last returns the index of the last entry.
func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry.
func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; false if it isn't known.
func (l *memLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// entriesFrom returns the entries from index on, up to maxBytes of data but at
// least one.
func (l *memLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// slice returns the entries in [first, last].
func (l *memLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// appendEntries adds entries at the end of the log.
func (l *memLog) appendEntries(entries ...Entry) {
	for _, e := range entries {
		if e.Kind == EntryConfiguration {
			l.configs = append(l.configs, indexedConfig{index: e.Index, config: *e.Configuration})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entries from index on.
func (l *memLog) truncateFrom(index uint64) {
	kept := int(index - l.base - 1)
	// The capacity is cut too, so that later appends don't overwrite slices that
	// were returned earlier.
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 0 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// reset replaces the log by a snapshot.
func (l *memLog) reset(s *Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.configs = []indexedConfig{{index: s.Index, config: s.Configuration}}
}

// compactTo drops the entries up to index, which a snapshot covers.
func (l *memLog) compactTo(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// configAt returns the newest configuration at or before index.
func (l *memLog) configAt(index uint64) Configuration {
	at := sort.Search(len(l.configs), func(i int) bool { return l.configs[i].index > index })
	if at == 0 {
		return Configuration{}
	}
	return l.configs[at-1].config
}

// compactConfigs drops the configurations that are superseded by a newer one at
// or before index.
func (l *memLog) compactConfigs(index uint64) {
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}

// activeConfigs returns the configurations whose majorities are needed: the
// newest, and the one before while the newest isn't known to be committed.
func (l *memLog) activeConfigs() []Configuration {
	n := len(l.configs)
	if n == 0 {
		return nil
	}
	newest := l.configs[n-1]
	if n > 1 && newest.index > l.commit {
		return []Configuration{l.configs[n-2].config, newest.config}
	}
	return []Configuration{newest.config}
}

// newestConfig returns the newest configuration.
func (l *memLog) newestConfig() Configuration {
	if len(l.configs) == 0 {
		return Configuration{}
	}
	return l.configs[len(l.configs)-1].config
}

// committedConfig returns the newest committed configuration.
func (l *memLog) committedConfig() Configuration { return l.configAt(l.commit) }

// hasPendingConfig reports whether the newest configuration isn't committed yet.
func (l *memLog) hasPendingConfig() bool {
	n := len(l.configs)
	return n > 0 && l.configs[n-1].index > l.commit
}

// matchHint returns the highest index at or before the given one whose entry has at
// most the given term, and that entry's term. This log may match, up to the returned
// index, a log that has an entry of the given term at the given index.
func (l *memLog) matchHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		entryTerm, _ := l.term(index)
		if entryTerm <= term {
			return index, entryTerm
		}
		index--
	}
	if index == l.base && l.baseTerm > term {
		// The logs diverge before base, where terms are no longer known.
		return l.base - 1, 0
	}
	entryTerm, _ := l.term(index)
	return index, entryTerm
}
