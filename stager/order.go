package stager

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// startDone is the event that the engine responded to a load order or that the order
// failed.
type startDone struct {
	err        error
	orders     int // expected count of accepted orders
	repaired   int // chunks staged again before the order
	result     gooseberrypass.StartResult
	verifiedAt time.Time // begin of the verification of the chunks
	version    int
}

// EventName implements gooseberrypass.Event.
func (startDone) EventName() string { return "load-ordered" }

// A startEffect verifies the staged chunks and orders the engine to load them.
type startEffect struct {
	stageEffect
	clock  gooseberrypass.Clock
	maxAge time.Duration // from the verification to the acceptance
	orders int
}

// EffectName implements gooseberrypass.Effect.
func (startEffect) EffectName() string { return "order-load" }

// Run implements gooseberrypass.Effect.
func (e startEffect) Run(ctx context.Context) gooseberrypass.Event {
	done := startDone{orders: e.orders, result: gooseberrypass.StartRefused, version: e.version}
	if done.err = e.verify(ctx, &done); done.err != nil {
		return done
	}
	done.result, done.err = e.engine.StartLoad(ctx, gooseberrypass.StartOrder{
		Model: e.model, Orders: e.orders, Version: e.version,
	})
	return done
}

// verify verifies the staged chunks. If that took so long that the first ones may have turned
// corrupt since, as when the process stood still, it verifies them once more, as fast as the
// engine can.
func (e startEffect) verify(ctx context.Context, done *startDone) error {
	for _, readers := range []int{1, maxReaders} {
		done.verifiedAt = e.clock.Now()
		repaired, err := e.repair(ctx, readers)
		if done.repaired += repaired; err != nil {
			return err
		}
		if elapsed(done.verifiedAt, e.clock.Now()) <= e.maxAge {
			return nil
		}
	}
	return nil // what the load takes is verified once it is accepted
}

// elapsed returns the time from one time to another. The steady clock does not count the
// time for which a machine is suspended, and the time of day may jump back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func (s *Stager) startEffect(j *job) startEffect {
	return startEffect{stageEffect: s.stageEffect(j), clock: s.deps.Clock, maxAge: s.settings.VerifyAge, orders: s.report.Orders}
}

func (s *Stager) handleStarted(now time.Time, e startDone) {
	s.writing = false
	s.polledAt = time.Time{}
	s.takeover.accountFor(e)
	j := s.jobOf(e.version)
	if j == nil {
		return
	}
	j.inFlight, j.ordering = false, false
	s.deps.Log.WithError(e.err).WithFields(logrus.Fields{
		fieldVersion: j.version, "result": e.result, "repaired": e.repaired, fieldOrders: e.orders, fieldSince: now.Sub(j.namedAt).Milliseconds(),
		fieldVerified: elapsed(e.verifiedAt, s.deps.Clock.Now()).Milliseconds(),
	}).Info("load ordered")
	if e.err != nil {
		j.failedAt = now
	}
	if e.result == gooseberrypass.StartAccepted || e.result == gooseberrypass.StartDone {
		j.ordered = true
		j.failedAt = now // gives the engine time to report the order
	}
	s.judgeOrder(j, e)
}
