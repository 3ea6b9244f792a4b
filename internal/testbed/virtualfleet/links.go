package virtualfleet

// delivers returns whether a message gets from one to the other.
func (f *Fleet) delivers(from, to *Node, size int, datagram bool) bool {
	if f.IsCut(from.index, to.index) {
		return false
	}
	if datagram && len(f.MaxDatagram) > 0 {
		if most := f.MaxDatagram[[2]int{from.index, to.index}]; most > 0 && size > most {
			return false
		}
	}
	return !datagram || f.LossRate == 0 || f.Rand.Float64() >= f.LossRate
}

// Cut has the link from one node to another carry nothing.
func (f *Fleet) Cut(from, to int) {
	at := from*len(f.Nodes) + to
	f.cuts[at/64] |= 1 << (at % 64)
	f.cutAny = true
}

// IsCut returns whether the link from one node to another carries nothing.
func (f *Fleet) IsCut(from, to int) bool {
	at := from*len(f.Nodes) + to
	return f.cutAny && f.cuts[at/64]>>(at%64)&1 == 1
}

// RemoveCuts takes all cuts away.
func (f *Fleet) RemoveCuts() {
	clear(f.cuts)
	f.cutAny = false
	if f.static != nil {
		f.partitionStatic(nil)
	}
}

// CutBetween cuts the links from each of some nodes to each of others; and back with both.
func (f *Fleet) CutBetween(from, to []*Node, both bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				f.Cut(a.index, b.index)
				if both {
					f.Cut(b.index, a.index)
				}
			}
		}
	}
}

// Heal takes all cuts, losses, delays and duplicates away.
func (f *Fleet) Heal() {
	f.RemoveCuts()
	clear(f.MaxDatagram)
	f.LossRate = 0
	f.DuplicateRate = 0
	f.LateRate = 0
}

// scheduleDatagram schedules the arrival of a datagram: late or twice, where the fleet has such links.
func (f *Fleet) scheduleDatagram(from, to *Node, arrive func()) {
	far := f.regionLatency(from, to)
	f.After(far+f.drawLatency(), arrive)
	if f.DuplicateRate > 0 && f.Rand.Float64() < f.DuplicateRate {
		f.After(far+f.drawLatency(), arrive)
	}
}

// drawLatency draws how long a datagram takes.
func (f *Fleet) drawLatency() int64 {
	ns := minLatency + f.Rand.Int63n(latencySpread)
	if f.LateRate > 0 && f.Rand.Float64() < f.LateRate {
		ns += f.Rand.Int63n(f.MaxLate + 1)
	}
	return ns
}

// regionLatency is how much longer a message takes from one to the other since they are of different regions.
func (f *Fleet) regionLatency(from, to *Node) int64 {
	if from.region != to.region {
		return f.RegionLatency
	}
	return 0
}
