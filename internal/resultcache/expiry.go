package resultcache

import "math"

// expire removes the tokens whose windows are over. One that is in progress is never removed.
func (c *Cache) expire(now int64) {
	for c.expiry.Len() > 0 && c.expiry.First().expiresAt < now {
		c.remove(c.expiry.First())
	}
}

// stopExpiry keeps a token that may have been about to expire.
func (c *Cache) stopExpiry(e *entry) {
	if e.heapIndex >= 0 {
		c.expiry.Remove(e)
	}
}

// NextExpiry is when the next token expires, math.MaxInt64 where none does.
func (c *Cache) NextExpiry() int64 {
	if c.expiry.Len() == 0 {
		return math.MaxInt64
	}
	return c.expiry.First().expiresAt + 1
}

// timeToRoom is how long it takes until the first token expires, 0 where none does.
func (c *Cache) timeToRoom(now int64) int64 {
	if c.expiry.Len() == 0 {
		return 0
	}
	return max(0, c.expiry.First().expiresAt-now)
}
