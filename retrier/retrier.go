// Package retrier sends requests to endpoints, attempt after attempt, and
// settles what became of each attempt.
package retrier

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
)

// The bounds of one request.
const (
	maxAttempts = 4 // before a pause
	// maxAttemptTime is the most time that an agent gives an attempt.
	maxAttemptTime = 10 * time.Minute
	maxCuts        = 2                      // attempts that may break off without a cause given
	firstPause     = 100 * time.Millisecond // doubled up to lastPause
	lastPause      = 3200 * time.Millisecond
	settleLimit    = time.Second // for the settlement of attempts
	minFirstWait   = 2 * time.Second
	firstWaits     = 4 // times the usual time of a whole answer
)

// A Chooser chooses endpoints. A *router.Router is one.
type Chooser interface {
	Choose(q router.Query) (*router.Ticket, error)
}

// Suspects tells which requests may crash endpoints, and hears of those that
// showed they do not.
type Suspects interface {
	// RunsAlone reports whether a request must run alone on its endpoint.
	RunsAlone(digest gooseberrypass.Digest) bool
	// AttemptInterrupted tells that an attempt broke off.
	AttemptInterrupted(digest gooseberrypass.Digest, at gooseberrypass.ID)
	// RequestFinished tells that a request ran to its end.
	RequestFinished(digest gooseberrypass.Digest)
}

// A Retrier is the Handler at the end of the filter chain.
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

// New returns a retrier.
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
		r.budget.earn(cfg.System().RetryBudget())
	}
	run := &run{answer: answer, req: req, retrier: r}
	return run.handle(ctx)
}

var _ gooseberrypass.Handler = (*Retrier)(nil)
