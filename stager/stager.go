// Package stager deploys the version that the operator names to the engine beside an
// agent: it has the chunks fetched, stages them, verifies the staged chunks and
// orders the engine to load them.
package stager

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// Fields of log lines.
const (
	fieldOrders   = "orders" // orders that the engine has accepted
	fieldSince    = "since_named_ms"
	fieldSource   = "source"      // of a manifest
	fieldVerified = "verified_ms" // time since the begin of the last verification of the staged chunks
	fieldVersion  = "version"
)

// firstVersion is the version of a model for which the operator has named none.
const firstVersion = 1

// Settings tune a Stager.
type Settings struct {
	DrainLead      time.Duration // time before a load is due from which entries send only requests that end by then
	LoadDelay      time.Duration // time after a version was named before which no engine in service loads it
	LoadSpread     time.Duration // period over which the engines in service load a version, one after another
	MinUse         time.Duration // shortest remaining use for which an older version is still loaded
	PollInterval   time.Duration // interval of reads of the engine's report
	PreviousUsable time.Duration // time after a version was named for which entries still use the previous one
	ReportTimeout  time.Duration // longest wait for the engine's first report after the start
	RetryDelay     time.Duration // delay after a failed step
	SkipGap        time.Duration // longest time between the naming of two versions at which the older one is skipped
	StopLead       time.Duration // time from telling entries to send no requests to the load order
	VerifyAge      time.Duration // longest time from the begin of the verification of staged chunks until an order to load them is accepted
}

// Chunks holds the verified chunks.
type Chunks interface {
	Chunk(digest gooseberrypass.Digest) ([]byte, error)
	Has(digest gooseberrypass.Digest) bool
	Put(digest gooseberrypass.Digest, body []byte) error
}

// A Fetcher fetches the missing chunks of versions into Chunks.
type Fetcher interface {
	gooseberrypass.Controller
	Progress(digest gooseberrypass.Digest) fetcher.Progress
	SetWants(now time.Time, wants []fetcher.Want) []gooseberrypass.Effect
}

// A Notifier sends the status of the endpoint to entries, also that it leaves, and offers
// manifests to other agents.
type Notifier interface {
	OfferManifest(now time.Time, t gooseberrypass.ModelTarget)
	SetDeparture(now, heardAt time.Time, startMillis int64)
	SetEndpointStatus(now time.Time, status balancer.EndpointStatus)
}

// Dependencies are the parts that a Stager needs.
type Dependencies struct {
	Archive   Archive
	Chunks    Chunks
	Clock     gooseberrypass.Clock
	Engine    gooseberrypass.AdvisedEngine
	Fetcher   Fetcher
	Log       logrus.FieldLogger
	Manifests *Manifests
	Notifier  Notifier
	Origin    gooseberrypass.Origin
	Self      materializer.Process
}

// A Stager is the controller that deploys named versions to the engine.
type Stager struct {
	deps         Dependencies
	engine       *gate
	firstEventAt time.Time // time of the first event
	jobs         []*job    // versions to be loaded or offered, the oldest first
	model        gooseberrypass.EngineSpec
	peers        []materializer.Process      // agents of the same service
	polledAt     time.Time                   // when the last read of the report began
	polling      bool                        // a read of the report is in progress
	report       gooseberrypass.EngineReport // last report
	reported     bool                        // the last read of the report succeeded
	restores     uint64                      // of the log, as far as known
	settings     Settings
	status       balancer.EndpointStatus // last one sent to entries
	suspicions   map[int]suspicion       // of loads that are not known to be sound, by version
	takeover     takeover                // what is known of orders of earlier processes
	wants        []fetcher.Want          // versions last passed to the fetcher
	writing      bool                    // a step that stages, orders or verifies is in progress
}

// New returns a stager.
func New(d Dependencies, settings Settings) *Stager {
	return &Stager{deps: d, engine: newGate(d.Clock, d.Engine, d.Log), status: balancer.EndpointStatus{Address: d.Self.Endpoint}, settings: settings, suspicions: map[int]suspicion{}}
}

// Handle implements gooseberrypass.Controller.
func (s *Stager) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	effects := s.handle(now, event)
	if d, ok := s.engine.departed(); ok {
		s.deps.Notifier.SetDeparture(now, d.heardAt, d.start.millis)
	}
	return effects
}

func (s *Stager) handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case materializer.Changed:
		return s.applySnapshot(now, e.Snapshot)
	case reportRead:
		return s.handleReport(now, e)
	case manifestRead:
		return s.handleManifest(now, e)
	case chunksRestored:
		return s.handleRestored(now, e)
	case archiveRead:
		return s.handleArchiveRead(now, e)
	case archiveWritten:
		s.handleArchiveWritten(now, e)
		return nil
	case gooseberrypass.TopicChanged:
		s.observeRestores(now, e.Batch.Next.Restores())
		return nil
	case stageDone:
		s.handleStaged(now, e)
	case startDone:
		s.handleStarted(now, e)
	case verified:
		s.handleVerified(now, e)
	case gossiper.Received:
		s.handleOffers(e.Message)
	case gooseberrypass.Tick:
	default:
		return nil
	}
	return s.step(now)
}

// applySnapshot updates the peers and adds a job if a newer version is wanted.
func (s *Stager) applySnapshot(now time.Time, snapshot *materializer.Snapshot) []gooseberrypass.Effect {
	if snapshot.Deployment == nil {
		return nil
	}
	s.peers = slices.DeleteFunc(slices.Clone(snapshot.Processes), func(p materializer.Process) bool {
		return p.Role != gooseberrypass.RoleAgent || p.Service != s.deps.Self.Service
	})
	for _, j := range s.jobs {
		j.archiving.ranked = false
	}
	spec, ok := snapshot.Deployment.Service(s.deps.Self.Service)
	if !ok || spec.Engine == nil {
		return nil
	}
	s.model = *spec.Engine
	target, ok := snapshot.Targets[s.model.Model].Newest()
	if !ok {
		target = materializer.Target{Since: now, Version: firstVersion}
	}
	if n := len(s.jobs); n > 0 && s.jobs[n-1].version >= target.Version {
		return nil
	}
	s.deps.Log.WithFields(logrus.Fields{
		"model": s.model.Model, fieldVersion: target.Version, "age_ms": now.Sub(target.Since).Milliseconds(), "versions_before": len(s.jobs),
	}).Info("version wanted")
	s.addJob(&job{dueAt: s.dueTime(target), namedAt: target.Since, version: target.Version})
	s.notify(now, s.loading())
	return s.step(now)
}

// hash returns a hash of words that is the same in every process.
func hash(words ...string) uint64 {
	h := xxhash.New()
	for _, w := range words {
		_, _ = h.WriteString(w + "\x00") // never fails
	}
	return h.Sum64()
}

// dueTime returns when an engine in service loads a version. The loads of different
// engines are spread over time by a hash.
func (s *Stager) dueTime(target materializer.Target) time.Time {
	share := float64(hash(string(s.deps.Self.ID), strconv.Itoa(target.Version))) / (1 << 64)
	offset := time.Duration(share * float64(s.settings.LoadSpread))
	return target.Since.Add(s.settings.LoadDelay + offset)
}

// step returns the effects that are due now.
func (s *Stager) step(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !s.polling && !s.engine.paused() && now.Sub(s.polledAt) >= s.settings.PollInterval {
		s.polling, s.polledAt = true, now
		effects = append(effects, reportEffect{engine: s.engine})
	}
	s.dropObsolete(now)
	effects = append(effects, s.updateWants(now)...)
	for i, j := range slices.Clone(s.jobs) {
		if i == 0 && !s.loaded(j) {
			s.logProgress(now, j)
		}
		if effect := s.nextArchiving(now, j); effect != nil {
			effects = append(effects, effect)
		}
		if j.inFlight || now.Sub(j.failedAt) < s.settings.RetryDelay {
			continue
		}
		if effect := s.nextStep(now, j, i == 0); effect != nil {
			j.inFlight = true
			effects = append(effects, effect)
		}
	}
	return effects
}

// firstEvent returns the time of the first event.
func (s *Stager) firstEvent(now time.Time) time.Time {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	return s.firstEventAt
}

// loadedVersion returns the version of the model that the engine has loaded, 0 for none.
func (s *Stager) loadedVersion() int { return s.report.Models[s.model.Model] }

func (s *Stager) loaded(j *job) bool { return s.loadedVersion() >= j.version }

// inService reports whether the engine serves a version of the model.
func (s *Stager) inService() bool { return s.loadedVersion() > 0 }

// loading reports whether the engine accepts no requests, will accept none in a moment, or
// must get none as its load is not known to be sound.
func (s *Stager) loading() bool {
	return s.suspected() || s.takeover.foreign || slices.ContainsFunc(s.jobs, func(j *job) bool {
		return j.ordering || (j.ordered || !j.stopSentAt.IsZero()) && !s.loaded(j)
	})
}

// notify sends the state of the engine to entries.
func (s *Stager) notify(now time.Time, loading bool) {
	if !s.reported {
		return
	}
	s.status = balancer.EndpointStatus{Address: s.deps.Self.Endpoint, EngineStartMillis: s.report.StartMillis, DrainsIn: s.drainsIn(now), Loading: loading, Models: s.report.Models}
	s.deps.Notifier.SetEndpointStatus(now, s.status)
}

func (s *Stager) handleReport(now time.Time, e reportRead) []gooseberrypass.Effect {
	s.polling = false
	if errors.Is(e.err, errPaused) {
		return nil // it answers, so that what is known of it holds
	}
	if e.err != nil {
		if s.reported {
			s.deps.Log.WithError(e.err).Warn("reading engine report failed")
		}
		s.reported = false
		return nil
	}
	old, known := s.report, s.reported
	s.report, s.reported = e.report, true
	s.settleSuspicions(now)
	s.detectForeignOrder()
	if known && old.StartMillis != e.report.StartMillis || !known {
		s.resetJobs()
	}
	s.dropLoaded()
	if len(s.jobs) == 0 {
		return nil
	}
	j := s.jobs[0]
	changed := !known || old.StartMillis != e.report.StartMillis || old.Models[s.model.Model] != e.report.Models[s.model.Model]
	loading := s.loading()
	if changed || loading != s.status.Loading {
		s.deps.Log.WithFields(logrus.Fields{
			"models": e.report.Models, "busy": e.report.Busy, fieldOrders: e.report.Orders, "born": e.report.StartMillis,
			fieldSince: now.Sub(j.namedAt).Milliseconds(),
		}).Info("engine state changed")
		s.notify(now, loading)
	}
	return s.step(now)
}

// resetJobs discards what was staged and ordered, which a restart of the engine
// invalidates.
func (s *Stager) resetJobs() {
	s.deps.Log.WithField("born", s.report.StartMillis).Info("engine started or reachable again")
	for version, sus := range s.suspicions {
		sus.confirmed = false // but an order to the earlier start may still be accepted
		s.suspicions[version] = sus
	}
	for _, j := range s.jobs {
		j.ordered, j.drainSentAt, j.staged, j.stopSentAt = false, time.Time{}, false, time.Time{}
	}
}

func (s *Stager) handleManifest(now time.Time, e manifestRead) []gooseberrypass.Effect {
	j := s.jobOf(e.version)
	if j == nil {
		return nil
	}
	j.inFlight = false
	if e.err != nil {
		j.failedAt = now
		j.manifestFailures++
		j.manifestSources.recordFailure(now, e.source)
		if slices.Contains(e.peers, j.manifestPeer) {
			j.manifestPeer = ""
		}
		log := s.deps.Log.WithField(fieldVersion, j.version)
		log.WithError(e.err).WithField(fieldSource, e.source).Warn("reading manifest failed")
		if j.manifestFailures >= maxManifestFailures && j.manifestSources.triedArchive() && !s.settled(j) {
			s.confirm(j.version, log)
		}
		return nil
	}
	if err := s.deps.Chunks.Put(e.manifest.Digest(), e.manifest.Encoded()); err != nil {
		j.failedAt = now
		s.deps.Log.WithError(err).Warn("storing manifest failed")
		return nil
	}
	j.manifest = e.manifest
	j.archiving = archiving{done: e.source == sourceArchive, since: now}
	s.deps.Manifests.put(s.model.Model, j.version, e.manifest.Encoded())
	s.deps.Notifier.OfferManifest(now, gooseberrypass.ModelTarget{Model: s.model.Model, Version: j.version})
	s.deps.Log.WithFields(logrus.Fields{fieldVersion: j.version, "digest": e.manifest.Digest().Short(), "chunks": e.manifest.Len(), fieldSource: e.source}).Info("manifest read")
	return s.step(now)
}

func (s *Stager) handleRestored(now time.Time, e chunksRestored) []gooseberrypass.Effect {
	j := s.jobOf(e.version)
	if j == nil {
		return nil
	}
	j.inFlight, j.restored, j.staged = false, true, e.kept == j.manifest.Len()
	s.deps.Log.WithFields(logrus.Fields{fieldVersion: j.version, "kept": e.kept}).Info("staged chunks reused")
	return s.step(now)
}

func (s *Stager) handleStaged(now time.Time, e stageDone) {
	s.writing = false
	j := s.jobOf(e.version)
	if j == nil {
		return
	}
	j.inFlight = false
	if e.err != nil {
		j.failedAt = now
		s.deps.Log.WithError(e.err).WithField(fieldVersion, j.version).Warn("staging version failed")
		return
	}
	j.staged = true
	s.deps.Log.WithFields(logrus.Fields{fieldVersion: j.version, fieldSince: now.Sub(j.namedAt).Milliseconds()}).Info("version staged")
}

var _ gooseberrypass.Controller = (*Stager)(nil)
