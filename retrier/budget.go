package retrier

import "sync"

// maxRetryTokens is the capacity of the budget: the number of retries that can
// accumulate while few requests fail.
const maxRetryTokens = 10

// A budget is a token bucket that limits retries to a share of the requests. It is
// safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: maxRetryTokens} }

// deposit adds the fraction of a token that one request earns.
func (b *budget) deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, maxRetryTokens)
}

// withdraw takes one token for a retry and reports whether there was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
