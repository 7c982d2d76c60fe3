package retrier

import "sync"

// maxSavedRetries bounds the retries that a quiet time saves up.
const maxSavedRetries = 10

// A budget admits retries as a share of the requests.
type budget struct {
	mu    sync.Mutex
	saved float64
}

func newBudget() *budget { return &budget{saved: maxSavedRetries} }

// earn adds the share of a retry that one request stands for.
func (b *budget) earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+share, maxSavedRetries)
}

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
