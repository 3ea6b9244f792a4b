package stats

// DecayingCounter counts what was seen of late, by key; what it costs is that of the keys seen, however many there may be.
// The zero value is ready.
type DecayingCounter struct {
	positions map[int64]int32 // place of each key that is remembered
	keys      []int64
	counts    []float64
}

// Add counts one of a key.
func (r *DecayingCounter) Add(key int64) {
	i, known := r.positions[key]
	if !known {
		if r.positions == nil {
			r.positions = make(map[int64]int32)
		}
		i = int32(len(r.keys))
		r.positions[key], r.keys, r.counts = i, append(r.keys, key), append(r.counts, 0)
	}
	r.counts[i]++
}

// Count is what is remembered of a key.
func (r *DecayingCounter) Count(key int64) float64 {
	if i, known := r.positions[key]; known {
		return r.counts[i]
	}
	return 0
}

// Counts are what is remembered of all keys, valid until the next change.
func (r *DecayingCounter) Counts() []float64 { return r.counts }

// Decay keeps a part of each count, and forgets the keys whose count was under least.
func (r *DecayingCounter) Decay(part, least float64) {
	for i := 0; i < len(r.keys); i++ {
		if n := r.counts[i]; n >= least {
			r.counts[i] = n * part
			continue
		}
		r.removeAt(int32(i))
		i--
	}
}

// Remove drops what is remembered of a key.
func (r *DecayingCounter) Remove(key int64) {
	if i, known := r.positions[key]; known {
		r.removeAt(i)
	}
}

func (r *DecayingCounter) removeAt(i int32) {
	last := len(r.keys) - 1
	delete(r.positions, r.keys[i])
	if int(i) != last {
		r.keys[i], r.counts[i] = r.keys[last], r.counts[last]
		r.positions[r.keys[i]] = i
	}
	r.keys, r.counts = r.keys[:last], r.counts[:last]
	if last == 0 {
		*r = DecayingCounter{} // a map that once was large keeps its room
	}
}
