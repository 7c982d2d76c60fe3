package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A response is what a read of the topic returned.
type response struct {
	batch gooseberrypass.KeyedBatch
	err   error
}

// hasNews reports whether a short read shows that a long poll from the same offset has an answer.
func (r response) hasNews() bool {
	var trimmed *gooseberrypass.TrimmedError
	var restored *gooseberrypass.RestoredError
	return errors.As(r.err, &trimmed) || errors.As(r.err, &restored) || r.err == nil && len(r.batch.Records) > 0
}

// poll returns the records since the last read, and waits for the first one up to wait. The
// answer to a long poll may be lost, and its connection may go silent; neither can be told
// from a topic without new records. Short reads beside the poll, one at a time, find those.
func (f *Follower) poll(ctx context.Context, wait time.Duration) (gooseberrypass.KeyedBatch, error) {
	if wait == 0 || f.settings.CheckPeriod == 0 {
		return f.log.Tail(ctx, f.topic, f.next, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	polled := f.startTail(ctx, wait)
	timer := f.clock.NewTimer(f.settings.CheckPeriod)
	defer timer.Stop()
	var checked <-chan response
	var checkedAt time.Time
	for {
		select {
		case r := <-polled:
			return r.batch, r.err
		case <-timer.Chan():
			checkedAt = f.clock.Now()
			checked = f.startTail(ctx, 0)
		case r := <-checked:
			if r.hasNews() {
				r = f.endPoll(polled, r)
				return r.batch, r.err
			}
			if r.err != nil {
				f.recordUnanswered(checkedAt)
				f.reads.WithLabelValues(string(f.topic), "check failed").Inc()
			} else {
				f.answeredAt = checkedAt // the answer may have waited
			}
			timer.Reset(max(f.settings.CheckPeriod-f.clock.Since(checkedAt), 0))
		}
	}
}

// startTail reads the topic in the background.
func (f *Follower) startTail(ctx context.Context, wait time.Duration) <-chan response {
	done := make(chan response, 1)
	from := f.next
	go func() {
		batch, err := f.log.Tail(ctx, f.topic, from, wait)
		done <- response{batch: batch, err: err}
	}()
	return done
}

// endPoll returns the answer of the poll if it has come meanwhile, otherwise that of the check.
func (f *Follower) endPoll(polled <-chan response, check response) response {
	select {
	case r := <-polled:
		return r
	default:
	}
	f.reads.WithLabelValues(string(f.topic), "unanswered").Inc()
	f.logger.WithFields(offsetFields(f.next)).WithField("records", len(check.batch.Records)).Info("long poll has no answer, taking that of a short read")
	return check
}
