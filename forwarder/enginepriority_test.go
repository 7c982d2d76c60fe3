package forwarder_test

import (
	"math"
	"testing"

	"github.com/gooseberrypass/gooseberrypass/forwarder"
)

// Within a rank, long prompts delayed short ones at the engine.
func TestEnginePriorityOfPromptsWithinARank(t *testing.T) {
	tests := map[string]struct {
		rank, ranks, prompt, mean int
		want                      int
	}{
		"one rank, short":             {ranks: 1, prompt: 100, mean: 900, want: 1},
		"one rank, mean":              {ranks: 1, prompt: 900, mean: 900, want: 5},
		"one rank, three times":       {ranks: 1, prompt: 2700, mean: 900, want: 7},
		"one rank, longest":           {ranks: 1, prompt: math.MaxInt, mean: 1, want: 9},
		"unknown prompt":              {ranks: 1, mean: 900, want: 5},
		"unknown mean":                {ranks: 1, prompt: 4000, want: 5},
		"most urgent of three, short": {ranks: 3, prompt: 400, mean: 900, want: 0},
		"most urgent of three, mean":  {ranks: 3, prompt: 900, mean: 900, want: 1},
		"most urgent of three, long":  {ranks: 3, prompt: 2700, mean: 900, want: 2},
		"second of three, short":      {rank: 1, ranks: 3, prompt: 400, mean: 900, want: 3},
		"last of three, long":         {rank: 2, ranks: 3, prompt: 3880, mean: 900, want: 9},
		"last of ten, short":          {rank: 9, ranks: 10, prompt: 1, mean: 900, want: 9},
		"no ranks":                    {prompt: 900, mean: 900, want: 5},
		"negative rank":               {rank: -4, ranks: 3, prompt: 900, mean: 900, want: 1},
		"rank beyond the last":        {rank: 7, ranks: 3, prompt: 3880, mean: 900, want: 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := forwarder.EnginePriority(tt.rank, tt.ranks, tt.prompt, tt.mean); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// The size of a prompt must never give a less urgent rank precedence, nor leave the range of
// the header, whatever the number of ranks is.
func TestEnginePriorityKeepsTheOrderOfRanks(t *testing.T) {
	prompts := []int{math.MinInt, -1, 0, 1, 400, 900, 3880, 1e9, math.MaxInt}
	for ranks := 1; ranks <= 25; ranks++ {
		last := 0 // lowest precedence of the more urgent ranks
		for rank := range ranks {
			lowest := 0
			for _, prompt := range prompts {
				for _, mean := range prompts {
					got := forwarder.EnginePriority(rank, ranks, prompt, mean)
					if got < 0 || got > 9 {
						t.Fatalf("rank %d of %d, prompt %d, mean %d: got %d, want 0 to 9", rank, ranks, prompt, mean, got)
					}
					if got < last || ranks <= 10 && rank > 0 && got == last {
						t.Fatalf("rank %d of %d, prompt %d, mean %d: got %d, want above the %d of the rank before", rank, ranks, prompt, mean, got, last)
					}
					lowest = max(lowest, got)
				}
			}
			last = lowest
		}
	}
}
