package stager

import (
	"bytes"
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// errManifestsDiffer is returned when two reads of a manifest from the origin
// differ: its responses may be corrupt, and nothing else verifies a manifest.
var errManifestsDiffer = errors.New("two reads of the manifest differ")

// reportRead is the event that a read of the engine's report succeeded or failed.
type reportRead struct {
	err    error
	report gooseberrypass.EngineReport
}

// EventName implements gooseberrypass.Event.
func (reportRead) EventName() string { return "engine-report" }

type reportEffect struct {
	engine gooseberrypass.StagedEngine
}

// EffectName implements gooseberrypass.Effect.
func (reportEffect) EffectName() string { return "read-engine-report" }

// Run implements gooseberrypass.Effect.
func (e reportEffect) Run(ctx context.Context) gooseberrypass.Event {
	report, err := e.engine.Report(ctx)
	return reportRead{err: err, report: report}
}

// manifestRead is the event that a read of a manifest succeeded or failed.
type manifestRead struct {
	peers    []string // addresses of the agents asked, if any
	err      error
	manifest *gooseberrypass.Manifest
	source   manifestSource
	version  int
}

// EventName implements gooseberrypass.Event.
func (manifestRead) EventName() string { return "manifest-read" }

type manifestEffect struct {
	archive   Archive
	manifests *Manifests
	model     gooseberrypass.EngineSpec
	origin    gooseberrypass.Origin
	peers     []string // addresses of the agents to ask, if they are the source
	source    manifestSource
	version   int
}

// EffectName implements gooseberrypass.Effect.
func (manifestEffect) EffectName() string { return "read-manifest" }

// Run implements gooseberrypass.Effect.
func (e manifestEffect) Run(ctx context.Context) gooseberrypass.Event {
	m, err := e.read(ctx)
	return manifestRead{peers: e.peers, err: err, manifest: m, source: e.source, version: e.version}
}

func (e manifestEffect) read(ctx context.Context) (*gooseberrypass.Manifest, error) {
	switch e.source {
	case sourceOrigin:
		return e.readOrigin(ctx)
	case sourceArchive:
		return e.readArchive(ctx)
	default:
	}
	var lastErr error
	for _, address := range e.peers {
		m, err := e.manifests.read(ctx, address, e.model.Model, e.version, gooseberrypass.ManifestLimit(e.model.Chunks))
		if err == nil {
			return m, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (e manifestEffect) readOrigin(ctx context.Context) (*gooseberrypass.Manifest, error) {
	version := strconv.Itoa(e.version)
	first, err := e.origin.Manifest(ctx, e.model.Model, version)
	if err != nil {
		return nil, err
	}
	second, err := e.origin.Manifest(ctx, e.model.Model, version)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(first, second) {
		return nil, errManifestsDiffer
	}
	return gooseberrypass.ParseManifest(first)
}

// chunksRestored is the event that the chunks staged before the job began were read
// back.
type chunksRestored struct {
	kept    int // chunks that belong to the version
	version int
}

// EventName implements gooseberrypass.Event.
func (chunksRestored) EventName() string { return "pieces-taken-over" }

type restoreEffect struct {
	chunks   Chunks
	engine   gooseberrypass.StagedEngine
	manifest *gooseberrypass.Manifest
	model    string
	version  int
}

// EffectName implements gooseberrypass.Effect.
func (restoreEffect) EffectName() string { return "take-over-pieces" }

// Run implements gooseberrypass.Effect. It stops after two wrong chunks: the stage
// holds one copy of a model, so that the others are most likely wrong too.
func (e restoreEffect) Run(ctx context.Context) gooseberrypass.Event {
	done := chunksRestored{version: e.version}
	held, err := e.engine.ListStaged(ctx, e.model)
	if err != nil {
		return done // nothing is staged or the engine is unavailable; the chunks are fetched
	}
	mismatches := 0
	for _, i := range held {
		if i < 0 || i >= e.manifest.Len() || mismatches > 1 {
			break
		}
		body, err := e.engine.ReadStaged(ctx, e.model, i, e.manifest.Chunk(i).Size)
		if err != nil || e.chunks.Put(e.manifest.Chunk(i).Digest, body) != nil {
			mismatches++
			continue
		}
		done.kept++
	}
	return done
}

// stageDone is the event that staging a version succeeded or failed.
type stageDone struct {
	err     error
	version int
}

// EventName implements gooseberrypass.Event.
func (stageDone) EventName() string { return "version-staged" }

type stageEffect struct {
	chunks   Chunks
	engine   gooseberrypass.StagedEngine
	manifest *gooseberrypass.Manifest
	model    string
	version  int
}

// EffectName implements gooseberrypass.Effect.
func (stageEffect) EffectName() string { return "stage-version" }

// Run implements gooseberrypass.Effect.
func (e stageEffect) Run(ctx context.Context) gooseberrypass.Event {
	for i := range e.manifest.Len() {
		if err := e.stage(ctx, i); err != nil {
			return stageDone{err: err, version: e.version}
		}
	}
	return stageDone{version: e.version}
}

func (e stageEffect) stage(ctx context.Context, index int) error {
	body, err := e.chunks.Chunk(e.manifest.Chunk(index).Digest)
	if err != nil {
		return errors.Wrapf(err, "read chunk %d", index)
	}
	return errors.Wrapf(e.engine.Stage(ctx, e.model, index, body), "stage chunk %d", index)
}

// repair reads back every staged chunk, some at a time, and stages those again that are
// corrupt or missing. It returns the number of such chunks.
func (e stageEffect) repair(ctx context.Context, readers int) (int, error) {
	wrong, err := e.wrongChunks(ctx, readers)
	if err != nil {
		return 0, err
	}
	for _, i := range wrong {
		if err := e.stage(ctx, i); err != nil {
			return len(wrong), err
		}
	}
	return len(wrong), nil
}
