package quorum

import "sort"

type (
	// journal is the log in memory: the entries after base, and the
	// configurations that they and the snapshot carry.
	journal struct {
		base     uint64
		baseTerm uint64
		entries  []Entry
		// stable is the last position that is durable here.
		stable  uint64
		commit  uint64
		applied uint64
		configs []configAt
	}

	configAt struct {
		index  uint64
		config Configuration
	}
)

// last returns the last position.
func (j *journal) last() uint64 { return j.base + uint64(len(j.entries)) }

// lastTerm returns the term of the last position.
func (j *journal) lastTerm() uint64 {
	term, _ := j.term(j.last())
	return term
}

// term returns the term of a position; false if it isn't kept.
func (j *journal) term(index uint64) (uint64, bool) {
	switch {
	case index == j.base:
		return j.baseTerm, true
	case index < j.base || index > j.last():
		return 0, false
	default:
		return j.entries[index-j.base-1].Term, true
	}
}

// from returns the entries from index on, up to maxBytes of data but at least
// one.
func (j *journal) from(index uint64, maxBytes int) []Entry {
	if index <= j.base || index > j.last() {
		return nil
	}
	rest := j.entries[index-j.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// slice returns the entries of [first, last].
func (j *journal) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return j.entries[first-j.base-1 : last-j.base : last-j.base]
}

// push adds entries after the last position.
func (j *journal) push(entries ...Entry) {
	for _, e := range entries {
		if e.Kind == EntryConfiguration {
			j.configs = append(j.configs, configAt{index: e.Index, config: *e.Configuration})
		}
	}
	j.entries = append(j.entries, entries...)
}

// cut drops the positions from index on.
func (j *journal) cut(index uint64) {
	kept := int(index - j.base - 1)
	// Entries that were handed out stay as they are.
	j.entries = j.entries[:kept:kept]
	j.stable = min(j.stable, index-1)
	for len(j.configs) > 0 && j.configs[len(j.configs)-1].index >= index {
		j.configs = j.configs[:len(j.configs)-1]
	}
}

// reset replaces the log by a snapshot.
func (j *journal) reset(s *Snapshot) {
	j.base, j.baseTerm = s.Index, s.Term
	j.entries = nil
	j.stable, j.commit, j.applied = s.Index, s.Index, s.Index
	j.configs = []configAt{{index: s.Index, config: s.Configuration}}
}

// trim drops the positions up to index, which a snapshot covers.
func (j *journal) trim(index uint64) {
	if index <= j.base {
		return
	}
	term, _ := j.term(index)
	j.entries = append([]Entry(nil), j.entries[index-j.base:]...)
	j.base, j.baseTerm = index, term
}

// configBefore returns the newest configuration at or before index.
func (j *journal) configBefore(index uint64) Configuration {
	at := sort.Search(len(j.configs), func(i int) bool { return j.configs[i].index > index })
	if at == 0 {
		return Configuration{}
	}
	return j.configs[at-1].config
}

// forgetConfigs drops configurations that a newer one at or before index
// replaces.
func (j *journal) forgetConfigs(index uint64) {
	for len(j.configs) > 1 && j.configs[1].index <= index {
		j.configs = j.configs[1:]
	}
}

// active returns the configurations whose majorities count: the newest, and
// the one before while the newest is not known to be committed.
func (j *journal) active() []Configuration {
	n := len(j.configs)
	if n == 0 {
		return nil
	}
	newest := j.configs[n-1]
	if n > 1 && newest.index > j.commit {
		return []Configuration{j.configs[n-2].config, newest.config}
	}
	return []Configuration{newest.config}
}

// newest returns the newest configuration.
func (j *journal) newest() Configuration {
	if len(j.configs) == 0 {
		return Configuration{}
	}
	return j.configs[len(j.configs)-1].config
}

// committedConfig returns the newest committed configuration.
func (j *journal) committedConfig() Configuration { return j.configBefore(j.commit) }

// changing reports whether a configuration isn't committed yet.
func (j *journal) changing() bool {
	n := len(j.configs)
	return n > 0 && j.configs[n-1].index > j.commit
}

// matchHint returns the highest position at or before index whose term is at
// most term, as a hint where two logs may agree.
func (j *journal) matchHint(index, term uint64) (uint64, uint64) {
	index = min(index, j.last())
	for index > j.base {
		at, _ := j.term(index)
		if at <= term {
			return index, at
		}
		index--
	}
	if index == j.base && j.baseTerm > term {
		// The logs part before base; its terms aren't known any more.
		return j.base - 1, 0
	}
	at, _ := j.term(index)
	return index, at
}
