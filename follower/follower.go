// Package follower tails the keyed topics of the platform's log and posts the
// changes to the control loop.
package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Settings tune a Follower.
type Settings struct {
	CheckPeriod time.Duration                // delay between the short reads beside a long poll, whose answer may be lost; 0 for none
	Handover    time.Duration                // time for which the process that read the topic before may have had no answers once this one reads again
	LongPoll    time.Duration                // long-poll wait: how long the log may hold a read without records
	NextOffset  func() gooseberrypass.Offset // returns the offset after the last record received from any source; nil if the log is the only source
	Once        bool                         // stop after the first successful read; other processes announce later changes
	Pause       time.Duration                // delay between two reads
	Restores    *Restores                    // restores that the followers of the process have seen; nil if this one is alone
	RetryDelay  time.Duration                // delay after a failed read; doubles up to maxRetryFactor times with each further one
	ShouldRead  func() bool                  // reports whether this process reads the topic; nil if it always does
	StartDelay  time.Duration                // delay of the first read; a follower with Once skips it if records have arrived from another process by then
}

// A Follower reads one topic and posts its changes.
type Follower struct {
	answeredAt time.Time // last answer of the log to this process or the one that read before, or begin of a later read that took long and failed; zero before the first answer and while the log is unavailable
	clock      gooseberrypass.Clock
	failures   int // failed reads in a row
	log        gooseberrypass.KeyedLog
	logger     logrus.FieldLogger
	next       gooseberrypass.Offset // offset of the next read
	post       func(gooseberrypass.Event)
	reads      *prometheus.CounterVec
	settings   Settings
	started    bool // a read has succeeded
	topic      gooseberrypass.Topic
}

// NewReadCounter returns the counter of reads that all followers of a process share.
func NewReadCounter(registerer prometheus.Registerer) (*prometheus.CounterVec, error) {
	reads := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrypass_topic_reads_total",
		Help: "Reads of keyed topics, by topic and result.",
	}, []string{"topic", "result"})
	return reads, errors.Wrap(registerer.Register(reads), "register topic metrics")
}

// New returns a follower of topic. post sends events to the control loop.
func New(
	clock gooseberrypass.Clock,
	log gooseberrypass.KeyedLog,
	topic gooseberrypass.Topic,
	settings Settings,
	post func(gooseberrypass.Event),
	reads *prometheus.CounterVec,
	logger logrus.FieldLogger,
) *Follower {
	if settings.Restores == nil {
		settings.Restores = NewRestores()
	}
	return &Follower{
		clock: clock, log: log, logger: logger.WithField("topic", topic), post: post,
		reads: reads, settings: settings, topic: topic,
	}
}

// standbyPoll is the interval at which a process on standby checks whether it has
// to read.
const standbyPoll = 100 * time.Millisecond

// maxStandbyGap is the time between two such checks from which on the process stood still.
const maxStandbyGap = 5 * standbyPoll

// Run reads the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.sleep(ctx, f.settings.StartDelay)
	for ctx.Err() == nil {
		if f.settings.Once && f.nextOffset() > 0 {
			<-ctx.Done()
			return nil
		}
		if f.mayStandBy() && !f.settings.ShouldRead() {
			f.standBy(ctx)
			continue
		}
		pause := f.settings.Pause
		started := f.clock.Now()
		if err := f.read(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(started, err)
			pause = f.retryDelay()
		} else if f.settings.Once {
			<-ctx.Done()
			return nil
		}
		f.sleep(ctx, pause)
	}
	return nil
}

// maxRetryFactor limits the delay after failed reads. All processes that the store
// turns away retry, and each of their calls counts against its rate.
const maxRetryFactor = 4

func (f *Follower) retryDelay() time.Duration {
	return f.settings.RetryDelay * time.Duration(min(1<<min(f.failures-1, maxRetryFactor), maxRetryFactor))
}

// mayStandBy reports whether the process may leave the topic to another one: after its
// first read, or when the store turns it away and another process has passed on records.
func (f *Follower) mayStandBy() bool {
	return f.settings.ShouldRead != nil && (f.started || f.failures > 0 && f.nextOffset() > 0)
}

// nextOffset returns the offset after the last record that this process has from
// any source.
func (f *Follower) nextOffset() gooseberrypass.Offset {
	if f.settings.NextOffset == nil {
		return f.next
	}
	return max(f.next, f.settings.NextOffset())
}

// standBy waits while another process reads the topic and passes on the records.
func (f *Follower) standBy(ctx context.Context) {
	f.logger.WithFields(offsetFields(f.nextOffset())).Info("topic is read by another process")
	f.failures = 0
	f.post(gooseberrypass.TopicRead{Topic: f.topic})
	var stoodStillAt, resumedAt time.Time // begin and end of the last standstill of this process
	for ctx.Err() == nil && !f.settings.ShouldRead() {
		checkedAt := f.clock.Now()
		f.sleep(ctx, standbyPoll)
		if now := f.clock.Now(); now.Sub(checkedAt) > maxStandbyGap {
			stoodStillAt, resumedAt = checkedAt, now
		}
	}
	heardAt := f.clock.Now()
	if heardAt.Sub(resumedAt) <= f.settings.Handover {
		heardAt = stoodStillAt // messages that waited meanwhile do not show that the other process still reads
	}
	f.answeredAt, f.next = heardAt.Add(-f.settings.Handover), f.nextOffset()
	f.logger.WithFields(offsetFields(f.next)).Info("reading the topic again")
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

func (f *Follower) read(ctx context.Context) error {
	batch, err := f.fetch(ctx)
	if err != nil {
		return err
	}
	f.reads.WithLabelValues(string(f.topic), "ok").Inc()
	if f.failures > 0 {
		f.failures = 0
		f.logger.WithFields(offsetFields(batch.Next)).Info("reads of the topic succeed again")
	}
	answeredAt := f.clock.Now()
	f.settings.Restores.observe(batch.Next.Restores())
	if len(batch.Records) > 0 || batch.Complete {
		f.post(gooseberrypass.TopicChanged{Batch: batch, FirstRead: !f.started, ReadFrom: f.answeredAt, Topic: f.topic})
	}
	f.answeredAt, f.next, f.started = answeredAt, batch.Next, true
	f.post(gooseberrypass.TopicRead{Topic: f.topic})
	return nil
}

// fetch returns the newest record of every key on the first read, when the log has
// trimmed records that were not read yet and when it came back from an older copy,
// otherwise the records since the last read.
func (f *Follower) fetch(ctx context.Context) (gooseberrypass.KeyedBatch, error) {
	if !f.started {
		return f.log.Newest(ctx, f.topic)
	}
	batch, err := f.tail(ctx)
	var trimmed *gooseberrypass.TrimmedError
	var restored *gooseberrypass.RestoredError
	logger := f.logger.WithFields(offsetFields(f.next))
	switch {
	case errors.As(err, &trimmed):
		logger.WithField("first", trimmed.First.Index()).Info("topic trimmed past the read offset, reading every key")
	case errors.As(err, &restored) && restored.Restores > f.next.Restores():
		f.settings.Restores.observe(restored.Restores)
		logger.WithField("restores", restored.Restores).Warn("log came back from an older copy, reading every key")
	default:
		return batch, err
	}
	return f.log.Newest(ctx, f.topic)
}

// tail returns the records since the last read. It ends early if another follower sees
// that the log came back from an older copy: at the same offset the log may then hold
// another record, and wait for the next one.
func (f *Follower) tail(ctx context.Context) (gooseberrypass.KeyedBatch, error) {
	wait := f.settings.LongPoll
	if f.failures > 0 {
		wait = 0 // the log may have come back from an older copy
	}
	polling, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := f.settings.Restores.watch(f.next.Restores(), func(restores uint64) {
		cancel(&gooseberrypass.RestoredError{Restores: restores})
	})
	defer stop()
	batch, err := f.poll(polling, wait)
	var restored *gooseberrypass.RestoredError
	if err != nil && errors.As(context.Cause(polling), &restored) {
		return batch, restored
	}
	return batch, err
}

// offsetFields returns the log fields of the offset of the next read.
func offsetFields(next gooseberrypass.Offset) logrus.Fields {
	fields := logrus.Fields{"next": next.Index()}
	if next.Restores() > 0 {
		fields["restores"] = next.Restores()
	}
	return fields
}

// recordFailure logs the first of several failed reads and posts the error.
func (f *Follower) recordFailure(started time.Time, err error) {
	f.reads.WithLabelValues(string(f.topic), "failed").Inc()
	f.recordUnanswered(started)
	f.failures++
	if f.failures == 1 {
		f.logger.WithError(err).WithFields(offsetFields(f.next)).Warn("reading the topic failed")
	}
	f.post(gooseberrypass.TopicRead{Err: err, Started: started, Topic: f.topic})
}

// maxReadTime is the time from which on a failed read says nothing of the log: this process may have stood
// still meanwhile, so that the log may have written records since the read began.
const maxReadTime = 1500 * time.Millisecond

// recordUnanswered records a failed read. While the log is unavailable no record is written, and the time of
// its last answer does not matter.
func (f *Follower) recordUnanswered(began time.Time) {
	switch {
	case !f.started || f.clock.Since(began) < maxReadTime:
		f.answeredAt = time.Time{}
	case began.After(f.answeredAt):
		f.answeredAt = began
	}
}
