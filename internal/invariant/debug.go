//go:build debug

package invariant

// Debug says that a breach panics.
const Debug = true
