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

// ownerIndex holds the claimed and started entries by owner: those that the loss of the owner affects.
type ownerIndex map[Owner]map[Key]*Entry

func (index ownerIndex) add(entry *Entry) {
	owned := index[entry.Owner]
	if owned == nil {
		owned = map[Key]*Entry{}
		index[entry.Owner] = owned
	}
	owned[entry.Key] = entry
}

func (index ownerIndex) remove(entry *Entry) {
	owned := index[entry.Owner]
	delete(owned, entry.Key)
	if len(owned) == 0 {
		delete(index, entry.Owner)
	}
}

// addOwned adds an entry to the indices that depend on its owner and state.
func (t *Table) addOwned(entry *Entry) {
	t.owned.add(entry)
	if entry.Reassigned && entry.State == StateClaimed && entry.Owner != (Owner{}) {
		t.reassigned[entry.Key] = entry
	}
}

// removeOwned removes an entry from those indices. It must be called before the entry's owner or state changes.
func (t *Table) removeOwned(entry *Entry) {
	delete(t.reassigned, entry.Key)
	t.owned.remove(entry)
}

// Owners returns the owners of claimed or started claims, by name and incarnation. The zero Owner stands for returned claims.
func (t *Table) Owners() []Owner {
	return slices.SortedFunc(maps.Keys(t.owned), CompareOwners)
}

// OwnedBy returns an owner's claimed and started claims, by key. The caller must not change them.
func (t *Table) OwnedBy(owner Owner) []*Entry {
	return sortedEntries(t.owned[owner])
}

// Reassigned returns the claims that their new owners have not started, by key. The caller must not change them.
func (t *Table) Reassigned() []*Entry {
	return sortedEntries(t.reassigned)
}

func sortedEntries(entries map[Key]*Entry) (list []*Entry) {
	for _, key := range slices.SortedFunc(maps.Keys(entries), CompareKeys) {
		list = append(list, entries[key])
	}
	return list
}
