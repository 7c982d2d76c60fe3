package replicator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/looper"
)

// A hold is an event that holds up the control loop until it is closed.
type hold chan struct{}

func (hold) EventName() string { return "hold" }

// A holder is the controller that is held up. It tells that by closing held.
type holder struct{ held chan struct{} }

func (h holder) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if e, ok := event.(hold); ok {
		close(h.held)
		<-e
	}
	return nil
}

// A watcher is the controller that passes on the time of each change of a topic, after other
// controllers have handled it.
type watcher struct {
	materialized func(now time.Time) time.Duration
	observed     chan time.Duration
}

func (w watcher) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if _, ok := event.(gooseberrypass.TopicChanged); ok {
		w.observed <- w.materialized(now)
	}
	return nil
}

// handleLate lets a control loop handle an event that waits in its queue for a time. meanwhile is
// called in the middle of it.
func handleLate(t *testing.T, clock *clockwork.FakeClock, event gooseberrypass.Event, wait time.Duration, meanwhile func(), controllers ...gooseberrypass.Controller) {
	t.Helper()
	held, release := make(chan struct{}), make(hold)
	loop, err := looper.New(clock, prometheus.NewRegistry(), time.Hour, holder{held: held})
	if err != nil {
		t.Fatal(err)
	}
	handled := make(probes, 1)
	loop.Add(controllers...)
	loop.Add(handled)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	loop.Post(release)
	<-held
	loop.Post(event)
	loop.Post(probe{})
	clock.Advance(wait / 2)
	meanwhile()
	clock.Advance(wait - wait/2)
	close(release)
	<-handled
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// The time for which a message, a pull or a read waited for a slow control loop was missing in the
// ages of versions, so that their bounds came later by as much.
func TestAgeOfAVersionHoldsTheWaitForTheControlLoop(t *testing.T) {
	const age, wait = 2 * time.Second, time.Second
	named := gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{{Key: "version", Offset: 3, Value: []byte("v")}}}
	targets := []gooseberrypass.AgedTarget{{Age: age, Model: "m", Observed: true, Version: 3}}
	for name, c := range map[string]struct {
		event gooseberrypass.Event
		want  time.Duration
	}{
		"message":        {gossiper.Received{Message: gossiper.Message{From: "other", Role: gooseberrypass.RoleEntry, Targets: targets}}, age + wait},
		"pulled record":  {gooseberrypass.TopicChanged{Ages: []time.Duration{age}, Batch: named, Topic: gooseberrypass.TopicOperator}, age + wait},
		"pulled version": {gooseberrypass.TopicChanged{Ages: []time.Duration{}, Targets: targets, Topic: gooseberrypass.TopicOperator}, age + wait},
		"own read":       {gooseberrypass.TopicChanged{Batch: named, Topic: gooseberrypass.TopicOperator}, wait},
	} {
		t.Run(name, func(t *testing.T) {
			clock, p := clockwork.NewFakeClock(), newEntry("a")
			w := watcher{materialized: func(now time.Time) time.Duration { return ageOfVersion(p, now) }, observed: make(chan time.Duration, 1)}
			handleLate(t, clock, c.event, wait, func() {}, p.materializer, p.answerer, p.replicator, w)
			if got := <-w.observed; got != c.want {
				t.Errorf("got age %v, want %v", got, c.want)
			}
		})
	}
}
