// Package stager brings the version that the operator wants into the engine
// beside an agent: it has the pieces fetched, stages them, checks what is
// staged and orders the engine to load it.
package stager

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// firstVersion is the version of a model of which the operator has named none.
const firstVersion = 1

// Settings tune a Stager.
type Settings struct {
	Announce time.Duration // before an order, for which entries are told to send nothing
	Earliest time.Duration // after a version was named, before which no engine in service loads it
	Patience time.Duration // with an engine that does not report at the start
	Poll     time.Duration // between reports of the engine
	Retry    time.Duration // after a step that failed
	Spread   time.Duration // over which the engines in service load it, one after another
}

// A Chunks holds the verified pieces.
type Chunks interface {
	Chunk(digest gooseberrypass.Digest) ([]byte, error)
	Has(digest gooseberrypass.Digest) bool
	Put(digest gooseberrypass.Digest, body []byte) error
}

// A Fetcher gets the missing pieces of versions into Chunks.
type Fetcher interface {
	gooseberrypass.Controller
	Progress(digest gooseberrypass.Digest) fetcher.Progress
	SetWants(now time.Time, wants []fetcher.Want) []gooseberrypass.Effect
}

// A Teller tells entries about the endpoint.
type Teller interface {
	SetNotice(now time.Time, n balancer.Notice)
}

// Dependencies are what a Stager is built from.
type Dependencies struct {
	Chunks    Chunks
	Engine    gooseberrypass.StagedEngine
	Fetcher   Fetcher
	Log       logrus.FieldLogger
	Manifests *Manifests
	Origin    gooseberrypass.Origin
	Self      surveyor.Process
	Teller    Teller
}

// A job is the work on one version.
type job struct {
	begun         bool      // the engine was ordered to load it
	due           time.Time // when an engine in service loads it
	failedAt      time.Time // of the last step that failed
	flying        bool      // a step is in progress
	logged        time.Time // when progress was logged last
	manifest      *gooseberrypass.Manifest
	manifestTries int  // rounds in which nobody had it
	seeded        bool // pieces staged before were taken over
	since         time.Time
	staged        bool
	told          time.Time // when entries were told to send nothing
	version       int
}

// A Stager is a controller.
type Stager struct {
	d          Dependencies
	deployment *gooseberrypass.Deployment
	job        *job
	model      gooseberrypass.EngineModel
	notice     balancer.Notice
	peers      []surveyor.Process // agents of the same service
	polled     time.Time
	polling    bool
	start      time.Time // of the first event
	report     gooseberrypass.EngineReport
	reported   bool
	settings   Settings
}

// New returns a stager.
func New(d Dependencies, settings Settings) *Stager {
	return &Stager{d: d, notice: balancer.Notice{Address: d.Self.Endpoint}, settings: settings}
}

// Handle implements gooseberrypass.Controller.
func (s *Stager) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case surveyor.Changed:
		return s.update(now, e.Snapshot)
	case reportRead:
		return s.noteReport(now, e)
	case manifestRead:
		return s.noteManifest(now, e)
	case seeded:
		return s.noteSeeded(now, e)
	case stageDone:
		s.noteStaged(now, e)
	case started:
		s.noteStarted(now, e)
	case gooseberrypass.Tick:
	default:
		return nil
	}
	return s.step(now)
}

// update takes in what is wanted.
func (s *Stager) update(now time.Time, snapshot *surveyor.Snapshot) []gooseberrypass.Effect {
	if snapshot.Deployment == nil {
		return nil
	}
	s.deployment = snapshot.Deployment
	s.peers = slices.DeleteFunc(slices.Clone(snapshot.Processes), func(p surveyor.Process) bool {
		return p.Role != gooseberrypass.RoleAgent || p.Service != s.d.Self.Service
	})
	spec, ok := snapshot.Deployment.Service(s.d.Self.Service)
	if !ok || spec.Engine == nil {
		return nil
	}
	s.model = *spec.Engine
	target, ok := snapshot.Targets[s.model.Model].Newest()
	if !ok {
		target = surveyor.Target{Since: now, Version: firstVersion}
	}
	if s.job != nil && s.job.version >= target.Version {
		return nil
	}
	s.d.Log.WithFields(logrus.Fields{"model": s.model.Model, "version": target.Version, "age_ms": now.Sub(target.Since).Milliseconds()}).Info("version wanted")
	s.job = &job{due: s.dueTime(target), since: target.Since, version: target.Version}
	s.tell(now, false)
	return s.step(now)
}

// manifestReaders is how many agents read a manifest from the origin at once;
// the others ask these, and the origin when that fails.
const manifestReaders = 2

// manifestPeers returns the agents to be asked for a manifest, none if the
// origin is to be asked.
func (s *Stager) manifestPeers(j *job) []string {
	type ranked struct {
		address string
		score   uint64
	}
	score := func(id gooseberrypass.ID) uint64 { return hash(string(id), "manifest", strconv.Itoa(j.version)) }
	own := score(s.d.Self.ID)
	var before []ranked
	for _, p := range s.peers {
		if n := score(p.ID); n < own && p.ID != s.d.Self.ID {
			before = append(before, ranked{address: p.Address, score: n})
		}
	}
	// Each failed round lets one more agent in rank go to the origin.
	if len(before) < manifestReaders+j.manifestTries {
		return nil
	}
	slices.SortFunc(before, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	var peers []string
	for _, r := range before[:manifestReaders] {
		peers = append(peers, r.address)
	}
	if others := before[manifestReaders:]; j.manifestTries > 0 && len(others) > 0 {
		peers = append(peers, others[j.manifestTries%len(others)].address)
	}
	return peers
}

// hash returns the same number for the same words everywhere.
func hash(words ...string) uint64 {
	h := xxhash.New()
	for _, w := range words {
		_, _ = h.WriteString(w + "\x00") // never fails
	}
	return h.Sum64()
}

// dueTime is when an engine in service loads a version. Engines take turns in
// the order of a hash.
func (s *Stager) dueTime(target surveyor.Target) time.Time {
	share := float64(hash(string(s.d.Self.ID), strconv.Itoa(target.Version))) / (1 << 64)
	turn := time.Duration(share * float64(s.settings.Spread))
	return target.Since.Add(s.settings.Earliest + turn)
}

// step starts the next step of the work.
func (s *Stager) step(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !s.polling && now.Sub(s.polled) >= s.settings.Poll {
		s.polling, s.polled = true, now
		effects = append(effects, reportEffect{engine: s.d.Engine})
	}
	j := s.job
	if j != nil && !s.loaded() {
		s.logProgress(now, j)
	}
	if j == nil || j.flying || now.Sub(j.failedAt) < s.settings.Retry {
		return effects
	}
	effect := s.next(now, j)
	if effect == nil {
		return effects
	}
	j.flying = true
	return append(effects, effect)
}

// created returns the time of the first event.
func (s *Stager) created(now time.Time) time.Time {
	if s.start.IsZero() {
		s.start = now
	}
	return s.start
}

func (s *Stager) loaded() bool { return s.report.Models[s.model.Model] >= s.job.version }

// progressPeriod is the least time between two log lines of a fetch.
const progressPeriod = 500 * time.Millisecond

// logProgress tells how far the fetch is.
func (s *Stager) logProgress(now time.Time, j *job) {
	if j.manifest == nil || !j.seeded || j.staged || now.Sub(j.logged) < progressPeriod {
		return
	}
	j.logged = now
	p := s.d.Fetcher.Progress(j.manifest.Digest())
	s.d.Log.WithFields(logrus.Fields{
		"version": j.version, "held": p.Held, "chunks": p.Total, "since_named_ms": now.Sub(j.since).Milliseconds(), "problem": p.Err,
	}).Info("version on its way")
}

// next returns the effect of the next step, nil if there is none now.
func (s *Stager) next(now time.Time, j *job) gooseberrypass.Effect {
	switch {
	case j.manifest == nil:
		return manifestEffect{
			manifests: s.d.Manifests, model: s.model.Model, origin: s.d.Origin, peers: s.manifestPeers(j), version: j.version,
		}
	case !j.seeded && !s.reported && now.Sub(s.created(now)) < s.settings.Patience:
		return nil // an engine that was there before may have pieces staged
	case !j.seeded:
		return seedEffect{chunks: s.d.Chunks, engine: s.d.Engine, manifest: j.manifest, model: s.model.Model, version: j.version}
	case !s.reported || s.loaded() || !s.d.Fetcher.Progress(j.manifest.Digest()).Whole():
		return nil // a loaded version is held for the agents that still fetch it
	case !j.staged:
		return stageEffect{chunks: s.d.Chunks, engine: s.d.Engine, manifest: j.manifest, model: s.model.Model, version: j.version}
	case s.report.Busy:
		return nil
	case s.inService() && now.Before(j.due):
		return nil
	case s.inService() && j.told.IsZero():
		j.told = now
		s.tell(now, true)
		return nil
	case s.inService() && now.Sub(j.told) < s.settings.Announce:
		return nil
	default:
		return startEffect{stageEffect: stageEffect{
			chunks: s.d.Chunks, engine: s.d.Engine, manifest: j.manifest, model: s.model.Model, version: j.version,
		}, layers: s.model.Layers, orders: s.report.Orders}
	}
}

// inService reports whether the engine serves an older version.
func (s *Stager) inService() bool { return s.report.Models[s.model.Model] > 0 }

// tell tells entries what the engine serves.
func (s *Stager) tell(now time.Time, loading bool) {
	if !s.reported {
		return
	}
	s.notice = balancer.Notice{Address: s.d.Self.Endpoint, Born: s.report.Born, Loading: loading, Models: s.report.Models}
	s.d.Teller.SetNotice(now, s.notice)
}

func (s *Stager) noteReport(now time.Time, e reportRead) []gooseberrypass.Effect {
	s.polling = false
	if e.err != nil {
		if s.reported {
			s.d.Log.WithError(e.err).Warn("engine lost")
		}
		s.reported = false
		return nil
	}
	old, known := s.report, s.reported
	s.report, s.reported = e.report, true
	if known && old.Born != e.report.Born || !known {
		s.restarted()
	}
	if s.job == nil {
		return nil
	}
	changed := !known || old.Born != e.report.Born || old.Models[s.model.Model] != e.report.Models[s.model.Model]
	loading := (s.job.begun || !s.job.told.IsZero()) && !s.loaded()
	if changed || loading != s.notice.Loading {
		s.d.Log.WithFields(logrus.Fields{
			"models": e.report.Models, "busy": e.report.Busy, "orders": e.report.Orders, "born": e.report.Born,
			"since_named_ms": now.Sub(s.job.since).Milliseconds(),
		}).Info("engine changed")
		s.tell(now, loading)
	}
	return s.step(now)
}

// restarted forgets what the engine had been told before its start.
func (s *Stager) restarted() {
	s.d.Log.WithField("born", s.report.Born).Info("engine found")
	if s.job != nil {
		s.job.begun, s.job.staged, s.job.told = false, false, time.Time{}
	}
}

func (s *Stager) noteManifest(now time.Time, e manifestRead) []gooseberrypass.Effect {
	j := s.job
	if j == nil || e.version != j.version {
		return nil
	}
	j.flying = false
	if e.err != nil {
		j.failedAt = now
		j.manifestTries++
		s.d.Log.WithError(e.err).WithField("version", j.version).Warn("manifest not read")
		return nil
	}
	if err := s.d.Chunks.Put(e.manifest.Digest(), e.manifest.Encoded()); err != nil {
		j.failedAt = now
		s.d.Log.WithError(err).Warn("manifest not held")
		return nil
	}
	j.manifest = e.manifest
	s.d.Manifests.put(s.model.Model, j.version, e.manifest.Encoded())
	s.d.Log.WithFields(logrus.Fields{"version": j.version, "digest": e.manifest.Digest().Short(), "chunks": e.manifest.Len()}).Info("manifest read")
	return s.step(now)
}

func (s *Stager) noteSeeded(now time.Time, e seeded) []gooseberrypass.Effect {
	j := s.job
	if j == nil || e.version != j.version {
		return nil
	}
	j.flying, j.seeded = false, true
	s.d.Log.WithFields(logrus.Fields{"version": j.version, "kept": e.kept}).Info("staged pieces taken over")
	effects := s.d.Fetcher.SetWants(now, []fetcher.Want{{
		Digest: j.manifest.Digest(), OriginName: s.model.Model, Version: strconv.Itoa(j.version),
	}})
	return append(effects, s.step(now)...)
}

func (s *Stager) noteStaged(now time.Time, e stageDone) {
	j := s.job
	if j == nil || e.version != j.version {
		return
	}
	j.flying = false
	if e.err != nil {
		j.failedAt = now
		s.d.Log.WithError(e.err).WithField("version", j.version).Warn("version not staged")
		return
	}
	j.staged = true
	s.d.Log.WithFields(logrus.Fields{"version": j.version, "since_named_ms": now.Sub(j.since).Milliseconds()}).Info("version staged")
}

func (s *Stager) noteStarted(now time.Time, e started) {
	j := s.job
	if j == nil || e.version != j.version {
		return
	}
	j.flying = false
	s.polled = time.Time{}
	s.d.Log.WithError(e.err).WithFields(logrus.Fields{
		"version": j.version, "result": e.result, "repaired": e.repaired, "orders": e.orders, "since_named_ms": now.Sub(j.since).Milliseconds(),
	}).Info("load ordered")
	if e.err != nil {
		j.failedAt = now
	}
	if e.result == gooseberrypass.StartBegun || e.result == gooseberrypass.StartDone {
		j.begun = true
		j.failedAt = now // leaves the engine time to report the order
	}
}

var _ gooseberrypass.Controller = (*Stager)(nil)
