package stats

// DecayingCounter counts what was seen of late, by key; what it costs is that of the keys seen, however many there may be.
// The zero value is ready.
type DecayingCounter struct {
	positions map[int64]int32 // place of each key that is remembered
	keys      []int64
	counts    []float64
}

// Add counts one of a key.
func (c *DecayingCounter) Add(key int64) {
	i, known := c.positions[key]
	if !known {
		if c.positions == nil {
			c.positions = make(map[int64]int32)
		}
		i = int32(len(c.keys))
		c.positions[key], c.keys, c.counts = i, append(c.keys, key), append(c.counts, 0)
	}
	c.counts[i]++
}

// Count is what is remembered of a key.
func (c *DecayingCounter) Count(key int64) float64 {
	if i, known := c.positions[key]; known {
		return c.counts[i]
	}
	return 0
}

// Counts are what is remembered of all keys, valid until the next change.
func (c *DecayingCounter) Counts() []float64 { return c.counts }

// Decay keeps a part of each count, and forgets the keys whose count was under least.
func (c *DecayingCounter) Decay(part, least float64) {
	for i := 0; i < len(c.keys); i++ {
		if n := c.counts[i]; n >= least {
			c.counts[i] = n * part
			continue
		}
		c.removeAt(int32(i))
		i--
	}
}

// Remove drops what is remembered of a key.
func (c *DecayingCounter) Remove(key int64) {
	if i, known := c.positions[key]; known {
		c.removeAt(i)
	}
}

func (c *DecayingCounter) removeAt(i int32) {
	last := len(c.keys) - 1
	delete(c.positions, c.keys[i])
	if int(i) != last {
		c.keys[i], c.counts[i] = c.keys[last], c.counts[last]
		c.positions[c.keys[i]] = i
	}
	c.keys, c.counts = c.keys[:last], c.counts[:last]
	if last == 0 {
		*c = DecayingCounter{} // a map that once was large keeps its room
	}
}
