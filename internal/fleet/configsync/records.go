package configsync

const (
	maxRetainedBytes = 1 << 20 // limit of the records that a node retains for its peers, and of its changes over several versions; a record chain may have twice as much
	maxJournalBytes  = 1 << 20 // records appended to the file on disk before the file is rewritten with a complete content
)

// persist writes the version in force to the disk: as records where they follow on from the file, otherwise as a complete content.
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

// handleSaved handles the result of a write to the disk. After a failure the next write is a complete one.
func (r *Replicator) handleSaved(in *Input, effects []Effect) []Effect {
	if in.Why == "" {
		return effects
	}
	r.disk.rewrite = true
	return append(effects, warning("configuration version %d can't be written to disk; the next write replaces the whole file: %s", r.disk.revision.Version, in.Why))
}

// availableRecords returns the records that this node can send to its peers.
func (r *Replicator) availableRecords() []*Record {
	if r.agreed != nil {
		return r.agreed.Log
	}
	return r.log
}

// recordsBetween returns the records that follow a revision, up to and including version until. It returns none if the log does not contain
// the record that follows the revision.
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

// wireRecords returns copies of records for sending, as many as fit into maxBytes. With all set it returns none unless all of them fit.
func wireRecords(list []*Record, maxBytes int, all bool) (records []Record) {
	for _, record := range list {
		wire := record.wire()
		maxBytes -= wire.bytes()
		if maxBytes < 0 {
			if all {
				return nil
			}
			break
		}
		records = append(records, wire)
	}
	return records
}

// setReady stores a version that this node has in full. records are its changes since the previous ready version, none if they are unknown.
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
		r.log = r.log[1:] // the slot is not set to nil: effects share the array
	}
	r.ready = revision
	r.readyContent = content
	r.chain = recordChain{}
	r.assembly = blockAssembly{revision: r.assembly.revision}
	r.fetch.failures = 0
	r.changes++
}

// recordChain is a sequence of fetched records that follows the ready version and does not reach a confirmed version yet. Any peer may
// continue it. A peer does so only if its own log contains the revision at the end of the chain, so a peer whose records turn out to be
// false has supplied the false ones itself.
type recordChain struct {
	lastPeer string   // the peer that sent the last records
	misses   int      // peers that could not continue the chain
	revision Revision // at the end of the chain
	content  *Content // of revision
	records  []*Record
	bytes    int
}

// maxChainMisses is the number of peers that may fail to continue a chain before it is dropped, because its records may be false.
const maxChainMisses = 3

// continuable reports whether the chain is worth keeping although peer p could not continue it.
func (chain *recordChain) continuable(p *peer) bool {
	return chain.content != nil && chain.lastPeer != p.name && chain.misses < maxChainMisses
}

// extendChain appends records of a peer to the chain, and reports whether they were valid so far. They take effect when the chain reaches a
// revision that a replica confirmed.
func (r *Replicator) extendChain(now int64, p *peer, records []Record) bool {
	goal, ok := r.goal()
	if !ok {
		return false
	}
	chain := &r.chain
	if chain.content == nil {
		*chain = recordChain{revision: r.ready, content: r.readyContent}
	}
	chain.lastPeer = p.name
	chain.misses = 0
	for k := range records {
		record := records[k]
		record.Replaced = nil
		record.size = 0
		if record.Version > goal.Version { // not confirmed yet
			break
		}
		if !chain.apply(&record, r.skipDigests) {
			*chain = recordChain{}
			r.penalize(now, p)
			return false
		}
		if chain.revision != goal && r.isConfirmed(chain.revision) { // confirmed so far, whichever peer continues the chain
			r.setReady(chain.revision, chain.content, chain.records)
			*chain = recordChain{lastPeer: p.name, revision: r.ready, content: r.readyContent}
		}
	}
	return r.completeChain(now, p, goal)
}

// apply appends one record. It returns false if the record does not follow the chain or its changes do not yield its digest.
func (chain *recordChain) apply(record *Record, skipDigests bool) bool {
	if record.Version != chain.revision.Version+1 {
		return false
	}
	content, err := chain.content.Apply(record.Changes)
	if err != nil {
		return false
	}
	if !skipDigests && (record.Base != chain.revision.Digest || content.Digest() != record.Digest) {
		return false
	}
	chain.content = content
	chain.revision = Revision{record.Version, record.Digest}
	chain.records = append(chain.records, record)
	chain.bytes += record.bytes()
	return true
}

// completeChain makes the goal ready if the chain has reached it, drops a chain that cannot reach it, and returns false if the records
// were of no use.
func (r *Replicator) completeChain(now int64, p *peer, goal Revision) bool {
	chain := &r.chain
	switch {
	case chain.revision == goal || r.skipDigests && chain.revision.Version == goal.Version:
		p.invalidResponses = 0
		r.setReady(goal, chain.content, chain.records)
	case chain.revision.Version == goal.Version:
		*chain = recordChain{}
		r.penalize(now, p)
		return false
	case chain.revision == r.ready: // the chain is empty
		*chain = recordChain{}
	case chain.bytes > 2*maxRetainedBytes:
		*chain = recordChain{}
		return false
	}
	return true
}
