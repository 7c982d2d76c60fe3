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

// An appendResult is the effect of an append on the log and its response.
type appendResult int

const (
	applied appendResult = iota
	responseLost
	appliedTwice
	rateLimited
	dropped
	appliedLate // fails now, is in the log later
	numAppendResults
)

// A pendingAppend is an append whose result the test has not chosen yet.
type pendingAppend struct {
	body   []byte
	result chan appendResult
}

// A fakeLog is a log with one stream. If gated, appends wait until the test chooses
// their result.
type fakeLog struct {
	changed     chan struct{} // closed at the next change
	first       gooseberrypass.Offset
	gated       bool
	lateAppends [][]byte
	mu          sync.Mutex
	pending     []*pendingAppend
	records     []gooseberrypass.Record
	unavailable bool
}

func (l *fakeLog) add(body []byte) gooseberrypass.Offset {
	l.notifyReaders()
	offset := l.first + gooseberrypass.Offset(len(l.records))
	l.records = append(l.records, gooseberrypass.Record{Offset: offset, Time: time.Now(), Body: body})
	return offset
}

// notifyReaders ends the waits of long polls, so that they read again.
func (l *fakeLog) notifyReaders() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// resolveAppend gives the i-th pending append its result. It does nothing if no
// append is pending.
func (l *fakeLog) resolveAppend(i int, f appendResult) {
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

// applyLate adds the bodies of appends that failed but were still in flight.
func (l *fakeLog) applyLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.lateAppends {
		l.add(body)
	}
	l.lateAppends = nil
}

// trim deletes the records older than the retention.
func (l *fakeLog) trim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && time.Since(l.records[0].Time) > retention {
		l.records = l.records[1:]
		l.first++
	}
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.notifyReaders()
}

// A view is the log as one entry sees it.
type view struct {
	*fakeLog
	stalled    bool // returns no records from visibleEnd on
	visibleEnd gooseberrypass.Offset
}

func (v *view) setStalled(stalled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stalled, v.visibleEnd = stalled, v.first+gooseberrypass.Offset(len(v.records))
	v.notifyReaders()
}

func (v *view) Append(ctx context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	v.mu.Lock()
	if v.unavailable {
		v.mu.Unlock()
		return 0, gooseberrypass.ErrLogUnavailable
	}
	if !v.gated {
		defer v.mu.Unlock()
		return v.add(body), nil
	}
	p := &pendingAppend{body: body, result: make(chan appendResult, 1)}
	v.pending = append(v.pending, p)
	v.mu.Unlock()
	outcome := appliedLate
	select {
	case outcome = <-p.result:
	case <-ctx.Done():
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch outcome {
	case applied:
		return v.add(body), nil
	case appliedTwice:
		v.add(body)
		return v.add(body), nil
	case responseLost:
		v.add(body)
	case rateLimited:
		return 0, gooseberrypass.ErrLogOverloaded
	case appliedLate:
		v.lateAppends = append(v.lateAppends, body)
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
		next = max(min(next, v.visibleEnd), from)
	}
	switch {
	case v.unavailable:
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

// A processClock is the clock of one entry, off from the real time by skew. While
// the process is suspended, it blocks every caller of Now.
type processClock struct {
	clockwork.Clock
	mu     sync.Mutex
	frozen chan struct{} // closed when the process resumes, nil while it runs
	skew   time.Duration
}

func (c *processClock) Now() time.Time {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return c.Clock.Now().Add(c.skew)
}

func (c *processClock) freeze(freeze bool) {
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

// An entry is a process with a claimer.
type entry struct {
	clock        *processClock
	filter       gooseberrypass.Filter
	kill         context.CancelFunc
	lifetime     context.Context
	outcomes     *claimer.Claimer
	requestClock *processClock // suspends only the goroutines of requests
	view         *view
}

// startEntry starts an entry's claimer and its control loop, which runs until kill
// is called.
func startEntry(log *fakeLog, skew time.Duration, wg *sync.WaitGroup) *entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &entry{requestClock: &processClock{Clock: clockwork.NewRealClock()}, view: &view{fakeLog: log}}
	e.clock = &processClock{Clock: clockwork.NewRealClock(), skew: skew}
	var loop *looper.Loop
	registry := prometheus.NewRegistry()
	post := func(ev gooseberrypass.Event) {
		loop.Post(ev)
		e.requestClock.Now()
	}
	c, err := claimer.New(e.clock, newConfig(), e.view, 1, post, registry, logger)
	if err != nil {
		panic(err)
	}
	if loop, err = looper.New(e.clock, registry, time.Second, c); err != nil {
		panic(err)
	}
	e.filter, e.outcomes = c, c
	e.lifetime, e.kill = context.WithCancel(context.Background())
	wg.Go(func() { _ = loop.Run(e.lifetime) })
	return e
}
