// Package stager brings the version that the operator wants into the engine
// beside an agent: it has the pieces fetched, stages them, checks what is
// staged and orders the engine to load it.
package stager

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// The fields of log lines.
const (
	fieldSince   = "since_named_ms"
	fieldVersion = "version"
)

// firstVersion is the version of a model of which the operator has named none.
const firstVersion = 1

// Settings tune a Stager.
type Settings struct {
	Announce time.Duration // before an order, for which entries are told to send nothing
	Drain    time.Duration // before an order, for which entries are told to send only what ends soon
	Earliest time.Duration // after a version was named, before which no engine in service loads it
	LeastUse time.Duration // for which an older version must be of use to be loaded
	Patience time.Duration // with an engine that does not report at the start
	Poll     time.Duration // between reports of the engine
	Retry    time.Duration // after a step that failed
	SkipGap  time.Duration // between two versions, up to which the older is left out for the newer
	Spread   time.Duration // over which the engines in service load it, one after another
	Usable   time.Duration // after a version was named, for which entries use the one before
}

// Chunks holds the verified pieces.
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

// A Teller tells entries about the endpoint, and other agents of manifests.
type Teller interface {
	SetManifest(now time.Time, t gooseberrypass.ModelTarget)
	SetNotice(now time.Time, n balancer.EndpointStatus)
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

// A Stager is a controller.
type Stager struct {
	d        Dependencies
	jobs     []*job // versions to be loaded or offered, the oldest first
	model    gooseberrypass.EngineModel
	notice   balancer.EndpointStatus
	peers    []surveyor.Process // agents of the same service
	polled   time.Time
	polling  bool
	start    time.Time // of the first event
	report   gooseberrypass.EngineReport
	reported bool
	settings Settings
}

// New returns a stager.
func New(d Dependencies, settings Settings) *Stager {
	return &Stager{d: d, notice: balancer.EndpointStatus{Address: d.Self.Endpoint}, settings: settings}
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
	case gossiper.Received:
		s.noteOffers(e.Message)
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
	if n := len(s.jobs); n > 0 && s.jobs[n-1].version >= target.Version {
		return nil
	}
	s.d.Log.WithFields(logrus.Fields{
		"model": s.model.Model, fieldVersion: target.Version, "age_ms": now.Sub(target.Since).Milliseconds(), "versions_before": len(s.jobs),
	}).Info("version wanted")
	s.add(&job{due: s.dueTime(target), since: target.Since, version: target.Version})
	s.tell(now, s.loading())
	return append(s.want(now), s.step(now)...)
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
	if s.dropUseless(now) {
		effects = append(effects, s.want(now)...)
	}
	for i, j := range slices.Clone(s.jobs) {
		if i == 0 && !s.loaded(j) {
			s.logProgress(now, j)
		}
		if j.flying || now.Sub(j.failedAt) < s.settings.Retry {
			continue
		}
		if effect := s.next(now, j, i == 0); effect != nil {
			j.flying = true
			effects = append(effects, effect)
		}
	}
	return effects
}

// created returns the time of the first event.
func (s *Stager) created(now time.Time) time.Time {
	if s.start.IsZero() {
		s.start = now
	}
	return s.start
}

func (s *Stager) loaded(j *job) bool { return s.report.Models[s.model.Model] >= j.version }

// inService reports whether the engine serves an older version.
func (s *Stager) inService() bool { return s.report.Models[s.model.Model] > 0 }

// loading reports whether the engine takes no work, or will take none in a
// moment.
func (s *Stager) loading() bool {
	return slices.ContainsFunc(s.jobs, func(j *job) bool {
		return (j.begun || !j.told.IsZero()) && !s.loaded(j)
	})
}

// tell tells entries what the engine serves.
func (s *Stager) tell(now time.Time, loading bool) {
	if !s.reported {
		return
	}
	s.notice = balancer.EndpointStatus{Address: s.d.Self.Endpoint, EngineStartMillis: s.report.Born, DrainsIn: s.closesIn(now), Loading: loading, Models: s.report.Models}
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
	s.finish()
	if len(s.jobs) == 0 {
		return nil
	}
	j := s.jobs[0]
	changed := !known || old.Born != e.report.Born || old.Models[s.model.Model] != e.report.Models[s.model.Model]
	loading := s.loading()
	if changed || loading != s.notice.Loading {
		s.d.Log.WithFields(logrus.Fields{
			"models": e.report.Models, "busy": e.report.Busy, "orders": e.report.Orders, "born": e.report.Born,
			fieldSince: now.Sub(j.since).Milliseconds(),
		}).Info("engine changed")
		s.tell(now, loading)
	}
	return s.step(now)
}

// restarted forgets what the engine had been told before its start.
func (s *Stager) restarted() {
	s.d.Log.WithField("born", s.report.Born).Info("engine found")
	for _, j := range s.jobs {
		j.begun, j.closing, j.staged, j.told = false, time.Time{}, false, time.Time{}
	}
}

func (s *Stager) noteManifest(now time.Time, e manifestRead) []gooseberrypass.Effect {
	j := s.jobOf(e.version)
	if j == nil {
		return nil
	}
	j.flying = false
	if e.err != nil {
		j.failedAt = now
		j.manifestTries++
		if slices.Contains(e.asked, j.manifestOffer) {
			j.manifestOffer = ""
		}
		s.d.Log.WithError(e.err).WithField(fieldVersion, j.version).Warn("manifest not read")
		return nil
	}
	if err := s.d.Chunks.Put(e.manifest.Digest(), e.manifest.Encoded()); err != nil {
		j.failedAt = now
		s.d.Log.WithError(err).Warn("manifest not held")
		return nil
	}
	j.manifest = e.manifest
	s.d.Manifests.put(s.model.Model, j.version, e.manifest.Encoded())
	s.d.Teller.SetManifest(now, gooseberrypass.ModelTarget{Model: s.model.Model, Version: j.version})
	s.d.Log.WithFields(logrus.Fields{fieldVersion: j.version, "digest": e.manifest.Digest().Short(), "chunks": e.manifest.Len()}).Info("manifest read")
	return s.step(now)
}

func (s *Stager) noteSeeded(now time.Time, e seeded) []gooseberrypass.Effect {
	j := s.jobOf(e.version)
	if j == nil {
		return nil
	}
	j.flying, j.seeded = false, true
	s.d.Log.WithFields(logrus.Fields{fieldVersion: j.version, "kept": e.kept}).Info("staged pieces taken over")
	return append(s.want(now), s.step(now)...)
}

func (s *Stager) noteStaged(now time.Time, e stageDone) {
	j := s.jobOf(e.version)
	if j == nil {
		return
	}
	j.flying = false
	if e.err != nil {
		j.failedAt = now
		s.d.Log.WithError(e.err).WithField(fieldVersion, j.version).Warn("version not staged")
		return
	}
	j.staged = true
	s.d.Log.WithFields(logrus.Fields{fieldVersion: j.version, fieldSince: now.Sub(j.since).Milliseconds()}).Info("version staged")
}

func (s *Stager) noteStarted(now time.Time, e started) {
	j := s.jobOf(e.version)
	if j == nil {
		return
	}
	j.flying = false
	s.polled = time.Time{}
	s.d.Log.WithError(e.err).WithFields(logrus.Fields{
		fieldVersion: j.version, "result": e.result, "repaired": e.repaired, "orders": e.orders, fieldSince: now.Sub(j.since).Milliseconds(),
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
