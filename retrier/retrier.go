// Package retrier sends requests to endpoints, retries failed attempts, and
// determines whether a failed request may have run.
package retrier

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
)

// Limits of one request.
const (
	maxAttempts = 4 // between two backoffs
	// maxAttemptTime is the longest time that an agent allows for an attempt.
	maxAttemptTime       = 10 * time.Minute
	maxInterruptions     = 2                      // attempts of a request that may be interrupted; recordInterruption enforces it
	initialBackoff       = 100 * time.Millisecond // doubled up to maxBackoff
	maxBackoff           = 3200 * time.Millisecond
	settleTimeout        = time.Second // for canceling or refusing attempts
	minFirstFrameTimeout = 2 * time.Second
	firstFrameFactor     = 4 // times the moving average of the time of an answer
)

// A Chooser chooses the endpoint of an attempt. *router.Router implements it.
type Chooser interface {
	Choose(q router.Query) (*router.Ticket, error)
}

// Suspects tracks the requests that may crash endpoints.
type Suspects interface {
	// MustRunAlone reports whether a request must run alone on its endpoint.
	MustRunAlone(digest gooseberrypass.Digest) bool
	// ReportInterruption reports that an attempt at an endpoint was interrupted without a
	// cause given.
	ReportInterruption(digest gooseberrypass.Digest, at gooseberrypass.ID)
	// RequestFinished reports that a request completed, so that it is no longer suspected.
	RequestFinished(digest gooseberrypass.Digest)
}

// A Retrier is the Handler at the end of the filter chain. It sends each request to
// an endpoint and retries it at others within a budget.
type Retrier struct {
	budget     *budget
	chooser    Chooser
	clock      gooseberrypass.Clock
	config     gooseberrypass.ConfigSource
	dispatcher Dispatcher
	metrics    *metrics
	newID      func() string
	suspects   Suspects
}

// New returns a retrier that chooses endpoints by chooser and sends attempts by
// dispatcher.
func New(
	clock gooseberrypass.Clock,
	config gooseberrypass.ConfigSource,
	chooser Chooser,
	dispatcher Dispatcher,
	suspects Suspects,
	registerer prometheus.Registerer,
) (*Retrier, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Retrier{
		budget:     newBudget(),
		chooser:    chooser,
		clock:      clock,
		config:     config,
		dispatcher: dispatcher,
		metrics:    m,
		newID:      func() string { return uuid.Must(uuid.NewV7()).String() },
		suspects:   suspects,
	}, nil
}

// Handle implements gooseberrypass.Handler.
func (r *Retrier) Handle(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
	if cfg := r.config.Config(); cfg != nil {
		r.budget.deposit(cfg.System().RetryBudget())
	}
	execution := &execution{answer: answer, req: req, retrier: r}
	return execution.handle(ctx)
}

var _ gooseberrypass.Handler = (*Retrier)(nil)
