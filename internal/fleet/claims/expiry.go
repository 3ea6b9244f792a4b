package claims

// MaxTimeStep is the most that the table's time advances at once, in ns. The first step after a command may count time from
// before the command, so windows are longer by that much: none ends early.
const MaxTimeStep = 500 * ms

// advanceTime advances the table's time by what one member of the group measured since the time that the command names. Two
// members that measured the same span can't both be counted, so the table's time is never ahead of real time.
func (t *Table) advanceTime(command *Command) {
	if command.MeasuredFrom != t.time || command.Duration <= 0 {
		return
	}
	t.time += min(command.Duration, MaxTimeStep) // the rest, such as the seconds of an election, is lost
	if command.MaxTableBytes > 0 {
		t.maxBytes = command.MaxTableBytes
	}
	for t.expiry.Len() > 0 && t.expiry.First().ExpiresAt <= t.time {
		t.Counters.Expired++
		t.remove(t.expiry.First())
	}
}

// restartWindow keeps an entry for its window from now on, if it isn't kept for longer already.
func (t *Table) restartWindow(entry *Entry) {
	entry.ExpiresAt = max(entry.ExpiresAt, t.time+entry.Window+MaxTimeStep)
	t.expiry.Fix(entry)
}

// timeToFirstExpiry is how long the table takes to have room again.
func (t *Table) timeToFirstExpiry() int64 {
	if t.expiry.Len() == 0 {
		return 0
	}
	return max(0, t.expiry.First().ExpiresAt-t.time)
}
