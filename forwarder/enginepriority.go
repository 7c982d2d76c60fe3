package forwarder

// enginePriorities is the number of priorities of engines. 0 is the highest.
const enginePriorities = 10

// EnginePriority returns the priority at an engine of a request of a rank, 0 being the most
// urgent one of ranks. Each rank has a range of its own, as long as there are no more ranks
// than priorities. Within it, shorter prompts come first, compared with the mean prompt; one
// of the mean length, or of unknown length, is in the middle.
func EnginePriority(rank, ranks, promptTokens, meanPromptTokens int) int {
	ranks = max(ranks, 1)
	rank = min(max(rank, 0), ranks-1)
	first := rangeStart(rank, ranks)
	levels := max(rangeStart(rank+1, ranks)-first, 1)
	size := 0.5
	if promptTokens > 0 && meanPromptTokens > 0 {
		size = float64(promptTokens) / (float64(promptTokens) + float64(meanPromptTokens))
	}
	return first + min(int(size*float64(levels)), levels-1)
}

// rangeStart returns the first priority of a rank.
func rangeStart(rank, ranks int) int {
	return rank * enginePriorities / ranks
}
