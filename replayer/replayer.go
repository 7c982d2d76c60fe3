package replayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

const (
	maxPages    = 1 << 16 // reads of one pass over the log
	maxRestarts = 3       // passes, each from a newer snapshot, if the log is trimmed during one
)

// A Replayer reads the configuration stream of the log.
type Replayer struct {
	key authenticator.Key
	log gooseberrypass.Log
}

// New returns a replayer that ignores records not signed with key.
func New(key authenticator.Key, log gooseberrypass.Log) *Replayer {
	return &Replayer{key: key, log: log}
}

// A Progress is the result of a replay. State and Accepted are valid also if the
// replay failed halfway. Accepted holds the changes that led to State; after a restore
// from a newer snapshot, only those that follow the snapshot.
type Progress struct {
	Accepted   []AcceptedRecord
	First      gooseberrypass.Offset // offset of the first record that the log still keeps
	Next       gooseberrypass.Offset // offset of the next record to be appended
	Oldest     time.Time             // time of the first record read
	SnapshotAt time.Time             // time of the latest usable snapshot read
	State      State
}

// updateTimes updates Oldest and SnapshotAt with a record that was read.
func (p *Progress) updateTimes(key authenticator.Key, r gooseberrypass.Record) {
	if p.Oldest.IsZero() {
		p.Oldest = r.Time
	}
	record, err := Decode(key, r.Body)
	if err != nil || record.Snapshot == nil || !record.Snapshot.usable(r.Offset, p.First) {
		return
	}
	if record.Snapshot.LastAccepted >= p.State.lastAccepted && r.Time.After(p.SnapshotAt) {
		p.SnapshotAt = r.Time
	}
}

// CatchUp folds the records after s up to the end of the log. If there are none
// yet, it waits for the first for up to wait. If the log was trimmed past s, it
// continues from a snapshot in the log that is not older than s; if there is none,
// the error is ErrGap.
func (r *Replayer) CatchUp(ctx context.Context, s State, wait time.Duration) (Progress, error) {
	p := Progress{State: s}
	for range maxRestarts {
		err := r.fold(ctx, &p, wait)
		var trimmed *gooseberrypass.TrimmedError
		if !errors.As(err, &trimmed) {
			return p, err
		}
		p.First, p.Next = trimmed.First, trimmed.Next
		snapshot, err := r.findSnapshot(ctx, trimmed.First)
		if err != nil {
			return p, err
		}
		if snapshot == nil || snapshot.LastAccepted < p.State.lastAccepted {
			return p, errors.Wrapf(ErrGap, "folded through offset %d, the log starts at %d and holds no usable snapshot",
				p.State.foldedThrough, trimmed.First)
		}
		if snapshot.LastAccepted > p.State.lastAccepted {
			p.Accepted = nil
		}
		p.State = NewState(*snapshot)
	}
	return p, errors.Wrap(ErrGap, "the log is trimmed faster than it is read")
}

// fold reads and folds the log page by page up to its end. The error is a
// *gooseberrypass.TrimmedError if the log was trimmed past p.State.
func (r *Replayer) fold(ctx context.Context, p *Progress, wait time.Duration) error {
	for range maxPages {
		batch, err := r.log.Read(ctx, gooseberrypass.StreamConfig, p.State.foldedThrough+1, wait)
		if err != nil {
			return errors.Wrap(err, "read configuration")
		}
		if batch.First > p.State.foldedThrough+1 {
			return &gooseberrypass.TrimmedError{First: batch.First, Next: batch.Next}
		}
		p.First, p.Next = batch.First, batch.Next
		state, accepted, err := Fold(r.key, p.State, batch.Records)
		p.State = state
		p.Accepted = append(p.Accepted, accepted...)
		for _, record := range batch.Records {
			p.updateTimes(r.key, record)
		}
		if err != nil {
			return err
		}
		if p.State.foldedThrough+1 >= batch.Next || len(batch.Records) == 0 {
			return nil
		}
		wait = 0
	}
	return errors.New("the log grows faster than it is read")
}

// findSnapshot returns the usable snapshot with the highest accepted offset, the
// first in the log if several have it, or nil if there is none.
func (r *Replayer) findSnapshot(ctx context.Context, first gooseberrypass.Offset) (*Snapshot, error) {
	var best *Snapshot
	from := first
	for range maxPages {
		batch, err := r.log.Read(ctx, gooseberrypass.StreamConfig, from, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read the log for a snapshot")
		}
		for _, record := range batch.Records {
			decoded, err := Decode(r.key, record.Body)
			if err == nil && decoded.Snapshot != nil && decoded.Snapshot.usable(record.Offset, batch.First) &&
				(best == nil || decoded.Snapshot.LastAccepted > best.LastAccepted) {
				best = decoded.Snapshot
			}
			from = record.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return best, nil
		}
	}
	return nil, errors.New("the log grows faster than it is read")
}

// usable reports whether a replay can start from the snapshot at offset: the log,
// which starts at first, still holds every record after FoldedThrough.
func (s *Snapshot) usable(offset, first gooseberrypass.Offset) bool {
	return s.FoldedThrough+1 >= first && s.FoldedThrough < offset && s.LastAccepted <= s.FoldedThrough
}
