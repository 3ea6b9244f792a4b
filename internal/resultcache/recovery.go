package resultcache

// recoverRecord takes a record of an earlier incarnation. Records come in the order in which they were written, so that of a start is that
// of the token's latest run, also where an earlier run has ended: the token's window was over in between. How much of a window is left can't
// be known, since the system's clock may have been set meanwhile, so each token is kept for the longest window: running at most once goes
// before freshness.
func (c *Cache) recoverRecord(now int64, input *Input, e *entry) {
	switch {
	case e == nil:
		e = c.addRecovered(input.Key)
	case !e.isOver():
		return // it was taken in anew meanwhile
	}
	e.expiresAt = now + c.config.Window
	if input.BodyHash != unknownBodyHash {
		e.bodyHash = input.BodyHash
	}
	c.forgetOutcome(e)
	if input.Completed {
		c.resolve(e, input)
	}
}

// addRecovered adds a token whose outcome is not known yet.
func (c *Cache) addRecovered(key Key) *entry {
	e := newEntry(key, unknownBodyHash)
	e.state = stateUnknown
	c.entries[key] = e
	c.recovered = append(c.recovered, e)
	c.Counters.Entries++
	c.Counters.Unknown++
	return e
}

// forgetOutcome makes the outcome of a token that is over unknown.
func (c *Cache) forgetOutcome(e *entry) {
	if e.state == stateDone {
		e.state = stateUnknown
		c.Counters.Unknown++
	}
	e.outcome = Succeeded
	e.result = nil
	e.resultNotCached = false
	c.reserve(e, entryOverheadBytes+e.key.sizeBytes())
}

// completeRecovery has the recovered tokens expire from now on, unless they were removed or run again meanwhile.
func (c *Cache) completeRecovery() {
	for _, e := range c.recovered {
		if c.entries[e.key] == e && e.heapIndex < 0 && e.isOver() {
			c.expiry.Push(e)
		}
	}
	c.recovered = nil
}
