package configsync

import (
	"cmp"
	"slices"
)

const maxStatuses = 2_000 // nodes whose reports a replica remembers: above any number of members

// NodeStatus is what one node reported last.
type NodeStatus struct {
	Name     string
	Revision Revision `cbor:"Mark" json:"Mark"`
	Refused  Revision
	Why      string
	Age      int64 // ns since Revision was in force there, when it reported
	At       int64 // when it reported
}

// StatusTable is what nodes reported to one replica. It isn't replicated: the tables of all replicas together show the whole fleet. The
// zero value is empty.
type StatusTable struct {
	nodes    map[string]*NodeStatus
	refusing map[string]*NodeStatus // those of nodes that refused a version
}

// Report notes what a node has. A full table forgets the node that was silent longest.
func (t *StatusTable) Report(now int64, name string, applied, refused Revision, why string, age int64) {
	status := t.nodes[name]
	if status == nil {
		status = t.add(name)
	}
	status.Revision = applied
	status.Refused = refused
	status.Why = truncate(why, maxReasonBytes)
	status.Age = age
	status.At = now
	if refused.Version > 0 {
		t.refusing[name] = status
	} else {
		delete(t.refusing, name)
	}
}

func (t *StatusTable) add(name string) *NodeStatus {
	if t.nodes == nil {
		t.nodes = map[string]*NodeStatus{}
		t.refusing = map[string]*NodeStatus{}
	}
	if len(t.nodes) >= maxStatuses {
		t.removeOldest()
	}
	status := &NodeStatus{Name: name}
	t.nodes[name] = status
	return status
}

func (t *StatusTable) removeOldest() {
	var oldest *NodeStatus
	for _, status := range t.nodes {
		if oldest == nil || cmp.Or(cmp.Compare(status.At, oldest.At), cmp.Compare(status.Name, oldest.Name)) < 0 {
			oldest = status
		}
	}
	delete(t.nodes, oldest.Name)
	delete(t.refusing, oldest.Name)
}

// Statuses are all that are known, by name.
func (t *StatusTable) Statuses() []NodeStatus {
	list := make([]NodeStatus, 0, len(t.nodes))
	for _, status := range t.nodes {
		list = append(list, *status)
	}
	slices.SortFunc(list, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// refusal is the first node by name that refused a version, and its reason.
func (t *StatusTable) refusal(revision Revision) (who, why string, ok bool) {
	if revision.Version == 0 {
		return "", "", false
	}
	for _, status := range t.refusing {
		if status.Refused == revision && (!ok || status.Name < who) {
			who = status.Name
			why = status.Why
			ok = true
		}
	}
	return who, why, ok
}
