package stager

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxReaders is the number of staged chunks that are read at once when it must go fast.
const maxReaders = 8

// maxReadSize is the most bytes that are held of the staged chunks that are read at once.
const maxReadSize = 8 << 20

// A suspicion is the state of a load whose chunks may have been corrupt when the engine took
// them, as the order was accepted long after they were verified, or was not given by this process.
type suspicion struct {
	confirmed  bool      // a chunk is corrupt: it may have been so before
	repaired   bool      // a chunk was staged anew after the order: the load may have taken the corrupt one
	verifiedAt time.Time // begin of the verification before the order, zero if another process gave it
}

// verified is the event that the chunks of a load were read back after the order.
type verified struct {
	err     error
	version int
	wrong   int // corrupt or missing chunks
}

// EventName implements gooseberrypass.Event.
func (verified) EventName() string { return "load-verified" }

// A verifyEffect reads back the chunks that a load has taken. Unless they are staged anew, chunks
// do not turn good again, so those that are good now were good when the engine took them.
type verifyEffect struct {
	stageEffect
}

// EffectName implements gooseberrypass.Effect.
func (verifyEffect) EffectName() string { return "verify-load" }

// Run implements gooseberrypass.Effect.
func (e verifyEffect) Run(ctx context.Context) gooseberrypass.Event {
	wrong, err := e.wrongChunks(ctx, maxReaders)
	return verified{err: err, version: e.version, wrong: len(wrong)}
}

// wrongChunks reads back every staged chunk, some at a time, and returns the indexes of those
// that are corrupt or missing.
func (e stageEffect) wrongChunks(ctx context.Context, readers int) ([]int, error) {
	var mu sync.Mutex
	var wrong []int
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(min(readers, e.readersWithinMemory()))
	for i := range e.manifest.Len() {
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil // another read has failed
			}
			body, err := e.engine.ReadStaged(ctx, e.model, i, e.manifest.Chunk(i).Size)
			switch {
			case err != nil && !errors.Is(err, gooseberrypass.ErrChunkNotHeld):
				return errors.Wrapf(err, "read back chunk %d", i)
			case err == nil && gooseberrypass.DigestOf(body) == e.manifest.Chunk(i).Digest:
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			wrong = append(wrong, i)
			return nil
		})
	}
	return wrong, group.Wait()
}

// readersWithinMemory returns how many chunks may be read at once within maxReadSize, at least 1.
func (e stageEffect) readersWithinMemory() int {
	var largest int64
	for i := range e.manifest.Len() {
		largest = max(largest, e.manifest.Chunk(i).Size)
	}
	return int(max(maxReadSize/(largest+1), 1))
}

// judgeOrder suspects the load of an order unless the engine has accepted it shortly after its
// chunks were verified. An order without a response may still be accepted.
func (s *Stager) judgeOrder(j *job, e startDone) {
	sus, suspected := s.suspicions[j.version]
	if suspected {
		// The engine accepts an order only if it has accepted none since the report before it.
		sus.repaired = e.result != gooseberrypass.StartAccepted && (sus.repaired || e.repaired > 0)
		s.suspicions[j.version] = sus
	}
	if e.result == gooseberrypass.StartRefused {
		return
	}
	age := elapsed(e.verifiedAt, s.deps.Clock.Now())
	if e.result == gooseberrypass.StartAccepted && age <= s.settings.VerifyAge {
		delete(s.suspicions, j.version)
		return
	}
	if suspected {
		return // the earlier order may be the one that was accepted
	}
	s.suspicions[j.version] = suspicion{verifiedAt: e.verifiedAt}
	s.deps.Log.WithFields(logrus.Fields{fieldVersion: j.version, fieldVerified: age.Milliseconds()}).Info("load must be verified")
}

// settleSuspicions drops the suspicions that the report shows to be groundless: the engine loads
// something else, or had accepted the order in time.
func (s *Stager) settleSuspicions(now time.Time) {
	loaded := s.loadedVersion()
	for version, sus := range s.suspicions {
		if loaded > version {
			delete(s.suspicions, version)
		} else if !sus.confirmed && (loaded == version || s.report.Busy) && elapsed(sus.verifiedAt, now) <= s.settings.VerifyAge {
			delete(s.suspicions, version)
		}
	}
}

// suspected reports whether the engine has loaded a version that must not be served.
func (s *Stager) suspected() bool {
	_, ok := s.suspicions[s.loadedVersion()]
	return ok
}

// settled reports whether nothing is left to be done for a loaded version.
func (s *Stager) settled(j *job) bool {
	sus, suspected := s.suspicions[j.version]
	return !j.ordering && (!suspected || sus.confirmed)
}

// nextVerification returns the effect that verifies a suspected load, nil if none is due.
func (s *Stager) nextVerification(j *job) gooseberrypass.Effect {
	if s.settled(j) || j.ordering || s.loadedVersion() != j.version {
		return nil
	}
	s.writing = true
	return verifyEffect{stageEffect: s.stageEffect(j)}
}

func (s *Stager) handleVerified(now time.Time, e verified) {
	s.writing = false
	if j := s.jobOf(e.version); j != nil {
		j.inFlight = false
		if e.err != nil {
			j.failedAt = now
		}
	}
	log := s.deps.Log.WithFields(logrus.Fields{fieldVersion: e.version, "wrong": e.wrong})
	sus, suspected := s.suspicions[e.version]
	switch {
	case !suspected:
		return // the engine has started anew
	case e.err != nil:
		log.WithError(e.err).Warn("verifying the load failed")
	case e.wrong > 0 || sus.repaired:
		s.confirm(e.version, log)
	default:
		delete(s.suspicions, e.version)
		log.Info("load verified")
	}
	s.notify(now, s.loading())
}

// confirm keeps the engine out of service with a version that may be corrupt.
func (s *Stager) confirm(version int, log logrus.FieldLogger) {
	sus := s.suspicions[version]
	sus.confirmed = true
	s.suspicions[version] = sus
	log.Error("chunks of the load are corrupt, engine is kept out of service until it starts anew or loads another version")
}
