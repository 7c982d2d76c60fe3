package materializer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A versionLog is the operator's topic: the newest record of the version, and those that
// a reader which follows the topic still gets.
type versionLog struct {
	records []gooseberrypass.KeyedRecord
	trimmed int // records that can no longer be read one by one
}

func (l *versionLog) name(version string) {
	l.records = append(l.records, record("version", version, gooseberrypass.Offset(len(l.records))))
}

func (l *versionLog) newest() []gooseberrypass.KeyedRecord {
	return l.records[max(len(l.records)-1, 0):]
}

// A versionReader is a process, and when it or a process that it heard of this from saw
// each version being named.
type versionReader struct {
	m       *materializer.Materializer
	readAt  time.Time // last read
	saw     map[int]time.Time
	started bool // the first read is done
}

func newVersionReader() *versionReader {
	r := &versionReader{}
	r.restart()
	return r
}

func (r *versionReader) restart() {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	*r = versionReader{m: materializer.New(textDecoder{}, materializer.Settings{AssumedAge: assumedAge}, log), saw: map[int]time.Time{}}
}

func (r *versionReader) next() gooseberrypass.Offset {
	return r.m.NextOffset(gooseberrypass.TopicOperator)
}

// read reads the log as package follower does.
func (r *versionReader) read(now time.Time, l *versionLog) {
	e := gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: gooseberrypass.Offset(len(l.records))}, FirstRead: !r.started, ReadFrom: r.readAt, Topic: gooseberrypass.TopicOperator}
	from := r.next()
	if r.started && int(from) >= l.trimmed {
		e.Batch.Records = l.records[from:]
	} else {
		e.Batch.Complete, e.Batch.Records = true, l.newest()
	}
	for _, record := range e.Batch.Records {
		if version := int(record.Value[0] - '0'); record.Offset >= from && !e.FirstRead {
			r.see(version, now)
		}
	}
	r.readAt, r.started = now, true
	r.m.Handle(now, e)
}

func (r *versionReader) see(version int, at time.Time) {
	if known, ok := r.saw[version]; !ok || at.Before(known) {
		r.saw[version] = at
	}
}

func (r *versionReader) seeAll(from *versionReader) {
	for version, at := range from.saw {
		r.see(version, at)
	}
}

// pull takes the records that it lacks from another process, as package replicator does.
func (r *versionReader) pull(now time.Time, from *versionReader) {
	if from.next() <= r.next() {
		return
	}
	extract := from.m.RecordsFrom(gooseberrypass.TopicOperator, r.next())
	e := gooseberrypass.TopicChanged{
		Ages: []time.Duration{}, Batch: gooseberrypass.KeyedBatch{Complete: extract.Complete, Next: from.next(), Records: extract.Records}, Targets: from.m.AgedTargets(now), Topic: gooseberrypass.TopicOperator,
	}
	for _, at := range extract.Since {
		e.Ages = append(e.Ages, now.Sub(at))
	}
	r.m.Handle(now, e)
	r.seeAll(from)
}

// hear handles a message from another process: the records that this one lacks are
// pulled, and the ages of versions in it count.
func (r *versionReader) hear(now time.Time, from *versionReader) {
	r.pull(now, from)
	if news := r.m.NewTargets(now, from.m.AgedTargets(now)); len(news) > 0 {
		r.m.Handle(now, gooseberrypass.TopicChanged{Ages: []time.Duration{}, Targets: news, Topic: gooseberrypass.TopicOperator})
	}
	r.seeAll(from)
}

// wantBounds checks that a process requires each version, or a newer one, as soon after
// it was named as any process knows.
func (r *versionReader) wantBounds(t *testing.T, order []string, name string) {
	t.Helper()
	targets := r.m.Snapshot().Targets["m"]
	for version, at := range r.saw {
		if got := targets.Required(at.Add(8*time.Second), 8*time.Second); got < version {
			t.Fatalf("%v: process %s requires version %d at the bound of version %d: %+v", order, name, got, version, targets)
		}
	}
}

// wantNoneEarly checks that no version counts as seen before it was named.
func (r *versionReader) wantNoneEarly(t *testing.T, order []string, name string, named map[int]time.Time) {
	t.Helper()
	for _, target := range r.m.Snapshot().Targets["m"] {
		if at, ok := named[target.Version]; ok && !target.ObservedAt.IsZero() && target.ObservedAt.Before(at) {
			t.Fatalf("%v: process %s saw version %d at %s, before it was named at %s", order, name, target.Version, target.ObservedAt, at)
		}
	}
}

// play plays an order of events, a second apart, and the messages that follow it.
func play(t *testing.T, order []string) {
	t.Helper()
	now, l := startTime, &versionLog{}
	a, b := newVersionReader(), newVersionReader()
	a.read(now, l)
	b.read(now, l)
	named := map[int]time.Time{}
	for _, event := range order {
		now = now.Add(time.Second)
		switch event {
		case "version 2 named", "version 3 named":
			version := 2 + len(l.records)
			l.name(strconv.Itoa(version))
			named[version] = now
			a.read(now, l) // a is in touch with the log
		case "log trimmed":
			l.trimmed = len(l.records)
		case "a restarts":
			a.restart()
			a.read(now, l)
		case "b restarts":
			b.restart()
		case "b reads":
			b.read(now, l)
		case "b pulls":
			b.pull(now, a)
		case "b hears":
			b.hear(now, a)
		}
	}
	now = now.Add(time.Second)
	a.hear(now, b)
	b.hear(now, a)
	for name, r := range map[string]*versionReader{"a": a, "b": b} {
		r.wantBounds(t, order, name)
		r.wantNoneEarly(t, order, name, named)
	}
}

// permute calls f with each order of events[n:] after events[:n].
func permute(events []string, n int, f func([]string)) {
	if n == len(events) {
		f(events)
		return
	}
	for i := n; i < len(events); i++ {
		events[n], events[i] = events[i], events[n]
		permute(events, n+1, f)
		events[n], events[i] = events[i], events[n]
	}
}

// A process that learned late of a version, or not at all as a newer one had replaced it,
// sent requests to engines of an older version past its bound. In no order of namings,
// restarts, reads and exchanges may a process count the bound from later than any process
// that it hears from does.
func TestBoundsOfVersionsHoldInEveryOrder(t *testing.T) {
	events := []string{"version 2 named", "version 3 named", "log trimmed", "b reads", "b pulls", "b hears"}
	played := 0
	for _, restarts := range [][]string{nil, {"a restarts"}, {"b restarts"}, {"a restarts", "b restarts"}} {
		permute(append(slices.Clone(events), restarts...), 0, func(order []string) {
			if slices.Index(order, "version 2 named") < slices.Index(order, "version 3 named") {
				play(t, order)
				played++
			}
		})
	}
	if got, want := played, (720+2*5040+40320)/2; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
}
