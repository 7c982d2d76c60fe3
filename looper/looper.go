// Package looper runs the controllers of a process on a single goroutine, the
// control goroutine.
package looper

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// queueSize is the capacity of the event queue, in events. It is far above the
// number of effects that a process has in flight.
const queueSize = 4096

// A Loop delivers events to controllers one at a time and runs the effects that
// they return.
type Loop struct {
	clock       gooseberrypass.Clock
	controllers []gooseberrypass.Controller
	effects     *prometheus.CounterVec
	events      *prometheus.CounterVec
	period      time.Duration
	queue       chan gooseberrypass.Event
	stopped     chan struct{}
	wg          sync.WaitGroup
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
		period:  period,
		queue:   make(chan gooseberrypass.Event, queueSize),
		stopped: make(chan struct{}),
	}
	for _, c := range []prometheus.Collector{l.effects, l.events} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Add adds controllers. They receive each event after the controllers added
// before. Add must not be called after Run.
func (l *Loop) Add(controllers ...gooseberrypass.Controller) {
	l.controllers = append(l.controllers, controllers...)
}

// Post queues an event. It blocks while the queue is full. Events posted after the
// loop has stopped are dropped.
func (l *Loop) Post(event gooseberrypass.Event) {
	select {
	case l.queue <- event:
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
		case event := <-l.queue:
			l.handle(ctx, event)
		case <-ticker.Chan():
			l.handle(ctx, gooseberrypass.Tick{})
		}
	}
}

// handle delivers an event to the controllers and starts their effects.
func (l *Loop) handle(ctx context.Context, event gooseberrypass.Event) {
	l.events.WithLabelValues(event.EventName()).Inc()
	now := l.clock.Now()
	for _, c := range l.controllers {
		for _, effect := range c.Handle(now, event) {
			l.startEffect(ctx, effect)
		}
	}
}

// startEffect runs an effect on a new goroutine and posts the resulting event.
func (l *Loop) startEffect(ctx context.Context, effect gooseberrypass.Effect) {
	l.effects.WithLabelValues(effect.EffectName()).Inc()
	l.wg.Go(func() {
		if event := effect.Run(ctx); event != nil {
			l.Post(event)
		}
	})
}
