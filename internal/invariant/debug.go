//go:build debug

package invariant

// Debug is whether a violation panics.
const Debug = true
