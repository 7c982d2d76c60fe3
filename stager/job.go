package stager

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// originKeeps is how many versions the origin keeps.
const originKeeps = 2

// A job is the work on one version.
type job struct {
	begun         bool      // the engine was ordered to load it
	closing       time.Time // when entries were told to send only what ends soon
	due           time.Time // when an engine in service loads it
	failedAt      time.Time // of the last step that failed
	flying        bool      // a step is in progress
	logged        time.Time // when progress was logged last
	manifest      *gooseberrypass.Manifest
	manifestOffer string // address of an agent that offers it, "" for none known
	manifestTries int    // rounds in which nobody had it
	seeded        bool   // pieces staged before were taken over
	since         time.Time
	staged        bool
	told          time.Time // when entries were told to send nothing
	version       int
}

// add appends the job of a newer version. An older one is left out if the newer
// can be loaded before the older one's bound, if the engine serves nothing, or
// if the origin has dropped it.
func (s *Stager) add(newest *job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
		if s.loaded(j) {
			return true
		}
		if j.begun || !j.told.IsZero() {
			return false
		}
		gone := newest.version-j.version >= originKeeps && !s.whole(j)
		skip := gone || newest.since.Sub(j.since) <= s.settings.SkipGap || !s.inService() && !j.staged
		if skip {
			s.d.Log.WithFields(logrus.Fields{fieldVersion: j.version, "newer": newest.version}).Info("version left out")
		}
		return skip
	})
	s.jobs = append(s.jobs, newest)
}

// finish drops the jobs that are done, but for the newest, whose pieces are
// offered to others.
func (s *Stager) finish() {
	for len(s.jobs) > 1 && s.loaded(s.jobs[0]) {
		s.jobs = s.jobs[1:]
	}
}

// dropUseless drops an older version that would be out of use again as soon as
// it was loaded, and reports whether it did.
func (s *Stager) dropUseless(now time.Time) bool {
	if len(s.jobs) < 2 || s.jobs[0].begun || !s.jobs[0].told.IsZero() {
		return false
	}
	if s.jobs[1].since.Add(s.settings.Usable).Sub(now) >= s.settings.LeastUse {
		return false
	}
	s.d.Log.WithFields(logrus.Fields{fieldVersion: s.jobs[0].version, "newer": s.jobs[1].version}).Info("version left out")
	s.jobs = s.jobs[1:]
	return true
}

// jobOf returns the job of a version, nil if there is none any more.
func (s *Stager) jobOf(version int) *job {
	for _, j := range s.jobs {
		if j.version == version {
			return j
		}
	}
	return nil
}

// whole reports whether every piece of a version is held.
func (s *Stager) whole(j *job) bool {
	return j.manifest != nil && s.d.Fetcher.Progress(j.manifest.Digest()).Complete()
}

// want has the versions fetched whose pieces are known, the oldest first.
func (s *Stager) want(now time.Time) []gooseberrypass.Effect {
	wants := make([]fetcher.Want, 0, len(s.jobs))
	for _, j := range s.jobs {
		if j.manifest != nil && j.seeded {
			wants = append(wants, fetcher.Want{
				Digest: j.manifest.Digest(), OriginName: s.model.Model, Version: strconv.Itoa(j.version),
			})
		}
	}
	return s.d.Fetcher.SetWants(now, wants)
}

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
		fieldVersion: j.version, "held": p.Held, "chunks": p.Total, fieldSince: now.Sub(j.since).Milliseconds(), "problem": p.Err,
	}).Info("version on its way")
}

// next returns the effect of the next step, nil if there is none now.
func (s *Stager) next(now time.Time, j *job, first bool) gooseberrypass.Effect {
	switch {
	case j.manifest == nil:
		return manifestEffect{
			manifests: s.d.Manifests, model: s.model.Model, origin: s.d.Origin, peers: s.manifestPeers(j), version: j.version,
		}
	case !j.seeded:
		return s.nextSeed(now, j)
	case !s.reported || !first || s.loaded(j) || !s.whole(j):
		return nil // a loaded version is held for the agents that still fetch it
	case !j.staged:
		return s.stageEffect(j)
	case s.report.Busy || s.inService() && !s.announced(now, j):
		return nil
	default:
		return startEffect{stageEffect: s.stageEffect(j), orders: s.report.Orders}
	}
}

// nextSeed takes over what is staged. At the start it waits a moment for an
// engine that was there before and may have pieces staged.
func (s *Stager) nextSeed(now time.Time, j *job) gooseberrypass.Effect {
	if !s.reported && now.Sub(s.created(now)) < s.settings.Patience {
		return nil
	}
	return seedEffect{chunks: s.d.Chunks, engine: s.d.Engine, manifest: j.manifest, model: s.model.Model, version: j.version}
}

func (s *Stager) stageEffect(j *job) stageEffect {
	return stageEffect{chunks: s.d.Chunks, engine: s.d.Engine, manifest: j.manifest, model: s.model.Model, version: j.version}
}

// announced reports whether entries send nothing to an engine in service any
// more. It tells them when the version is due, and some time before to send only
// what ends until then: a load begins when the last stream has ended.
func (s *Stager) announced(now time.Time, j *job) bool {
	if now.Before(j.due) {
		if j.closing.IsZero() && !now.Before(j.due.Add(-s.settings.Drain)) {
			j.closing = now
			s.tell(now, false)
		}
		return false
	}
	if j.told.IsZero() {
		j.told = now
		s.tell(now, true)
	}
	return now.Sub(j.told) >= s.settings.Announce
}

// closesIn returns the time until the engine takes no work, 0 if it goes on.
func (s *Stager) closesIn(now time.Time) time.Duration {
	for _, j := range s.jobs {
		if !j.closing.IsZero() && !s.loaded(j) {
			return max(j.due.Sub(now), 0)
		}
	}
	return 0
}
