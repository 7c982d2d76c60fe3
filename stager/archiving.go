package stager

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/archiver"
)

// An Archive keeps manifests beyond the lives of all processes and of the origin.
type Archive interface {
	Entries(ctx context.Context, model string) ([]archiver.Entry, error)
	Manifest(ctx context.Context, model string, version int) (*gooseberrypass.Manifest, error)
	Put(ctx context.Context, model string, version int, m *gooseberrypass.Manifest) error
	Remove(ctx context.Context, model string, version int) error
}

// The agents of a service take turns in archiving a manifest, in the order of their ranks:
// those that rank first may be gone and still be registered.
const (
	archivers        = 6           // agents that get a turn
	archiveTurn      = time.Second // until the first turn; agents that start together know one another by then
	archiveTurnRatio = 4           // of the time until a turn to that until the one before

	archiveRetry     = time.Second // delay after a failed call; doubled each time
	archiveRetryMax  = 32 * time.Second
	archivedVersions = 2 // of a model; the newest one may not be everywhere yet
)

// archiving is the state of the manifest of a version in the archive.
type archiving struct {
	busy       bool   // a call is in progress
	done       bool   // archived, or not to be archived
	failures   int    // failed calls in a row
	rank       int    // of this agent
	ranked     bool   // rank is known for the current peers
	restores   uint64 // of the log, as far as known when the last look began
	retryAfter time.Time
	since      time.Time // from which the turns count: the manifest became known, or the log came back from an older copy
}

// archiveTurnOf returns the time until the turn of a rank, false if it gets none.
func archiveTurnOf(rank int) (time.Duration, bool) {
	if rank >= archivers {
		return 0, false
	}
	d := archiveTurn
	for range rank {
		d *= archiveTurnRatio
	}
	return d, true
}

// nextArchiving returns the effect that looks for a manifest in the archive, nil if none is
// due.
func (s *Stager) nextArchiving(now time.Time, j *job) gooseberrypass.Effect {
	a := &j.archiving
	if j.manifest == nil || a.busy || a.done || now.Before(a.retryAfter) || now.Sub(a.since) < archiveTurn {
		return nil
	}
	if !a.ranked {
		a.rank, a.ranked = len(s.peersBefore(j)), true
	}
	if turn, ok := archiveTurnOf(a.rank); !ok || now.Sub(a.since) < turn {
		return nil
	}
	a.busy, a.restores = true, s.restores
	return archiveReadEffect{archive: s.deps.Archive, model: s.model.Model, version: j.version}
}

// observeRestores has the manifests looked for again once the log came back from an older
// copy, which may not have them.
func (s *Stager) observeRestores(now time.Time, restores uint64) {
	if restores <= s.restores {
		return
	}
	s.restores = restores
	for _, j := range s.jobs {
		j.archiving.done, j.archiving.since = false, now
	}
}

// archiveRead is the event that the entries of the archive were read, or that this failed.
type archiveRead struct {
	entries []archiver.Entry
	err     error
	version int
}

// EventName implements gooseberrypass.Event.
func (archiveRead) EventName() string { return "archive-read" }

type archiveReadEffect struct {
	archive Archive
	model   string
	version int
}

// EffectName implements gooseberrypass.Effect.
func (archiveReadEffect) EffectName() string { return "read-archive" }

// Run implements gooseberrypass.Effect.
func (e archiveReadEffect) Run(ctx context.Context) gooseberrypass.Event {
	entries, err := e.archive.Entries(ctx, e.model)
	return archiveRead{entries: entries, err: err, version: e.version}
}

// archiveWritten is the event that the archive was written, or that this failed.
type archiveWritten struct {
	err     error
	version int
}

// EventName implements gooseberrypass.Event.
func (archiveWritten) EventName() string { return "archive-written" }

// An archiveEffect writes a manifest to the archive and removes those of older versions.
type archiveEffect struct {
	archive  Archive
	manifest *gooseberrypass.Manifest // nil if it is archived
	model    string
	remove   []int // versions
	version  int
}

// EffectName implements gooseberrypass.Effect.
func (archiveEffect) EffectName() string { return "write-archive" }

// Run implements gooseberrypass.Effect.
func (e archiveEffect) Run(ctx context.Context) gooseberrypass.Event {
	if e.manifest != nil {
		if err := e.archive.Put(ctx, e.model, e.version, e.manifest); err != nil {
			return archiveWritten{err: err, version: e.version}
		}
	}
	for _, version := range e.remove {
		if err := e.archive.Remove(ctx, e.model, version); err != nil {
			return archiveWritten{err: err, version: e.version}
		}
	}
	return archiveWritten{version: e.version}
}

// planArchive returns whether the manifest of a version is to be written, and the versions whose
// manifests are to be removed. A version after newest, the newest one that is known to be named, does not
// count: its record is odd, or it was named meanwhile.
func planArchive(entries []archiver.Entry, m *gooseberrypass.Manifest, version, newest int) (bool, []int) {
	write := true
	inUse := []int{version}
	for _, e := range entries {
		switch {
		case e.Version == version:
			write = e.Manifest == nil || e.Manifest.Digest() != m.Digest()
		case e.Manifest != nil && e.Version <= newest:
			inUse = append(inUse, e.Version)
		}
	}
	slices.Sort(inUse)
	inUse = inUse[max(len(inUse)-archivedVersions, 0):]
	var remove []int
	for _, e := range entries {
		if e.Version < version && !slices.Contains(inUse, e.Version) {
			remove = append(remove, e.Version)
		}
	}
	slices.Sort(remove)
	return write && slices.Contains(inUse, version), remove
}

func (s *Stager) handleArchiveRead(now time.Time, e archiveRead) []gooseberrypass.Effect {
	j := s.jobOf(e.version)
	if j == nil || j.manifest == nil {
		return nil // another job of the version began meanwhile
	}
	if e.err != nil {
		s.handleArchiveWritten(now, archiveWritten{err: e.err, version: e.version})
		return nil
	}
	write, remove := planArchive(e.entries, j.manifest, j.version, s.jobs[len(s.jobs)-1].version)
	s.deps.Log.WithFields(logrus.Fields{
		fieldVersion: j.version, "entries": len(e.entries), "rank": j.archiving.rank, "write": write, "remove": remove, "since_read_ms": now.Sub(j.archiving.since).Milliseconds(),
	}).Info("archived manifests looked through")
	if !write && len(remove) == 0 {
		s.handleArchiveWritten(now, archiveWritten{version: e.version})
		return nil
	}
	effect := archiveEffect{archive: s.deps.Archive, model: s.model.Model, remove: remove, version: j.version}
	if write {
		effect.manifest = j.manifest
	}
	return []gooseberrypass.Effect{effect}
}

func (s *Stager) handleArchiveWritten(now time.Time, e archiveWritten) {
	j := s.jobOf(e.version)
	if j == nil {
		return
	}
	a := &j.archiving
	a.busy = false
	if e.err == nil {
		a.done, a.failures = a.restores == s.restores, 0
		return
	}
	log := s.deps.Log.WithError(e.err).WithField(fieldVersion, j.version)
	if errors.Is(e.err, gooseberrypass.ErrRecordTooLarge) {
		a.done = true
		log.Warn("manifest is too large for the archive, a loss of the origin and of all agents loses it")
		return
	}
	a.retryAfter = now.Add(min(archiveRetry<<min(a.failures, 10), archiveRetryMax))
	if a.failures++; a.failures == 1 {
		log.Warn("archiving manifest failed, retrying")
	}
}
