package spreader

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

const (
	appendTimeout     = 10 * time.Second
	defaultRetention  = 24 * time.Hour
	snapshotBackoff   = 10 * time.Second
	snapshotKeepers   = 3
	snapshotShare     = 0.3  // of the retention, after which the first keeper appends
	snapshotShareStep = 0.05 // later for each next keeper
)

// snapshotAppended is the event that the append of a snapshot has ended.
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

// A snapshots tells when a snapshot must be appended so that the state
// outlives the log's retention.
type snapshots struct {
	forced    bool
	inFlight  bool
	notBefore time.Time
	safeSince time.Time // when the log last got all that makes up the state
}

// read takes the times of what was read.
func (s *snapshots) read(now time.Time, p replayer.Progress) {
	if s.safeSince.IsZero() && !p.Oldest.IsZero() {
		s.safeSince = earlier(p.Oldest, now)
	}
	if at := earlier(p.SnapshotAt, now); at.After(s.safeSince) {
		s.safeSince = at
		s.forced = false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// force makes a snapshot due at once.
func (s *snapshots) force() { s.forced = true }

// due reports whether a snapshot of a state is to be appended now, age being
// how old the log's own may become.
func (s *snapshots) due(now time.Time, age time.Duration, state replayer.State) bool {
	if age <= 0 || s.inFlight || now.Before(s.notBefore) || state.LastAccepted() == 0 {
		return false
	}
	return s.forced || (!s.safeSince.IsZero() && now.Sub(s.safeSince) >= age)
}

// appended takes the end of an append. Until the snapshot is read back, it does
// not count; a second one does no harm.
func (s *snapshots) appended(now time.Time, _ error) {
	s.inFlight = false
	s.notBefore = now.Add(snapshotBackoff)
}

// keepsSnapshots reports whether the process is one of the entries that append
// snapshots.
func (s *Spreader) keepsSnapshots(now time.Time) bool {
	return s.self.Role == gooseberrypass.RoleEntry && s.view.place(now, s.view.entries, snapshotKeepers) < snapshotKeepers
}

// snapshotAge returns how old the latest snapshot may become before this
// process appends one, 0 if it is not to.
func (s *Spreader) snapshotAge(now time.Time) time.Duration {
	if !s.keepsSnapshots(now) {
		return 0
	}
	retention := s.retention
	if config := s.config.Load(); retention == 0 && config != nil {
		retention = config.System().ClaimRetention()
	}
	if retention == 0 {
		retention = defaultRetention
	}
	place := s.view.place(now, s.view.entries, snapshotKeepers)
	return time.Duration(float64(retention) * (snapshotShare + snapshotShareStep*float64(place)))
}

func (s *Spreader) appendSnapshot() gooseberrypass.Effect {
	s.snapshots.inFlight = true
	s.metrics.snapshots.Inc()
	return appendEffect{body: s.snapshotBytes(), log: s.log}
}

// snapshotBytes returns the state as a signed snapshot. The publisher made sure
// that it can be encoded.
func (s *Spreader) snapshotBytes() []byte {
	body, err := replayer.EncodeSnapshot(s.key, s.state.Snapshot())
	if err != nil {
		s.logger.WithError(err).Error("the configuration cannot be encoded")
		return nil
	}
	return body
}

// peerSnapshot returns the state as a snapshot for peers. How far it says the
// log was folded may lag, which does no harm.
func (s *Spreader) peerSnapshot() []byte {
	if s.encoded == nil {
		s.encoded = s.snapshotBytes()
	}
	return s.encoded
}

func (s *Spreader) stateDigest() []byte {
	if s.digest == nil {
		digest := s.state.Digest()
		s.digest = digest[:]
	}
	return s.digest
}
