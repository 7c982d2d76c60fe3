package spreader

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

const (
	appendTimeout     = 10 * time.Second
	defaultRetention  = 24 * time.Hour   // of the log, if neither WithRetention nor a configuration sets it
	snapshotBackoff   = 10 * time.Second // from the end of an append to the start of the next
	snapshotShare     = 0.3              // share of the log's retention after which the first writer appends
	snapshotShareStep = 0.05             // added for each further writer, which appends only if those before it did not
	snapshotWriters   = 3                // entries that append snapshots
)

// snapshotAppended is the event that the append of a snapshot has ended, with or
// without success.
type snapshotAppended struct {
	err error
}

// EventName implements gooseberrypass.Event.
func (snapshotAppended) EventName() string { return "config-snapshot-appended" }

// An appendEffect appends a record to the configuration stream.
type appendEffect struct {
	body []byte
	log  gooseberrypass.Log
}

// EffectName implements gooseberrypass.Effect.
func (appendEffect) EffectName() string { return "config-snapshot-append" }

// Run implements gooseberrypass.Effect.
func (e appendEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := e.log.Append(ctx, gooseberrypass.StreamConfig, e.body)
	return snapshotAppended{err: err}
}

// A snapshotSchedule decides when to append a snapshot, so that the log can
// restore the state after its retention has removed the original records.
type snapshotSchedule struct {
	forced         bool
	inFlight       bool
	notBefore      time.Time
	restorableFrom time.Time // the log restores the state from records of this time on
}

// observe updates the schedule with the record times of a read.
func (s *snapshotSchedule) observe(now time.Time, p replayer.Progress) {
	if s.restorableFrom.IsZero() && !p.Oldest.IsZero() {
		s.restorableFrom = earlier(p.Oldest, now)
	}
	if at := earlier(p.SnapshotAt, now); at.After(s.restorableFrom) {
		s.restorableFrom = at
		s.forced = false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// force makes a snapshot due at once, until a usable one is read back.
func (s *snapshotSchedule) force() { s.forced = true }

// due reports whether to append a snapshot of a state now. age is the age at
// which the records in the log must be replaced; 0 means never.
func (s *snapshotSchedule) due(now time.Time, age time.Duration, state replayer.State) bool {
	if age <= 0 || s.inFlight || now.Before(s.notBefore) || state.LastAccepted() == 0 {
		return false
	}
	return s.forced || (!s.restorableFrom.IsZero() && now.Sub(s.restorableFrom) >= age)
}

// appended notes the end of an append, whatever its error. The snapshot counts
// only once it is read back from the log; a duplicate does no harm.
func (s *snapshotSchedule) appended(now time.Time, _ error) {
	s.inFlight = false
	s.notBefore = now.Add(snapshotBackoff)
}

// writesSnapshots reports whether the process is one of the snapshotWriters first
// entries in the ranking, which append snapshots.
func (s *Spreader) writesSnapshots(now time.Time) bool {
	return s.self.Role == gooseberrypass.RoleEntry && s.view.rank(now, s.view.entries, snapshotWriters) < snapshotWriters
}

// maxSnapshotAge returns the age of the latest snapshot at which this process
// appends a new one, or 0 if the process writes no snapshots.
func (s *Spreader) maxSnapshotAge(now time.Time) time.Duration {
	if !s.writesSnapshots(now) {
		return 0
	}
	retention := s.retention
	if config := s.config.Load(); retention == 0 && config != nil {
		retention = config.System().ClaimRetention()
	}
	if retention == 0 {
		retention = defaultRetention
	}
	rank := s.view.rank(now, s.view.entries, snapshotWriters)
	return time.Duration(float64(retention) * (snapshotShare + snapshotShareStep*float64(rank)))
}

func (s *Spreader) appendSnapshot() gooseberrypass.Effect {
	s.snapshots.inFlight = true
	s.metrics.snapshots.Inc()
	return appendEffect{body: s.encodeSnapshot(), log: s.log}
}

// encodeSnapshot returns the state as a signed snapshot record, or nil if it
// cannot be encoded. The publisher accepts only changes whose result can be.
func (s *Spreader) encodeSnapshot() []byte {
	body, err := replayer.EncodeSnapshot(s.key, s.state.Snapshot())
	if err != nil {
		s.logger.WithError(err).Error("cannot encode the configuration as a snapshot record")
		return nil
	}
	return body
}

// cachedSnapshot returns the state as a snapshot record for peers. Its
// FoldedThrough may lag behind the state's, which does no harm.
func (s *Spreader) cachedSnapshot() []byte {
	if s.encodedSnapshot == nil {
		s.encodedSnapshot = s.encodeSnapshot()
	}
	return s.encodedSnapshot
}

// stateDigest returns the digest of the state, computed once for each state.
func (s *Spreader) stateDigest() []byte {
	if s.digest == nil {
		digest := s.state.Digest()
		s.digest = digest[:]
	}
	return s.digest
}
