package resultcache

// recoverRecord takes a record of an earlier incarnation. How much of its window is left can't be known, since the system's clock
// may have been set meanwhile, so each token is kept for the longest window: running at most once goes before freshness.
func (c *Cache) recoverRecord(now int64, input *Input, e *entry) {
	if e == nil {
		e = newEntry(input.Key, input.BodyHash)
		e.state = stateUnknown
		c.entries[input.Key] = e
		c.recovered = append(c.recovered, e)
		c.Counters.Entries++
		c.Counters.Unknown++
	}
	e.expiresAt = now + c.config.Window
	c.reserve(e, entryOverheadBytes+int64(len(input.Key.Token)))
	if input.Completed && e.state == stateUnknown {
		e.state = stateDone
		c.Counters.Unknown--
		c.setOutcome(e, input.Outcome, input.Result)
	}
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
