// Package limiter enforces the rate limits of client accounts.
package limiter

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Limiter is a filter that refuses requests of a client account above its rate.
// Each live entry enforces an equal share of the rate, so that all entries
// together admit the whole rate. The shares change with the number of live entries.
type Limiter struct {
	buckets map[gooseberrypass.ID]*rate.Limiter
	clock   gooseberrypass.Clock
	config  gooseberrypass.ConfigSource
	entries atomic.Int64 // live entries, at least 1
	mu      sync.Mutex   // guards buckets
	refused prometheus.Counter
	share   prometheus.Gauge
}

// New returns a limiter that admits the whole rate until it receives the members of
// the system.
func New(clock gooseberrypass.Clock, config gooseberrypass.ConfigSource, registerer prometheus.Registerer) (*Limiter, error) {
	l := &Limiter{
		buckets: map[gooseberrypass.ID]*rate.Limiter{},
		clock:   clock,
		config:  config,
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_limited_total",
			Help: "Requests refused for the rate of their client account.",
		}),
		share: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_limit_share",
			Help: "Share of each client account's rate that this entry admits.",
		}),
	}
	l.entries.Store(1)
	l.share.Set(1)
	for _, c := range []prometheus.Collector{l.refused, l.share} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Handle implements gooseberrypass.Controller.
func (l *Limiter) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		l.dropRemovedAccounts(e.Config)
	case gooseberrypass.MembersChanged:
		live := int64(0)
		for _, m := range e.Members {
			if m.Listed.Role == gooseberrypass.RoleEntry && m.Listed.State == gooseberrypass.ListedLive {
				live++
			}
		}
		l.entries.Store(max(live, 1))
		l.share.Set(1 / float64(max(live, 1)))
	}
	return nil
}

// dropRemovedAccounts drops the buckets of accounts that a configuration no longer has.
func (l *Limiter) dropRemovedAccounts(cfg *gooseberrypass.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.buckets {
		if _, ok := cfg.Account(id); !ok {
			delete(l.buckets, id)
		}
	}
}

// Wrap implements gooseberrypass.Filter.
func (l *Limiter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		if wait := l.admit(req.AccountID()); wait > 0 {
			l.refused.Inc()
			return &gooseberrypass.RequestError{
				Detail:     "client account " + string(req.AccountID()) + " is over its rate",
				Outcome:    gooseberrypass.OutcomeNotRun,
				Reason:     gooseberrypass.ReasonLimited,
				RetryAfter: wait,
			}
		}
		return next.Handle(ctx, req, answer)
	})
}

// admit takes a token from the account's bucket and returns 0, or returns the time
// until the bucket has a token.
func (l *Limiter) admit(id gooseberrypass.ID) time.Duration {
	cfg := l.config.Config()
	if cfg == nil {
		return 0
	}
	account, ok := cfg.Account(id)
	if !ok || account.Rate() <= 0 {
		return 0
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := float64(l.entries.Load())
	limit := rate.Limit(account.Rate() / entries)
	burst := max(1, int(math.Ceil(float64(account.Burst())/entries)))
	bucket, ok := l.buckets[id]
	if !ok {
		bucket = rate.NewLimiter(limit, burst)
		l.buckets[id] = bucket
	}
	bucket.SetLimitAt(now, limit)
	bucket.SetBurstAt(now, burst)
	reservation := bucket.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

var (
	_ gooseberrypass.Controller = (*Limiter)(nil)
	_ gooseberrypass.Filter     = (*Limiter)(nil)
)
