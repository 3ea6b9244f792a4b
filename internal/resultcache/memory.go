package resultcache

// maxEntryBytes is the most that a token takes, its result included. It is reserved before the run, so that there is always room
// for the end of what has run.
func (c *Cache) maxEntryBytes(key Key) int64 {
	return entryOverheadBytes + key.sizeBytes() + c.config.MaxResultBytes
}

// hasRoom says whether a token may run that has reserved some bytes already.
func (c *Cache) hasRoom(key Key, reservedBytes int64) bool {
	return c.Counters.Bytes-reservedBytes+c.maxEntryBytes(key) <= c.config.MaxBytes
}

// reserve changes how much a token takes.
func (c *Cache) reserve(e *entry, bytes int64) {
	c.Counters.Bytes += bytes - e.reservedBytes
	e.reservedBytes = bytes
}
