// Package looper runs the control state of a process on one goroutine.
package looper

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// queueSize bounds the events that wait for the control goroutine. A process
// has far fewer effects in flight than this.
const queueSize = 4096

// A Loop hands events to controllers, one at a time, and runs the effects they
// ask for.
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

// New returns a loop that gives every controller each event, and a Tick every
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

// Add adds controllers, which see each event after those added before. It must
// not be called once the loop runs.
func (l *Loop) Add(controllers ...gooseberrypass.Controller) {
	l.controllers = append(l.controllers, controllers...)
}

// Post queues an event. It returns without queueing once the loop has stopped.
func (l *Loop) Post(event gooseberrypass.Event) {
	select {
	case l.queue <- event:
	case <-l.stopped:
	}
}

// Run handles events until ctx is done and the effects in flight have returned.
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

func (l *Loop) handle(ctx context.Context, event gooseberrypass.Event) {
	l.events.WithLabelValues(event.EventName()).Inc()
	now := l.clock.Now()
	for _, c := range l.controllers {
		for _, effect := range c.Handle(now, event) {
			l.start(ctx, effect)
		}
	}
}

func (l *Loop) start(ctx context.Context, effect gooseberrypass.Effect) {
	l.effects.WithLabelValues(effect.EffectName()).Inc()
	l.wg.Go(func() {
		if event := effect.Run(ctx); event != nil {
			l.Post(event)
		}
	})
}
