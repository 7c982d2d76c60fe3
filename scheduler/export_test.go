package scheduler

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// A Waiter is a request that waits, for tests that run without goroutines.
type Waiter = waiter

// Enter is the first half of Choose.
func (s *Scheduler) Enter(r *Request) (*Waiter, *balancer.Ticket, error) { return s.enter(r) }

// Leave ends the wait of a request.
func (s *Scheduler) Leave(w *Waiter, refused bool) (*balancer.Ticket, error) {
	return s.leave(w, refused)
}

// Granted returns the result of a wait and whether there is one.
func (w *waiter) Granted() (*balancer.Ticket, bool) {
	select {
	case g := <-w.granted:
		return g.ticket, true
	default:
		return nil, false
	}
}

// Deadline returns the end of the wait.
func (w *waiter) Deadline() time.Time { return w.deadline }

// Reports returns the number of entries whose backlogs are remembered.
func (s *Scheduler) Reports() int { return len(s.reports.byEntry) }

// Services returns the number of services whose state is kept.
func (s *Scheduler) Services() int { return len(s.services) }
