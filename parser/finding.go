package parser

import (
	"cmp"
	"fmt"
	"slices"
)

// A Finding is one fault in a file, with its place. Section and Key are empty
// where the fault lies outside of them.
type Finding struct {
	File    string
	Key     string
	Line    int
	Message string
	Section string
}

// String returns the finding as "FILE:LINE: [section] key: message".
func (f Finding) String() string {
	where := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		where += "[" + f.Section + "] "
	}
	if f.Key != "" {
		where += f.Key + ": "
	}
	return where + f.Message
}

// SortFindings puts findings in the order of their files' names and lines and
// drops those that are there twice.
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
