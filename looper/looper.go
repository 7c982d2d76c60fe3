// Package looper runs the controllers of a process on a single goroutine, the
// control goroutine.
package looper

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// queueSize is the capacity of the event queue, in events. It is far above the
// number of effects that a process has in flight.
const queueSize = 4096

// panicPause is the time after which an effect that panicked runs again. Its
// controller waits for the event in which it results.
const panicPause = time.Second

// A Loop delivers events to controllers one at a time and runs the effects that
// they return. A panic in either is logged and counted and does not end the process.
type Loop struct {
	clock       gooseberrypass.Clock
	controllers []gooseberrypass.Controller
	effects     *prometheus.CounterVec
	events      *prometheus.CounterVec
	logger      logrus.FieldLogger
	panics      *prometheus.CounterVec
	period      time.Duration
	queue       chan queuedEvent
	stopped     chan struct{}
	wg          sync.WaitGroup
}

// A queuedEvent is an event with the time at which it was posted.
type queuedEvent struct {
	event    gooseberrypass.Event
	postedAt time.Time
}

// at returns the event as of a time at which it is handled.
func (q queuedEvent) at(now time.Time) gooseberrypass.Event {
	if e, ok := q.event.(gooseberrypass.TimedEvent); ok {
		return e.Later(max(now.Sub(q.postedAt), 0))
	}
	return q.event
}

// New returns a loop that delivers every event to all controllers, and a Tick every
// period.
func New(
	clock gooseberrypass.Clock,
	registerer prometheus.Registerer,
	period time.Duration,
	controllers ...gooseberrypass.Controller,
) (*Loop, error) {
	l := &Loop{
		clock:       clock,
		controllers: controllers,
		effects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_control_effects_total",
			Help: "Effects started by controllers.",
		}, []string{"effect"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_control_events_total",
			Help: "Events handled on the control goroutine.",
		}, []string{"event"}),
		logger: logrus.StandardLogger(),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_control_panics_total",
			Help: "Panics of controllers and effects, by the event or effect.",
		}, []string{"in"}),
		period:  period,
		queue:   make(chan queuedEvent, queueSize),
		stopped: make(chan struct{}),
	}
	for _, c := range []prometheus.Collector{l.effects, l.events, l.panics} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// SetLogger sets the logger of panics, logrus.StandardLogger by default. It must not
// be called after Run.
func (l *Loop) SetLogger(logger logrus.FieldLogger) { l.logger = logger }

// Add adds controllers. They receive each event after the controllers added
// before. Add must not be called after Run.
func (l *Loop) Add(controllers ...gooseberrypass.Controller) {
	l.controllers = append(l.controllers, controllers...)
}

// Post queues an event. The ages of a TimedEvent grow while it waits. Post blocks while the queue
// is full. Events posted after the loop has stopped are dropped.
func (l *Loop) Post(event gooseberrypass.Event) {
	select {
	case l.queue <- queuedEvent{event: event, postedAt: l.clock.Now()}:
	case <-l.stopped:
	}
}

// Run handles events until ctx is done, then waits for the effects in flight.
func (l *Loop) Run(ctx context.Context) error {
	ticker := l.clock.NewTicker(l.period)
	defer l.wg.Wait()
	defer close(l.stopped)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case queued := <-l.queue:
			now := l.clock.Now()
			l.handle(ctx, now, queued.at(now))
		case <-ticker.Chan():
			l.handle(ctx, l.clock.Now(), gooseberrypass.Tick{})
		}
	}
}

// handle delivers an event to the controllers and starts their effects.
func (l *Loop) handle(ctx context.Context, now time.Time, event gooseberrypass.Event) {
	l.events.WithLabelValues(event.EventName()).Inc()
	for _, c := range l.controllers {
		for _, effect := range l.handleWith(c, now, event) {
			l.startEffect(ctx, effect)
		}
	}
}

// handleWith passes an event to one controller. If that panics, the event has no
// effects, and the other controllers still receive it.
func (l *Loop) handleWith(c gooseberrypass.Controller, now time.Time, event gooseberrypass.Event) (effects []gooseberrypass.Effect) { //nolint:nonamedreturns // set when the call panics
	defer func() {
		if cause := recover(); cause != nil {
			l.recordPanic(event.EventName(), event, cause)
			effects = nil
		}
	}()
	return c.Handle(now, event)
}

// recordPanic counts and logs a panic. The digest of the input tells whether the same
// one caused others.
func (l *Loop) recordPanic(in string, input, cause any) {
	l.panics.WithLabelValues(in).Inc()
	digest := gooseberrypass.DigestOf(fmt.Appendf(nil, "%+v", input))
	l.logger.WithFields(logrus.Fields{"in": in, "input": digest.Short(), "panic": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("panic contained")
}

// startEffect runs an effect on a new goroutine and posts the resulting event.
func (l *Loop) startEffect(ctx context.Context, effect gooseberrypass.Effect) {
	l.effects.WithLabelValues(effect.EffectName()).Inc()
	l.wg.Go(func() {
		event, ok := l.runEffect(ctx, effect)
		for !ok && l.pause(ctx) {
			event, ok = l.runEffect(ctx, effect)
		}
		if event != nil {
			l.Post(event)
		}
	})
}

// runEffect runs an effect and reports whether it ended without a panic.
func (l *Loop) runEffect(ctx context.Context, effect gooseberrypass.Effect) (event gooseberrypass.Event, ok bool) { //nolint:nonamedreturns // set when the call panics
	defer func() {
		if cause := recover(); cause != nil {
			l.recordPanic(effect.EffectName(), effect, cause)
			event, ok = nil, false
		}
	}()
	return effect.Run(ctx), true
}

// pause waits for panicPause and reports whether ctx is still in force.
func (l *Loop) pause(ctx context.Context) bool {
	timer := l.clock.NewTimer(panicPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
