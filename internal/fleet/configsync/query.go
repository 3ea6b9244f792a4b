package configsync

// QueryKind is the kind of a Query.
type QueryKind uint8

// The kinds of queries.
const (
	QueryStatus  QueryKind = iota + 1 // the status of the node; at a replica also the statuses of the nodes that reported to it
	QueryBlocks                       // blocks of a content, from block From on
	QueryPropose                      // proposes a CommandPut or a CommandRollback
)

// The contents that Query.Which selects for QueryBlocks.
const (
	ContentInForce = iota // in force at the node
	ContentForAll         // at a replica: the content in force for all nodes
	ContentNewest         // at a replica: the newest agreed content
)

// Query is a request of an operator's command to a node.
type Query struct {
	Kind    QueryKind `cbor:"1,keyasint"`
	Which   int       `cbor:"2,keyasint,omitempty"` // QueryBlocks
	From    int       `cbor:"3,keyasint,omitempty"` // QueryBlocks: the first block
	Command *Command  `cbor:"4,keyasint,omitempty"` // QueryPropose
}

// Answer is the answer of a node to a Query.
type Answer struct {
	Node          string           `cbor:"1,keyasint"`
	Replicas      []ReplicaAddress `cbor:"2,keyasint,omitempty"`
	Status        *Status          `cbor:"3,keyasint,omitempty"`
	ReplicaStatus *ReplicaStatus   `cbor:"4,keyasint,omitempty"` // only from a node whose replica knows the agreed versions
	Revision      Revision         `cbor:"5,keyasint"`           // QueryBlocks: revision of the content
	Blocks        []Block          `cbor:"6,keyasint,omitempty"`
	Next          int              `cbor:"7,keyasint,omitempty"` // QueryBlocks: the first block that is not included, 0 if none is left
	Verdict       *Verdict         `cbor:"8,keyasint,omitempty"` // QueryPropose: nil after a timeout; the same query can be repeated
	Why           string           `cbor:"9,keyasint,omitempty"` // why the query was not answered
}

// ReplicaAddress is a replica and the address at which its peers reach it, empty if unknown.
type ReplicaAddress struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Address string `cbor:"2,keyasint,omitempty" json:"address,omitempty"`
}

// ReplicaStatus is the state that a node with a replica knows in addition to its own status.
type ReplicaStatus struct {
	Head             RolloutState `cbor:"1,keyasint"`
	Newest           Revision     `cbor:"2,keyasint"`
	RollbackVersions []uint64     `cbor:"3,keyasint,omitempty"` // versions that a CommandRollback may name
	Nodes            []NodeStatus `cbor:"4,keyasint,omitempty"` // last reports, with At as their age
	Alive            []string     `cbor:"5,keyasint,omitempty"` // members in the view of this node
}

// Blocks returns the non-empty blocks from number from on, at least one and as many as fit into maxBytes. next is the number of the first
// block that did not fit, or 0 if none is left.
func (c *Content) Blocks(from, maxBytes int) (list []Block, next int) {
	for n := max(0, from); n < Blocks; n++ {
		text, _ := c.Block(n)
		if len(text) == 0 {
			continue
		}
		maxBytes -= len(text)
		if maxBytes < 0 && len(list) > 0 {
			return list, n
		}
		list = append(list, Block{Number: uint16(n), Text: text})
	}
	return list, 0
}

// FromBlocks returns the content with the given blocks, or nil if a block is malformed or the digest of the content is not want.
func FromBlocks(list []Block, want Digest) *Content {
	content := &Content{}
	owned := [fanout]bool{}
	for _, block := range list {
		if !content.setCheckedBlock(block, &owned) {
			return nil
		}
	}
	if content.Digest() != want {
		return nil
	}
	return content
}

// setCheckedBlock replaces a block, and returns false if the new block is malformed.
func (c *Content) setCheckedBlock(block Block, owned *[fanout]bool) bool {
	n := int(block.Number)
	if _, ok := checkBlock(n, block.Text); !ok || n >= Blocks {
		return false
	}
	c.setBlock(n, block.Text, owned)
	return true
}
