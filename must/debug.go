//go:build debug

package must

// Debug says that a breach panics.
const Debug = true
