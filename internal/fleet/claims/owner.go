package claims

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Owner is one incarnation of a node: a restarted node is another owner.
type Owner struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// CompareOwners orders owners by name, then incarnation.
func CompareOwners(a, b Owner) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// CompareKeys orders keys by token, then operation, then tenant.
func CompareKeys(a, b Key) int {
	if n := strings.Compare(a.Token, b.Token); n != 0 {
		return n
	}
	if n := strings.Compare(a.Operation, b.Operation); n != 0 {
		return n
	}
	return strings.Compare(a.Tenant, b.Tenant)
}

// ownerIndex holds the claims that can be lost with their owners: those that are claimed or started.
type ownerIndex map[Owner]map[Key]*Entry

func (x ownerIndex) add(entry *Entry) {
	owned := x[entry.Owner]
	if owned == nil {
		owned = map[Key]*Entry{}
		x[entry.Owner] = owned
	}
	owned[entry.Key] = entry
}

func (x ownerIndex) remove(entry *Entry) {
	owned := x[entry.Owner]
	delete(owned, entry.Key)
	if len(owned) == 0 {
		delete(x, entry.Owner)
	}
}

// addOwned indexes an entry by its owner.
func (t *Table) addOwned(entry *Entry) {
	t.owned.add(entry)
	if entry.Reassigned && entry.State == StateClaimed && entry.Owner != (Owner{}) {
		t.reassigned[entry.Key] = entry
	}
}

// removeOwned takes an entry out of the indices by owner, before its owner or state changes.
func (t *Table) removeOwned(entry *Entry) {
	delete(t.reassigned, entry.Key)
	t.owned.remove(entry)
}

// Owners are those who have claims that are not over, by name and incarnation.
func (t *Table) Owners() []Owner {
	return slices.SortedFunc(maps.Keys(t.owned), CompareOwners)
}

// OwnedBy are an owner's claims that are not over, by key; they must not be changed.
func (t *Table) OwnedBy(owner Owner) []*Entry {
	return sortedEntries(t.owned[owner])
}

// Reassigned are the claims that new owners have and have not started, by key; they must not be changed.
func (t *Table) Reassigned() []*Entry {
	return sortedEntries(t.reassigned)
}

func sortedEntries(entries map[Key]*Entry) (list []*Entry) {
	for _, key := range slices.SortedFunc(maps.Keys(entries), CompareKeys) {
		list = append(list, entries[key])
	}
	return list
}
