package checker

import (
	"fmt"
	"slices"
)

// suggestion returns "; did you mean …?" with the word of least edit distance, or
// "" if none is within max(2, len(word)/3) edits.
func suggestion(word string, words []string) string {
	nearest, minDistance := "", max(2, len(word)/3)+1
	for _, w := range slices.Sorted(slices.Values(words)) {
		if d := editDistance(word, w); d < minDistance {
			nearest, minDistance = w, d
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest)
}

// editDistance returns the optimal string alignment distance: the number of bytes
// to insert, delete, substitute or transpose with a neighbour to turn a into b.
func editDistance(a, b string) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}
