package materializer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Sources of what a process knows of versions, for logs.
const (
	sourceFirstRead = "first read" // whose records may be of any age
	sourceMessage   = "message"    // from another process
	sourcePull      = "pull"       // from another process
	sourceRead      = "read"
)

// source returns where the records or versions of an event come from.
func source(e gooseberrypass.TopicChanged) string {
	switch {
	case e.FirstRead:
		return sourceFirstRead
	case e.Ages == nil:
		return sourceRead
	case e.Batch.Next == 0:
		return sourceMessage
	default:
		return sourcePull
	}
}

// logBounds logs the versions whose bounds have become known or changed since an earlier
// snapshot.
func (m *Materializer) logBounds(now time.Time, before *Snapshot, e gooseberrypass.TopicChanged) {
	if m.Snapshot() == before {
		return
	}
	for model, targets := range m.Snapshot().Targets {
		for _, t := range targets {
			known := before.Targets[model]
			if i, ok := known.find(t.Version); ok && known[i] == t {
				continue
			}
			m.logger.WithFields(logrus.Fields{
				"age_ms": now.Sub(t.Since).Milliseconds(), "model": model, "observed": !t.ObservedAt.IsZero(), "presumed": t.Presumed, "source": source(e), "version": t.Version,
			}).Info("bound of a version set")
		}
	}
}

// AgedTargets returns all wanted versions that this process knows, with the time since
// each was named, without those that it merely presumes. It must be called on the control goroutine.
func (m *Materializer) AgedTargets(now time.Time) []gooseberrypass.AgedTarget {
	var aged []gooseberrypass.AgedTarget
	for model, targets := range m.Snapshot().Targets {
		for _, t := range targets {
			if !t.Presumed {
				aged = append(aged, t.aged(now, model))
			}
		}
	}
	return aged
}

// minCorrection is the smallest difference for which the time of a version is corrected:
// messages take between a fraction of a millisecond and a few.
const minCorrection = 10 * time.Millisecond

// NewTargets returns those of the versions that another process knows which this one
// does not know, or counts from a later time. It must be called on the control goroutine.
func (m *Materializer) NewTargets(now time.Time, reported []gooseberrypass.AgedTarget) []gooseberrypass.AgedTarget {
	var news []gooseberrypass.AgedTarget
	for _, a := range reported {
		known := m.Snapshot().Targets[a.Model]
		i, found := known.find(a.Version)
		if !found && i == 0 && len(known) == maxTargets {
			continue // older than those that are kept
		}
		if !found || newTarget(now, a).improves(known[i], minCorrection) {
			news = append(news, a)
		}
	}
	return news
}

// updateTargets adds the versions that were read or that another process knows to a snapshot.
func (m *Materializer) updateTargets(now time.Time, snapshot *Snapshot) {
	for _, a := range append(m.reported, m.named...) {
		snapshot.Targets[a.Model] = snapshot.Targets[a.Model].withReported(newTarget(now, a))
	}
	m.reported, m.named = nil, nil
	for model, targets := range snapshot.Targets {
		if !m.overdueFrom.IsZero() {
			targets = targets.withSkipped(m.overdueFrom)
		}
		if m.blind || !m.hasRead {
			m.namedBefore[model] = true
		}
		if m.blind {
			targets = targets.assumedFrom(m.assumedSince())
		}
		if m.namedBefore[model] {
			targets = targets.withPredecessors(m.assumedSince(), m.followsFrom)
		}
		snapshot.Targets[model] = targets
	}
}

// addNamed adds the version that a record of the operator's topic names, unless the record held of its
// key names it as well. Another version of the model may follow in the same batch.
func (m *Materializer) addNamed(now time.Time, e gooseberrypass.TopicChanged, held, r gooseberrypass.KeyedRecord, since time.Time) {
	if e.Topic != gooseberrypass.TopicOperator || m.isEvacuation(e.Topic, r) {
		return
	}
	target, ok, err := m.decoder.Target(r)
	if err != nil || !ok {
		return // publish logs records that cannot be used
	}
	if held.Value != nil {
		if before, ok, err := m.decoder.Target(held); err == nil && ok && before == target {
			return // written again
		}
	}
	known := m.Snapshot().Targets[target.Model]
	if i, found := known.find(target.Version); found && i < len(known)-1 {
		return // named before a newer version
	}
	m.named = append(m.named, gooseberrypass.AgedTarget{
		Age: now.Sub(since), Model: target.Model, Observed: e.Ages == nil && !e.FirstRead && !isOverdue(now, e), Version: target.Version,
	})
}

// maxReadGap is the time between two answers of the log up to which a record of the second one
// counts as written when it was read. A process that follows a topic has an answer each second.
const maxReadGap = 1500 * time.Millisecond

// isOverdue reports whether the records of a read may have been written much earlier: the process
// stood still, or the log had trimmed records so that it returned the newest of each key.
func isOverdue(now time.Time, e gooseberrypass.TopicChanged) bool {
	return !e.ReadFrom.IsZero() && (e.Batch.Complete || now.Sub(e.ReadFrom) > maxReadGap)
}

// recordKnown records from when on the process sees each naming: from its first read, or from its first pull
// if it has left the reads to another one for long since.
func (m *Materializer) recordKnown(now time.Time, e gooseberrypass.TopicChanged) {
	m.hasRead = m.hasRead || e.Ages == nil
	if m.isOfAnyAge(now, e) || m.followsFrom.IsZero() && (e.Ages == nil || e.Batch.Next > 0) {
		m.followsFrom = now
	}
}

// isOfAnyAge reports whether the records of a read may have been written at any time before the process started.
// A process that has left the reads to another one for so long that each version named before its start has
// reached its bound lacks those alone that were written since the last answer of the log.
func (m *Materializer) isOfAnyAge(now time.Time, e gooseberrypass.TopicChanged) bool {
	early := e.ReadFrom.IsZero() || now.Sub(m.startedAt) <= m.settings.AssumedAge+m.settings.Exemption
	return e.FirstRead && early
}

// assumedSince returns the time from which the bound of a version counts that may have been
// named at any time before the process started. It follows from the start and not from the
// read, which may come late: the start is when the exemption from the bounds begins to end.
func (m *Materializer) assumedSince() time.Time { return m.startedAt.Add(-m.settings.AssumedAge) }
