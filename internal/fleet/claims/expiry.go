package claims

// MaxTimeStep is the most by which one command advances the table's time, in ns. The first advance after a command may include time
// that passed before the command. Retentions are longer by MaxTimeStep, so that none ends early.
const MaxTimeStep = 500 * ms

// advanceTime advances the table's time by the span that a member of the group measured since the table's time was MeasuredFrom,
// removes expired claims and sets the size limit. If two members measured the same span, only the first is counted, so the table's time is never ahead
// of real time.
func (t *Table) advanceTime(command *Command) {
	if command.MeasuredFrom != t.time || command.Duration <= 0 {
		return
	}
	t.time += min(command.Duration, MaxTimeStep) // a longer span, such as an election, is cut off
	if command.MaxTableBytes > 0 {
		t.maxBytes = command.MaxTableBytes
	}
	for t.expiry.Len() > 0 && t.expiry.First().ExpiresAt <= t.time {
		t.Counters.Expired++
		t.remove(t.expiry.First())
	}
}

// restartRetention keeps an entry for at least its retention from now on.
func (t *Table) restartRetention(entry *Entry) {
	entry.ExpiresAt = max(entry.ExpiresAt, t.time+entry.Retention+MaxTimeStep)
	t.expiry.Fix(entry)
}

// timeToFirstExpiry returns how long it takes until the first claim expires, 0 without claims.
func (t *Table) timeToFirstExpiry() int64 {
	if t.expiry.Len() == 0 {
		return 0
	}
	return max(0, t.expiry.First().ExpiresAt-t.time)
}
