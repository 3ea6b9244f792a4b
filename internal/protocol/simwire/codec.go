// Package simwire is the codec of the ember-9016 simulator's wire: it decodes batches into events of the admission
// controller and encodes actions as replies. It decides nothing.
package simwire

import "topazpost/internal/nodeconfig"

// InstanceCodec translates between the wire's ids and the controller's indices of one instance.
type InstanceCodec struct {
	config      *nodeconfig.Config
	indices     map[uint64]int32 // of live ids
	wireIDs     []uint64         // by index
	freeIndices []int32
}

// NewInstanceCodec returns the codec of an instance that was started with a configuration.
func NewInstanceCodec(config *nodeconfig.Config) *InstanceCodec {
	return &InstanceCodec{config: config, indices: make(map[uint64]int32)}
}

// assignIndex makes an id live.
func (c *InstanceCodec) assignIndex(id uint64) int32 {
	if n := len(c.freeIndices); n > 0 {
		index := c.freeIndices[n-1]
		c.freeIndices = c.freeIndices[:n-1]
		c.wireIDs[index] = id
		c.indices[id] = index
		return index
	}
	index := int32(len(c.wireIDs))
	c.wireIDs = append(c.wireIDs, id)
	c.indices[id] = index
	return index
}

// releaseIndex makes the index available to another id.
func (c *InstanceCodec) releaseIndex(index int32) {
	delete(c.indices, c.wireIDs[index])
	c.freeIndices = append(c.freeIndices, index)
}

// DecodeClock decodes a Clock line, in nanoseconds.
func DecodeClock(line []string) (int64, error) {
	f := newFieldReader(line)
	if len(f.values) == 0 {
		f.fail(noValue)
	}
	now := f.nanoseconds()
	return now, f.err
}

// DecodeInstance decodes the number in a Target line.
func DecodeInstance(line []string) (int64, error) {
	f := newFieldReader(line)
	number := f.id()
	return int64(number), f.err
}

// DecodeConfig decodes a StartMessage line.
func DecodeConfig(line []string) (*nodeconfig.Config, error) {
	f := newFieldReader(line)
	seed := int64(f.id())
	if f.err != nil {
		return nil, f.err
	}
	return nodeconfig.FromPairs(seed, f.values)
}
