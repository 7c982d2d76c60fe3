package stager

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxManifestFailures is how often the manifest of a load is read that another process ordered, before the archive
// is read if that was not. The load cannot be verified without it.
const maxManifestFailures = 3

// takeover tells the orders of this process from those of an earlier process beside the same
// engine: one that was under way when that process ended may still be accepted, and the engine
// then takes whatever is staged.
type takeover struct {
	accepted    int   // orders accepted by this start of the engine, as far as they are accounted for
	foreign     bool  // an order of an earlier process is being executed, or its load was not seen yet
	known       bool  // the fields are of startMillis
	startMillis int64 // start of the engine
	unanswered  int   // version of an own order that may have been accepted, 0 for none
	wrote       bool  // this process has staged chunks
}

// detectForeignOrder suspects the load of an order that this process has not given.
func (s *Stager) detectForeignOrder() {
	t := &s.takeover
	if s.ordering() {
		return // the report may be older than the answer
	}
	if !t.known || t.startMillis != s.report.StartMillis {
		*t = takeover{accepted: s.report.Orders, foreign: s.report.Busy, known: true, startMillis: s.report.StartMillis}
	}
	if s.report.Orders > t.accepted {
		t.accepted, t.foreign = s.report.Orders, true
	}
	if !t.foreign || s.report.Busy || s.model.Model == "" {
		return
	}
	t.foreign = false
	version := s.loadedVersion()
	if version == 0 || version == t.unanswered || s.suspected() {
		return
	}
	log := s.deps.Log.WithFields(logrus.Fields{fieldVersion: version, fieldOrders: t.accepted, "born": t.startMillis, "staged_since": t.wrote})
	log.Warn("engine has loaded a version that this process has not ordered")
	s.suspicions[version] = suspicion{}
	if t.wrote {
		s.confirm(version, log)
		return
	}
	s.addLoaded(version)
}

// addLoaded adds the job of a loaded version that is to be verified, unless there is one.
func (s *Stager) addLoaded(version int) {
	i, found := slices.BinarySearchFunc(s.jobs, version, func(j *job, v int) int { return j.version - v })
	if !found {
		s.jobs = slices.Insert(s.jobs, i, &job{version: version})
	}
}

// ordering reports whether an order is being verified or given.
func (s *Stager) ordering() bool {
	return slices.ContainsFunc(s.jobs, func(j *job) bool { return j.ordering })
}

// accountFor records the answer to an order of this process.
func (t *takeover) accountFor(e startDone) {
	t.wrote = t.wrote || e.repaired > 0
	switch e.result {
	case gooseberrypass.StartAccepted:
		t.accepted, t.unanswered = max(t.accepted, e.orders+1), 0
	case gooseberrypass.StartUnknown:
		t.unanswered = e.version
	default:
	}
}
