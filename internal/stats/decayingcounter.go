package stats

// DecayingCounter counts recent occurrences by key. Its cost in time and memory depends on the number of recent keys, not
// on the number of possible keys. The zero value is an empty counter.
type DecayingCounter struct {
	positions map[int64]int32 // index of each key in keys and counts
	keys      []int64
	counts    []float64
}

// Add counts one occurrence of a key.
func (c *DecayingCounter) Add(key int64) {
	i, known := c.positions[key]
	if !known {
		i = c.insert(key)
	}
	c.counts[i]++
}

// insert adds a key with a count of zero and returns its position.
func (c *DecayingCounter) insert(key int64) int32 {
	if c.positions == nil {
		c.positions = make(map[int64]int32)
	}
	i := int32(len(c.keys))
	c.positions[key] = i
	c.keys = append(c.keys, key)
	c.counts = append(c.counts, 0)
	return i
}

// Count returns the decayed count of a key.
func (c *DecayingCounter) Count(key int64) float64 {
	i, known := c.positions[key]
	if !known {
		return 0
	}
	return c.counts[i]
}

// Counts returns the counts of all recent keys, in no particular order. The slice is valid until the next change.
func (c *DecayingCounter) Counts() []float64 { return c.counts }

// Decay removes the keys whose count is below minCount, and multiplies all other counts by factor.
func (c *DecayingCounter) Decay(factor, minCount float64) {
	for i := 0; i < len(c.keys); {
		if c.counts[i] < minCount {
			c.removeAt(int32(i)) // the last key takes its position
			continue
		}
		c.counts[i] *= factor
		i++
	}
}

// Remove removes a key and its count.
func (c *DecayingCounter) Remove(key int64) {
	if i, known := c.positions[key]; known {
		c.removeAt(i)
	}
}

func (c *DecayingCounter) removeAt(i int32) {
	last := len(c.keys) - 1
	if last == 0 {
		*c = DecayingCounter{} // starts anew without keys, because a map does not shrink
		return
	}
	delete(c.positions, c.keys[i])
	if int(i) != last {
		c.keys[i] = c.keys[last]
		c.counts[i] = c.counts[last]
		c.positions[c.keys[i]] = i
	}
	c.keys = c.keys[:last]
	c.counts = c.counts[:last]
}
