// Package cborcodec builds decoders of CBOR that refuse input which would take much memory or stack.
package cborcodec

import "github.com/fxamacker/cbor/v2"

const maxSnapshotLevels = 8 // nesting of a snapshot of replicated state

// MustDecMode returns the decoder of the options. It panics on options that contradict each other, so it is for options that are
// constants of a program.
func MustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// SnapshotDecMode returns the decoder of snapshots and commands of replicated state, whose arrays have at most maxArrayElements.
func SnapshotDecMode(maxArrayElements int) cbor.DecMode {
	return MustDecMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxSnapshotLevels,
		IndefLength:      cbor.IndefLengthForbidden,
	})
}
