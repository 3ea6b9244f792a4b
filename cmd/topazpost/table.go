package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

const columnGap = 2 // spaces

// newTable returns a writer of tab-separated columns to standard output, with a header.
func newTable(header string) *tabwriter.Writer {
	const tabWidth = 4
	w := tabwriter.NewWriter(os.Stdout, 0, tabWidth, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(w, header) // errors are those of Flush
	return w
}
