package configsync

import (
	"cmp"
	"slices"
)

const maxStatuses = 2_000 // nodes whose reports a replica stores: more than a fleet has members

// NodeStatus is the last report of one node.
type NodeStatus struct {
	Name     string
	Revision Revision `cbor:"Mark" json:"Mark"` // in force at the node
	Refused  Revision // the newest that the node refused, if any
	Why      string   // reason of the refusal
	Age      int64    // ns between the time at which Revision was applied and the report
	At       int64    // ns: in a StatusTable the time of the report, in a ReplicaStatus the age of the report
}

// StatusTable holds the reports that nodes sent to one replica. It is not replicated: only the tables of all replicas together cover the
// whole fleet. The zero value is empty.
type StatusTable struct {
	nodes    map[string]*NodeStatus
	refusing map[string]*NodeStatus // the subset of nodes that refused a version
}

// Report stores the report of a node: the revision that it applied age ns ago, and the one that it refused, if any. A full table drops the
// node with the oldest report.
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

// Statuses returns the last reports of all nodes, sorted by name.
func (t *StatusTable) Statuses() []NodeStatus {
	list := make([]NodeStatus, 0, len(t.nodes))
	for _, status := range t.nodes {
		list = append(list, *status)
	}
	slices.SortFunc(list, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// refusal returns the node that refused a revision, and its reason. ok is false if none did; of several nodes it returns the first by name.
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
