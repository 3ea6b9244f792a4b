package configsync

import (
	"cmp"
	"slices"
)

const maxStatuses = 2_000 // nodes that a seat knows reports of: above any table of members

// NodeStatus is what one node reported last.
type NodeStatus struct {
	Name    string
	Mark    Revision
	Refused Revision
	Why     string
	Age     int64 // ns since Mark was in force there, when it reported
	At      int64 // when it reported
}

// StatusTable is what nodes reported to one seat. It isn't agreed on: all seats' boards together say how the fleet stands.
// The zero value is empty.
type StatusTable struct {
	nodes    map[string]*NodeStatus
	refusers map[string]*NodeStatus // those of nodes that can't take something
}

// Report notes what a node has. The one that was silent longest makes room.
func (b *StatusTable) Report(now int64, name string, has, refused Revision, why string, age int64) {
	s := b.nodes[name]
	if s == nil {
		if b.nodes == nil {
			b.nodes, b.refusers = map[string]*NodeStatus{}, map[string]*NodeStatus{}
		}
		if len(b.nodes) >= maxStatuses {
			var old *NodeStatus
			for _, s := range b.nodes {
				if old == nil || cmp.Or(cmp.Compare(s.At, old.At), cmp.Compare(s.Name, old.Name)) < 0 {
					old = s
				}
			}
			delete(b.nodes, old.Name)
			delete(b.refusers, old.Name)
		}
		s = &NodeStatus{Name: name}
		b.nodes[name] = s
	}
	s.Mark, s.Refused, s.Why, s.Age, s.At = has, refused, truncate(why, maxReasonBytes), age, now
	if refused.Version > 0 {
		b.refusers[name] = s
	} else {
		delete(b.refusers, name)
	}
}

// Statuses are all that are known, by name.
func (b *StatusTable) Statuses() []NodeStatus {
	list := make([]NodeStatus, 0, len(b.nodes))
	for _, s := range b.nodes {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(x, y NodeStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// refusal is a node that can't take a version, the first by name.
func (b *StatusTable) refusal(mark Revision) (who, why string, ok bool) {
	for _, s := range b.refusers {
		if s.Refused == mark && mark.Version > 0 && (!ok || s.Name < who) {
			who, why, ok = s.Name, s.Why, true
		}
	}
	return who, why, ok
}
