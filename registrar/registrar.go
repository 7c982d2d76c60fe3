// Package registrar registers a process of the system in the platform's log, from which
// the other processes learn of it.
package registrar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Timing of registrations.
const (
	retryDelay     = 500 * time.Millisecond // delay after a failed registration; doubles up to retryDelayMost
	retryDelayMost = 2 * time.Second
	spread         = time.Second // time over which the processes register again whose registrations the log lost
)

// Records tells whether the log lost a record when it came back from an older copy.
type Records interface {
	Lost(topic gooseberrypass.Topic, key string) (restores uint64, lost bool)
}

// A Registrar is the controller that keeps a process registered.
type Registrar struct {
	body       []byte
	clock      gooseberrypass.Clock
	handled    uint64 // restore after which the process was last told to register again
	key        string
	log        gooseberrypass.KeyedLog
	logger     logrus.FieldLogger
	lost       chan struct{}
	records    Records
	registered atomic.Bool
	rng        *rand.Rand
}

// New returns a registrar of the process whose record has a key and a body.
func New(clock gooseberrypass.Clock, log gooseberrypass.KeyedLog, records Records, key string, body []byte, seed uint64, logger logrus.FieldLogger) *Registrar {
	return &Registrar{
		body: body, clock: clock, key: key, log: log, logger: logger, lost: make(chan struct{}, 1), records: records, rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Handle implements gooseberrypass.Controller.
func (r *Registrar) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	e, ok := event.(gooseberrypass.TopicChanged)
	if !ok || e.Topic != gooseberrypass.TopicProcesses {
		return nil
	}
	if restores, lost := r.records.Lost(gooseberrypass.TopicProcesses, r.key); lost && restores > r.handled {
		r.handled = restores
		r.registerAgain()
	}
	if (e.Ages == nil || r.registered.Load()) && slices.ContainsFunc(e.Batch.Records, r.deregisters) {
		r.logger.Info("process was deregistered by the process before, registering again")
		r.registerAgain()
	}
	return nil
}

// deregisters reports whether a record removes the registration. Only the process that had the
// key before writes one while this one runs. What another process passes on may be older.
func (r *Registrar) deregisters(record gooseberrypass.KeyedRecord) bool {
	return record.Key == r.key && record.Value == nil
}

func (r *Registrar) registerAgain() {
	select {
	case r.lost <- struct{}{}:
	default: // the process is about to register
	}
}

// Run registers the process, again when the log has lost the registration, and
// deregisters it when ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	r.register(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.lost:
			// All processes that the log lost register at about the same time.
			r.sleep(ctx, time.Duration(r.rng.Float64()*float64(spread)))
			r.register(ctx)
		}
	}
	// If that fails, the others detect on their own that the process is gone.
	if err := r.log.Put(context.WithoutCancel(ctx), gooseberrypass.TopicProcesses, r.key, nil); err != nil {
		r.logger.WithError(err).Warn("process deregistration failed")
	}
	return nil
}

// register writes the process to the log, retrying until that succeeds.
func (r *Registrar) register(ctx context.Context) {
	for delay := retryDelay; ctx.Err() == nil; delay = min(2*delay, retryDelayMost) {
		err := r.log.Put(ctx, gooseberrypass.TopicProcesses, r.key, r.body)
		if err == nil {
			r.registered.Store(true)
			r.logger.Info("process registered")
			return
		}
		r.logger.WithError(err).Warn("process registration failed, retrying")
		r.sleep(ctx, delay)
	}
}

func (r *Registrar) sleep(ctx context.Context, d time.Duration) {
	timer := r.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

var _ gooseberrypass.Controller = (*Registrar)(nil)
