package stager

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// originVersions is the number of versions that the origin keeps.
const originVersions = 2

// A job is the deployment of one version to the engine.
type job struct {
	archiving        archiving
	drainSentAt      time.Time // when entries were told to send only requests that end by dueAt, zero before
	dueAt            time.Time // when an engine in service loads the version
	failedAt         time.Time // when the last step failed
	inFlight         bool      // a step is in progress
	loggedAt         time.Time // when progress was last logged
	manifest         *gooseberrypass.Manifest
	manifestFailures int       // failed reads of the manifest
	manifestPeer     string    // address of an agent that offers the manifest, "" if none is known
	namedAt          time.Time // when the operator named the version
	manifestSources  manifestSources
	ordered          bool      // the engine accepted the order to load it
	ordering         bool      // the order is verified or given
	restored         bool      // chunks staged before the job began were read back
	staged           bool      // all chunks are staged
	stopSentAt       time.Time // when entries were told to send no requests, zero before
	version          int
}

// addJob appends the job of a newer version. It skips an older version if the newer
// one can be loaded before the older one's bound, if the engine serves nothing and
// the older version is not staged, or if the origin no longer has it.
func (s *Stager) addJob(newest *job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
		if s.loaded(j) {
			return s.settled(j)
		}
		if j.ordered || j.ordering || !j.stopSentAt.IsZero() {
			return false
		}
		dropped := newest.version-j.version >= originVersions && !s.fetched(j)
		skip := dropped || newest.namedAt.Sub(j.namedAt) <= s.settings.SkipGap || !s.inService() && !j.staged
		if skip {
			s.deps.Log.WithFields(logrus.Fields{fieldVersion: j.version, "newer": newest.version}).Info("version skipped")
		}
		return skip
	})
	s.jobs = append(s.jobs, newest)
}

// dropLoaded drops the jobs of loaded versions except the newest, whose chunks are
// offered to other agents.
func (s *Stager) dropLoaded() {
	for len(s.jobs) > 1 && s.loaded(s.jobs[0]) && s.settled(s.jobs[0]) {
		s.jobs = s.jobs[1:]
	}
}

// dropObsolete drops an older version that would be out of use again as soon as it
// was loaded.
func (s *Stager) dropObsolete(now time.Time) {
	if first := s.jobs; len(first) < 2 || first[0].ordered || first[0].ordering || !first[0].stopSentAt.IsZero() {
		return
	}
	if s.jobs[1].namedAt.Add(s.settings.PreviousUsable).Sub(now) >= s.settings.MinUse {
		return
	}
	s.deps.Log.WithFields(logrus.Fields{fieldVersion: s.jobs[0].version, "newer": s.jobs[1].version}).Info("version skipped")
	s.jobs = s.jobs[1:]
}

// jobOf returns the job of a version, nil if there is none.
func (s *Stager) jobOf(version int) *job {
	for _, j := range s.jobs {
		if j.version == version {
			return j
		}
	}
	return nil
}

// fetched reports whether every chunk of a version is held.
func (s *Stager) fetched(j *job) bool {
	return j.manifest != nil && s.deps.Fetcher.Progress(j.manifest.Digest()).Complete()
}

// updateWants passes the versions whose chunks are known to the fetcher, the oldest
// first, if they have changed. A version that is no longer among them releases its chunk
// memory for the next one.
func (s *Stager) updateWants(now time.Time) []gooseberrypass.Effect {
	wants := make([]fetcher.Want, 0, len(s.jobs))
	for _, j := range s.jobs {
		if j.manifest != nil && j.restored {
			wants = append(wants, fetcher.Want{
				Digest: j.manifest.Digest(), OriginName: s.model.Model, Version: strconv.Itoa(j.version),
			})
		}
	}
	if slices.Equal(wants, s.wants) {
		return nil
	}
	s.wants = wants
	return s.deps.Fetcher.SetWants(now, wants)
}

// progressPeriod is the shortest time between two log lines about a fetch.
const progressPeriod = 500 * time.Millisecond

// logProgress logs the progress of the fetch.
func (s *Stager) logProgress(now time.Time, j *job) {
	if j.manifest == nil || !j.restored || j.staged || now.Sub(j.loggedAt) < progressPeriod {
		return
	}
	j.loggedAt = now
	p := s.deps.Fetcher.Progress(j.manifest.Digest())
	s.deps.Log.WithFields(logrus.Fields{
		fieldVersion: j.version, "held": p.Held, "chunks": p.Total, fieldSince: now.Sub(j.namedAt).Milliseconds(), "problem": p.Err,
		"waits_for_memory": p.Waiting,
	}).Info("fetching version")
}

// nextStep returns the effect of the next step of a job, nil if none is due. Only
// the first job is staged and loaded.
func (s *Stager) nextStep(now time.Time, j *job, first bool) gooseberrypass.Effect {
	switch {
	case j.manifest == nil:
		return s.manifestEffect(now, j)
	case !j.restored:
		return s.nextRestore(now, j)
	case s.engine.paused():
		return nil
	case !s.reported || !first || s.writing:
		return nil
	default:
		return s.nextWrite(now, j)
	}
}

// nextWrite returns the effect that stages, verifies or loads the first version, nil if none
// is due. The stage holds one copy of a model, so one such step is in progress at a time.
func (s *Stager) nextWrite(now time.Time, j *job) gooseberrypass.Effect {
	switch {
	case s.loaded(j):
		return s.nextVerification(j) // the chunks are kept for agents that still fetch them
	case !s.fetched(j) || s.takeover.foreign:
		return nil
	case !j.staged:
		s.writing, s.takeover.wrote = true, true
		return s.stageEffect(j)
	case s.report.Busy || s.inService() && !s.drained(now, j):
		return nil
	default:
		s.writing, j.ordering = true, true
		return s.startEffect(j)
	}
}

// nextRestore returns the effect that reads back staged chunks. After the start it
// waits a moment for the report of an engine that ran before this process and may
// have chunks staged.
func (s *Stager) nextRestore(now time.Time, j *job) gooseberrypass.Effect {
	if !s.reported && now.Sub(s.firstEvent(now)) < s.settings.ReportTimeout {
		return nil
	}
	return restoreEffect{chunks: s.deps.Chunks, engine: s.engine, manifest: j.manifest, model: s.model.Model, version: j.version}
}

func (s *Stager) stageEffect(j *job) stageEffect {
	return stageEffect{chunks: s.deps.Chunks, engine: s.engine, manifest: j.manifest, model: s.model.Model, version: j.version}
}

// drained reports whether entries have stopped sending requests to an engine in
// service. It tells them to stop when the version is due, and some time before that
// to send only requests that end by then: a load begins when the last stream has
// ended. An engine whose load is suspected gets no requests and need not wait until then.
func (s *Stager) drained(now time.Time, j *job) bool {
	if now.Before(j.dueAt) && !s.suspected() {
		if j.drainSentAt.IsZero() && !now.Before(j.dueAt.Add(-s.settings.DrainLead)) {
			j.drainSentAt = now
			s.notify(now, s.loading())
		}
		return false
	}
	if j.stopSentAt.IsZero() {
		j.stopSentAt = now
		s.notify(now, true)
	}
	return now.Sub(j.stopSentAt) >= s.settings.StopLead
}

// drainsIn returns the time until the engine accepts no more requests, 0 if that is
// not planned.
func (s *Stager) drainsIn(now time.Time) time.Duration {
	for _, j := range s.jobs {
		if !j.drainSentAt.IsZero() && !s.loaded(j) {
			return max(j.dueAt.Sub(now), 0)
		}
	}
	return 0
}
