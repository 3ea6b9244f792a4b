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
func (t *StatusTable) Report(now int64, name string, has, refused Revision, why string, age int64) {
	status := t.nodes[name]
	if status == nil {
		if t.nodes == nil {
			t.nodes, t.refusers = map[string]*NodeStatus{}, map[string]*NodeStatus{}
		}
		if len(t.nodes) >= maxStatuses {
			var old *NodeStatus
			for _, status := range t.nodes {
				if old == nil || cmp.Or(cmp.Compare(status.At, old.At), cmp.Compare(status.Name, old.Name)) < 0 {
					old = status
				}
			}
			delete(t.nodes, old.Name)
			delete(t.refusers, old.Name)
		}
		status = &NodeStatus{Name: name}
		t.nodes[name] = status
	}
	status.Mark, status.Refused, status.Why, status.Age, status.At = has, refused, truncate(why, maxReasonBytes), age, now
	if refused.Version > 0 {
		t.refusers[name] = status
	} else {
		delete(t.refusers, name)
	}
}

// Statuses are all that are known, by name.
func (t *StatusTable) Statuses() []NodeStatus {
	list := make([]NodeStatus, 0, len(t.nodes))
	for _, status := range t.nodes {
		list = append(list, *status)
	}
	slices.SortFunc(list, func(x, y NodeStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// refusal is a node that can't take a version, the first by name.
func (t *StatusTable) refusal(revision Revision) (who, why string, ok bool) {
	for _, status := range t.refusers {
		if status.Refused == revision && revision.Version > 0 && (!ok || status.Name < who) {
			who, why, ok = status.Name, status.Why, true
		}
	}
	return who, why, ok
}
