package parser

import (
	"cmp"
	"fmt"
	"slices"
)

// A Finding is an error in a file and its position. Section and Key are empty if
// the error is not in a section or at a key.
type Finding struct {
	File    string
	Key     string
	Line    int
	Message string
	Section string
}

// String returns the finding as "FILE:LINE: [section] key: message".
func (f Finding) String() string {
	prefix := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		prefix += "[" + f.Section + "] "
	}
	if f.Key != "" {
		prefix += f.Key + ": "
	}
	return prefix + f.Message
}

// SortFindings sorts findings by file and line and removes duplicates. It changes
// the slice in place.
func SortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(findings)
}
