package configsync

const (
	maxRetainedBytes = 1 << 20 // of records that a node retains for others, of changes over some versions, and of those on their way
	maxJournalBytes  = 1 << 20 // of records on disk after which all is rewritten
)

// persist has the disk follow what is in force.
func (r *Replicator) persist(effects []Effect) []Effect {
	effect := Effect{Kind: PersistVersion, Revision: r.applied, New: r.appliedContent}
	effect.Records = recordsBetween(r.availableRecords(), r.disk.revision, r.applied.Version)
	size := 0
	for _, record := range effect.Records {
		size += record.bytes()
	}
	count := len(effect.Records)
	incomplete := count == 0 || effect.Records[count-1].Version != r.applied.Version
	effect.Full = r.disk.rewrite || incomplete || r.disk.journalSize+size > maxJournalBytes
	if effect.Full {
		effect.Records = nil
		r.disk.journalSize = 0
		size = 0
	}
	r.disk.journalSize += size
	r.disk.revision = r.applied
	r.disk.rewrite = false
	return append(effects, effect)
}

// handleSaved takes the result of a write to the disk.
func (r *Replicator) handleSaved(in *Input, effects []Effect) []Effect {
	if in.Why == "" {
		return effects
	}
	r.disk.rewrite = true
	return append(effects, warning("configuration %d can't be kept on disk: %s", r.disk.revision.Version, in.Why))
}

// availableRecords are those that this node can give to others.
func (r *Replicator) availableRecords() []*Record {
	if r.agreed != nil {
		return r.agreed.Log
	}
	return r.log
}

// recordsBetween are the records after a revision up to a version, none where the log doesn't reach.
func recordsBetween(log []*Record, after Revision, until uint64) []*Record {
	if len(log) == 0 || after.Version+1 < log[0].Version || after.Version+1 > log[len(log)-1].Version || after.Version >= until {
		return nil
	}
	log = log[after.Version+1-log[0].Version:]
	if log[0].Base != after.Digest {
		return nil
	}
	return log[:min(until-after.Version, uint64(len(log)))]
}

// wireRecords are records as they are sent, as many as fit, or none unless all do.
func wireRecords(list []*Record, room int, all bool) (records []Record) {
	for _, record := range list {
		wire := record.wire()
		room -= wire.bytes()
		if room < 0 {
			if all {
				return nil
			}
			break
		}
		records = append(records, wire)
	}
	return records
}

// setReady notes that a version is complete here; records lead to it from the one before, where they are known.
func (r *Replicator) setReady(revision Revision, content *Content, records []*Record) {
	if len(records) == 0 {
		r.log = nil
		r.logSize = 0
		r.spanDeltas = blockDeltas{}
	}
	for _, record := range records {
		r.log = append(r.log, record)
		r.logSize += record.bytes()
	}
	for len(r.log) > 0 && (r.logSize > maxRetainedBytes || len(r.log) > maxLogRecords) {
		r.logSize -= r.log[0].bytes()
		r.log = r.log[1:] // not cleared: effects still refer to it
	}
	r.ready = revision
	r.readyContent = content
	r.chain = recordChain{}
	r.assembly = blockAssembly{revision: r.assembly.revision}
	r.fetch.failures = 0
	r.changes++
}

// recordChain is records that don't reach a confirmed version yet. Any peer may continue it. One does so only where its own log has the
// revision that they come to, so what is false at their end is its own.
type recordChain struct {
	lastPeer string // who gave the last of them
	misses   int    // peers that could not continue it
	revision Revision
	content  *Content
	records  []*Record
	bytes    int
}

// maxChainMisses is how many peers may fail to continue the records of another before those are dropped: they may be false.
const maxChainMisses = 3

// continuable reports whether others may still continue records that a peer can't.
func (run *recordChain) continuable(p *peer) bool {
	return run.content != nil && run.lastPeer != p.name && run.misses < maxChainMisses
}

// extendChain applies records of a peer, and reports whether they were of use. They count once they come to a revision that a replica
// confirmed.
func (r *Replicator) extendChain(now int64, p *peer, records []Record) bool {
	goal, ok := r.goal()
	if !ok {
		return false
	}
	run := &r.chain
	if run.content == nil {
		*run = recordChain{revision: r.ready, content: r.readyContent}
	}
	run.lastPeer = p.name
	run.misses = 0
	for k := range records {
		record := records[k]
		record.Replaced = nil
		record.size = 0
		if record.Version > goal.Version { // not confirmed yet
			break
		}
		if !run.apply(&record, r.skipDigests) {
			*run = recordChain{}
			r.penalize(now, p)
			return false
		}
		if run.revision != goal && r.isConfirmed(run.revision) { // valid so far, whoever continues it
			r.setReady(run.revision, run.content, run.records)
			*run = recordChain{lastPeer: p.name, revision: r.ready, content: r.readyContent}
		}
	}
	return r.completeChain(now, p, goal)
}

// apply applies one record, false where it doesn't follow or doesn't come to its digest.
func (run *recordChain) apply(record *Record, skipDigests bool) bool {
	if record.Version != run.revision.Version+1 {
		return false
	}
	content, err := run.content.Apply(record.Changes)
	if err != nil {
		return false
	}
	if !skipDigests && (record.Base != run.revision.Digest || content.Digest() != record.Digest) {
		return false
	}
	run.content = content
	run.revision = Revision{record.Version, record.Digest}
	run.records = append(run.records, record)
	run.bytes += record.bytes()
	return true
}

// completeChain takes the run where it came to the goal, and drops it where it can't.
func (r *Replicator) completeChain(now int64, p *peer, goal Revision) bool {
	run := &r.chain
	switch {
	case run.revision == goal || r.skipDigests && run.revision.Version == goal.Version:
		p.invalidResponses = 0
		r.setReady(goal, run.content, run.records)
	case run.revision.Version == goal.Version:
		*run = recordChain{}
		r.penalize(now, p)
		return false
	case run.revision == r.ready: // no further, or not begun
		*run = recordChain{}
	case run.bytes > 2*maxRetainedBytes:
		*run = recordChain{}
		return false
	}
	return true
}
