package configsync

import (
	"fmt"
	"slices"
)

// commit makes a content the newest version. A content equal to the newest one makes no new version, except in a rollback while the newest
// version is not in force for all nodes.
func (t *Table) commit(at int64, c *Command, next *Content, v *Verdict) {
	rollback := c.Kind == CommandRollback
	v.Done = true
	if next.Digest() == t.newest.Digest() && (!rollback || t.head.Newest == t.head.All.Version) {
		return
	}
	if t.head.Newest == 0 && c.Kind == CommandPut {
		t.head.Newest = min(c.Version, maxStartVersion)
	}
	record := &Record{Version: t.head.Newest + 1, Base: t.newest.Digest(), Digest: next.Digest(), Caller: c.Caller, WallTime: c.WallTime, Rollback: rollback}
	fits := record.fillChanges(t.newest, next)
	t.newest = next
	t.head.Newest = record.Version
	v.Version = record.Version
	t.appendLog(record, fits)
	switch {
	case rollback: // skips the canary stage: the content was in force for all nodes before
		t.head.Canary = Revision{record.Version, record.Digest}
		t.canary = next
		t.promote(at)
	case !t.atCanary():
		t.startCanary(at)
	}
}

// fillChanges stores the differences between two contents in the record. It stops and returns false as soon as the record exceeds the
// capacity of the log.
func (r *Record) fillChanges(before, after *Content) bool {
	for difference := Diff(before, after); ; {
		changes := difference.Next(maxLogRecords)
		if len(changes) == 0 {
			return true
		}
		r.Changes = append(r.Changes, changes...)
		for _, item := range changes {
			r.Replaced = append(r.Replaced, Item{item.Part, item.Name, before.Get(item.Part, item.Name)})
		}
		r.size = 0
		if r.bytes() > maxLogBytes {
			return false
		}
	}
}

// appendLog appends a record to the log and drops the oldest records beyond its capacity. A record that does not fit empties the log.
func (t *Table) appendLog(record *Record, fits bool) {
	if !fits {
		t.log = nil
		t.logSize = 0
		return
	}
	t.log = append(t.log, record)
	t.logSize += record.bytes()
	for t.logSize > maxLogBytes || len(t.log) > maxLogRecords {
		t.logSize -= t.log[0].bytes()
		t.log[0] = nil
		t.log = t.log[1:]
	}
}

// startCanary begins the canary stage of the newest version, which includes the changes of the versions that were waiting before it.
func (t *Table) startCanary(at int64) {
	t.head.Canary = Revision{t.head.Newest, t.newest.Digest()}
	t.head.Stopped = false
	t.head.StoppedBy = ""
	t.head.StopReason = ""
	t.canary = t.newest
	t.canarySince = at
}

// promote brings the version at the canary stage into force for all nodes. Versions that were committed in the meantime enter the canary
// stage together, as the newest of them.
func (t *Table) promote(at int64) {
	t.rollbackVersions = append(t.rollbackVersions, t.head.All.Version)
	if len(t.rollbackVersions) > maxLogRecords {
		t.rollbackVersions = slices.Delete(t.rollbackVersions, 0, 1)
	}
	t.head.All = t.head.Canary
	t.all = t.canary
	oldestInLog := t.head.Newest + 1
	if len(t.log) > 0 {
		oldestInLog = t.log[0].Version
	}
	t.rollbackVersions = slices.DeleteFunc(t.rollbackVersions, func(version uint64) bool { return version+1 < oldestInLog })
	t.startCanary(at)
}

// refuseStale refuses a change whose base is not the newest version, and lists the items that changed since that base.
func (t *Table) refuseStale(base uint64, v *Verdict) {
	v.Stale = true
	v.Refused = fmt.Sprintf("made on version %d, the newest is %d; look at what differs and put it again", base, t.head.Newest)
	if base > t.head.Newest {
		v.Refused = fmt.Sprintf("made on version %d, the newest is %d: it was made on what another council agreed on", base, t.head.Newest)
	}
	if len(t.log) == 0 || base+1 < t.log[0].Version || base > t.head.Newest {
		v.UnlistedDiffering = -1
		return
	}
	type itemName struct{ part, name string }
	seen := map[itemName]bool{}
	for _, record := range t.log[base+1-t.log[0].Version:] {
		for _, item := range record.Changes {
			name := itemName{item.Part, item.Name}
			if seen[name] {
				continue
			}
			seen[name] = true
			if len(v.Differing) < maxNamedItems {
				v.Differing = append(v.Differing, Item{Part: item.Part, Name: item.Name})
			} else {
				v.UnlistedDiffering++
			}
		}
	}
}

// applyRollback makes a new version with the content of an older one. The older version was in force for all nodes, so the new version
// skips the canary stage.
func (t *Table) applyRollback(at int64, c *Command, v *Verdict) {
	if c.Version == t.head.All.Version {
		t.commit(at, c, t.all, v)
		return
	}
	if !slices.Contains(t.rollbackVersions, c.Version) || len(t.log) == 0 || c.Version+1 < t.log[0].Version {
		v.Refused = fmt.Sprintf("version %d was never in force for all, or the log no longer reaches it; put its content as a change", c.Version)
		return
	}
	content := t.newest
	for k := len(t.log) - 1; k >= 0 && t.log[k].Version > c.Version; k-- {
		var err error
		content, err = content.Apply(t.log[k].Replaced)
		if err != nil {
			v.Refused = err.Error()
			return
		}
	}
	t.commit(at, c, content, v)
}
