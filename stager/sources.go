package stager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A manifestSource is where a manifest is read.
type manifestSource string

const (
	sourceArchive manifestSource = "archive"
	sourceOrigin  manifestSource = "origin"
	sourcePeers   manifestSource = "peers"
)

const (
	// originTries is how often the origin is asked before the archive. An origin that
	// refuses a connection or returns wrong bytes usually serves the next read.
	originTries = 2

	// originPatience is how long reads from the origin may fail before the archive is read for
	// an engine that serves, which waits for nothing. The origin may start after the agents.
	originPatience = 10 * time.Second

	archiveReadDelay    = time.Second // after a read of the archive without a manifest; doubled each time
	archiveReadDelayMax = 16 * time.Second
)

// errLayout is returned for an archived manifest whose chunks are not as the deployment
// describes them.
var errLayout = errors.New("archived manifest has other chunks than the deployment")

// manifestSources are the failed reads of a manifest from the origin and the archive.
type manifestSources struct {
	archiveAfter time.Time     // when the archive may be read again
	archiveDelay time.Duration // before that, after the last read
	failingSince time.Time     // first failed read from the origin, zero for none
	originFailed int           // failed reads from the origin since the last read of the archive
}

// recordFailure records a failed read.
func (m *manifestSources) recordFailure(now time.Time, source manifestSource) {
	switch source {
	case sourceOrigin:
		if m.originFailed++; m.failingSince.IsZero() {
			m.failingSince = now
		}
	case sourceArchive:
		m.originFailed = 0
		m.archiveDelay = min(max(2*m.archiveDelay, archiveReadDelay), archiveReadDelayMax)
		m.archiveAfter = now.Add(m.archiveDelay)
	default:
	}
}

// next returns whether the origin or the archive is read next. waits tells that the engine gets
// no requests until the manifest is known.
func (m *manifestSources) next(now time.Time, waits bool) manifestSource {
	switch {
	case m.originFailed < originTries || now.Before(m.archiveAfter):
		return sourceOrigin
	case !waits && now.Sub(m.failingSince) < originPatience:
		return sourceOrigin
	default:
		return sourceArchive
	}
}

// triedArchive reports whether a read of the archive has failed.
func (m *manifestSources) triedArchive() bool { return m.archiveDelay > 0 }

// waitsForManifest reports whether the engine gets no requests until a manifest is known: it has
// loaded nothing, or what was not ordered by this process.
func (s *Stager) waitsForManifest() bool {
	return !s.inService() || s.suspected() || s.takeover.foreign
}

// manifestEffect returns the effect that reads the manifest of a version.
func (s *Stager) manifestEffect(now time.Time, j *job) gooseberrypass.Effect {
	source, peers := sourcePeers, s.manifestPeers(j)
	switch {
	case s.isLastRead(j):
		source, peers = sourceArchive, nil
	case len(peers) == 0:
		source = j.manifestSources.next(now, s.reported && s.waitsForManifest())
	}
	return manifestEffect{
		archive: s.deps.Archive, manifests: s.deps.Manifests, model: s.model, origin: s.deps.Origin, peers: peers, source: source, version: j.version,
	}
}

// isLastRead reports whether the next read of a manifest is the last one before the load that it would verify is
// given up. Agents that are gone may have been asked alone until then.
func (s *Stager) isLastRead(j *job) bool {
	return j.manifestFailures >= maxManifestFailures && !s.settled(j) && !j.manifestSources.triedArchive()
}

// readArchive reads the manifest from the archive.
func (e manifestEffect) readArchive(ctx context.Context) (*gooseberrypass.Manifest, error) {
	m, err := e.archive.Manifest(ctx, e.model.Model, e.version)
	if err != nil {
		return nil, err
	}
	if e.model.Chunks > 0 && m.Len() != e.model.Chunks {
		return nil, errors.Wrapf(errLayout, "%d chunks, want %d", m.Len(), e.model.Chunks)
	}
	for i := range m.Len() {
		if got, want := m.Chunk(i).Size, e.model.ChunkSize; want > 0 && got != want {
			return nil, errors.Wrapf(errLayout, "chunk %d has %d bytes, want %d", i, got, want)
		}
	}
	return m, nil
}
