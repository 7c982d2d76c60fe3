package claimer_test

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/claimer"
	"github.com/gooseberrypass/gooseberrypass/looper"
)

const retention = 2 * time.Hour

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

func newConfig() fixedConfig {
	system := gooseberrypass.NewSection(gooseberrypass.KindSystem, "system", nil, map[string]any{"claim-retention": retention})
	return fixedConfig{gooseberrypass.NewConfig(1, nil, []gooseberrypass.Section{system})}
}

// A fate is what becomes of an append.
type fate int

const (
	applied fate = iota
	answerLost
	appliedTwice
	refusedForRate
	dropped
	lands // fails now, stands in the log later
	fates
)

// A pendingAppend waits for its fate.
type pendingAppend struct {
	body   []byte
	result chan fate
}

// A gatedLog keeps one stream. Appends wait for the test to decide their fate
// if gated; each reader sees the log up to its own horizon.
type gatedLog struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	down    bool
	first   gooseberrypass.Offset
	gated   bool
	late    [][]byte
	pending []*pendingAppend
	records []gooseberrypass.Record
}

func (l *gatedLog) put(body []byte) gooseberrypass.Offset {
	l.wake()
	offset := l.first + gooseberrypass.Offset(len(l.records))
	l.records = append(l.records, gooseberrypass.Record{Offset: offset, Time: time.Now(), Body: body})
	return offset
}

// wake lets the readers look again.
func (l *gatedLog) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// decide settles the i-th pending append, if there is one.
func (l *gatedLog) decide(i int, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return
	}
	i %= len(l.pending)
	p := l.pending[i]
	l.pending = append(l.pending[:i:i], l.pending[i+1:]...)
	p.result <- f
}

// land applies the appends that failed but were still under way.
func (l *gatedLog) land() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.late {
		l.put(body)
	}
	l.late = nil
}

// trim forgets the records older than the retention.
func (l *gatedLog) trim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && time.Since(l.records[0].Time) > retention {
		l.records = l.records[1:]
		l.first++
	}
}

func (l *gatedLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// A view is the log as one entry reaches it.
type view struct {
	*gatedLog
	stalled bool // sees nothing new
	until   gooseberrypass.Offset
}

func (v *view) stall(stalled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stalled, v.until = stalled, v.first+gooseberrypass.Offset(len(v.records))
	v.wake()
}

func (v *view) Append(ctx context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	v.mu.Lock()
	if v.down {
		v.mu.Unlock()
		return 0, gooseberrypass.ErrLogUnavailable
	}
	if !v.gated {
		defer v.mu.Unlock()
		return v.put(body), nil
	}
	p := &pendingAppend{body: body, result: make(chan fate, 1)}
	v.pending = append(v.pending, p)
	v.mu.Unlock()
	f := lands
	select {
	case f = <-p.result:
	case <-ctx.Done():
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch f {
	case applied:
		return v.put(body), nil
	case appliedTwice:
		v.put(body)
		return v.put(body), nil
	case answerLost:
		v.put(body)
	case refusedForRate:
		return 0, gooseberrypass.ErrLogOverloaded
	case lands:
		v.late = append(v.late, body)
	}
	return 0, errors.Wrap(gooseberrypass.ErrLogUnavailable, "append")
}

func (v *view) Read(ctx context.Context, _ gooseberrypass.Stream, from gooseberrypass.Offset, wait time.Duration) (gooseberrypass.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for wait > 0 {
		v.mu.Lock()
		if v.changed == nil {
			v.changed = make(chan struct{})
		}
		changed := v.changed
		v.mu.Unlock()
		batch, err := v.read(from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return gooseberrypass.Batch{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			wait = 0
		}
	}
	return v.read(from)
}

func (v *view) read(from gooseberrypass.Offset) (gooseberrypass.Batch, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.first + gooseberrypass.Offset(len(v.records))
	if v.stalled {
		next = max(min(next, v.until), from)
	}
	switch {
	case v.down:
		return gooseberrypass.Batch{}, gooseberrypass.ErrLogUnavailable
	case from < v.first:
		return gooseberrypass.Batch{}, &gooseberrypass.TrimmedError{First: v.first, Next: next}
	}
	batch := gooseberrypass.Batch{First: v.first, Next: next}
	for _, r := range v.records {
		if r.Offset >= from && r.Offset < next {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, nil
}

// A pausedClock is the clock of one entry: apart from others by skew, and
// blocking whoever asks for the time while the process is frozen.
type pausedClock struct {
	clockwork.Clock
	mu     sync.Mutex
	frozen chan struct{} // closed when the process runs again, nil if it does
	skew   time.Duration
}

func (c *pausedClock) Now() time.Time {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return c.Clock.Now().Add(c.skew)
}

func (c *pausedClock) freeze(freeze bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case freeze && c.frozen == nil:
		c.frozen = make(chan struct{})
	case !freeze && c.frozen != nil:
		close(c.frozen)
		c.frozen = nil
	}
}

// An entry is one process that claims calls.
type entry struct {
	clock  *pausedClock
	filter gooseberrypass.Filter
	kill   context.CancelFunc
	life   context.Context
	caller *pausedClock // freezes the goroutines of requests alone
	lookup *claimer.Claimer
	view   *view
}

// startEntry starts the control loop of a claimer. It ends with kill.
func startEntry(log *gatedLog, skew time.Duration, wg *sync.WaitGroup) *entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &entry{caller: &pausedClock{Clock: clockwork.NewRealClock()}, view: &view{gatedLog: log}}
	e.clock = &pausedClock{Clock: clockwork.NewRealClock(), skew: skew}
	var loop *looper.Loop
	registry := prometheus.NewRegistry()
	post := func(ev gooseberrypass.Event) {
		loop.Post(ev)
		e.caller.Now()
	}
	c, err := claimer.New(e.clock, newConfig(), e.view, 1, post, registry, logger)
	if err != nil {
		panic(err)
	}
	if loop, err = looper.New(e.clock, registry, time.Second, c); err != nil {
		panic(err)
	}
	e.filter, e.lookup = c, c
	e.life, e.kill = context.WithCancel(context.Background())
	wg.Go(func() { _ = loop.Run(e.life) })
	return e
}
