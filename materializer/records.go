package materializer

import (
	"bytes"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// A topicRecords holds the records of one topic.
type topicRecords struct {
	complete     gooseberrypass.Offset                 // offset from which on every record is known, deletions included
	knownSince   map[string]time.Time                  // when any process first knew the record, by key
	next         gooseberrypass.Offset                 // offset after the last known record
	outranked    map[string]outrankedRecord            // records of a restored log that are older than the known ones, by key
	pulled       bool                                  // every record of another process has been received
	records      map[string]gooseberrypass.KeyedRecord // by key; a nil value is a tombstone
	restoredAt   time.Time                             // when this process learned of the last restore, zero if there was none since its start
	restoredNext gooseberrypass.Offset                 // offset after the last record at restoredAt, 0 if there was no restore since the start
}

// An outrankedRecord is a record of a restored log that is older than the known one.
type outrankedRecord struct {
	record gooseberrypass.KeyedRecord // without a value if the log has none
	since  time.Time
}

// topic returns the records of a topic, and creates them for a new topic.
func (m *Materializer) topic(topic gooseberrypass.Topic) *topicRecords {
	t, ok := m.topics[topic]
	if !ok {
		t = &topicRecords{
			knownSince: map[string]time.Time{}, outranked: map[string]outrankedRecord{}, records: map[string]gooseberrypass.KeyedRecord{},
		}
		m.topics[topic] = t
	}
	return t
}

// merge stores the records that are newer than the known ones, and reports
// whether the snapshot changes.
func (m *Materializer) merge(now time.Time, e gooseberrypass.TopicChanged) bool {
	t := m.topic(e.Topic)
	if e.Topic == gooseberrypass.TopicOperator {
		m.blind = m.followsFrom.IsZero() || m.isOfAnyAge(now, e)
		m.overdueFrom = time.Time{}
		m.recordKnown(now, e)
		if e.Batch.Complete && isOverdue(now, e) {
			m.overdueFrom = e.ReadFrom
		}
	}
	changed := false
	if e.Batch.Next.Restores() >= t.next.Restores() {
		m.recordRestore(now, e, t)
		changed = m.mergeRecords(now, e, t)
		if e.Batch.Complete {
			changed = m.removeMissing(now, e, t) || changed
			t.pulled = t.pulled || e.Ages != nil
			// A read of every key returns no deletions.
			t.complete = max(t.complete, e.Batch.Next)
		}
	}
	m.reported = append(m.reported, e.Targets...)
	changed = changed || len(e.Targets) > 0
	t.next = max(t.next, e.Batch.Next)
	offsets := maps.Clone(*m.offsets.Load())
	offsets[e.Topic] = t.next
	m.offsets.Store(&offsets)
	return changed
}

// recordRestore records that the log came back from an older copy, if the batch is the
// first one since then.
func (m *Materializer) recordRestore(now time.Time, e gooseberrypass.TopicChanged, t *topicRecords) {
	if t.next == 0 || e.Batch.Next.Restores() == t.next.Restores() {
		return
	}
	t.restoredAt, t.restoredNext = now, e.Batch.Next
	clear(t.outranked)
	m.logger.WithFields(logrus.Fields{
		"known": t.next.Index(), "next": e.Batch.Next.Index(), "restores": e.Batch.Next.Restores(), fieldTopic: e.Topic,
	}).Warn("log came back from an older copy, keeping newer records until they are written again")
}

// mergeRecords stores the records of a batch that are newer than the known ones.
func (m *Materializer) mergeRecords(now time.Time, e gooseberrypass.TopicChanged, t *topicRecords) bool {
	changed := false
	for i, r := range e.Batch.Records {
		held, known := t.records[r.Key]
		if known && !m.supersedes(e.Topic, held, r) {
			m.ignore(now, e.Topic, t, held, r)
			continue
		}
		if known && r.Value == nil && r.Revision == (gooseberrypass.Revision{}) {
			r.Revision = m.revision(e.Topic, held)
		}
		delete(t.outranked, r.Key)
		t.records[r.Key] = r
		if !known || !isRepeated(held, r) {
			t.knownSince[r.Key] = now.Add(-m.recordAge(now, e, i))
			m.addNamed(now, e, held, r, t.knownSince[r.Key])
		}
		changed = m.applyRecord(now, e.Topic, r, m.retention(now, e, r.Key)) || changed
	}
	return changed
}

// isRepeated reports whether a record changes nothing: it was written again after a restore, or
// deletes a key that was deleted before.
func isRepeated(held, r gooseberrypass.KeyedRecord) bool {
	if r.Value == nil {
		return held.Value == nil
	}
	return held.Offset.Restores() != r.Offset.Restores() && bytes.Equal(held.Value, r.Value)
}

// supersedes reports whether a record is newer than the known one of its key. If the log
// came back from an older copy between them, their offsets say nothing, and the writer's
// revisions decide.
func (m *Materializer) supersedes(topic gooseberrypass.Topic, held, r gooseberrypass.KeyedRecord) bool {
	later := r.Offset > held.Offset
	if held.Offset.Restores() == r.Offset.Restores() {
		return later
	}
	if m.isEvacuation(topic, r) {
		return m.supersedesEvacuation(held, r)
	}
	old, revision := m.revision(topic, held), m.revision(topic, r)
	known := old != (gooseberrypass.Revision{}) && revision != (gooseberrypass.Revision{})
	order := revision.Compare(old)
	switch {
	case r.Value == nil:
		return later || known && order >= 0 // that value was deleted
	case held.Value == nil && known:
		return order > 0
	case order != 0:
		return order > 0
	default:
		return later
	}
}

// revision returns the revision of a record's value, or of the last value of a deleted key.
func (m *Materializer) revision(topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	if r.Value == nil {
		return r.Revision
	}
	if m.isEvacuation(topic, r) {
		return evacuationRevision(r)
	}
	return m.decoder.Revision(topic, r)
}

// ignore leaves out a record that is not newer than the known one.
func (m *Materializer) ignore(now time.Time, topic gooseberrypass.Topic, t *topicRecords, held, r gooseberrypass.KeyedRecord) {
	if r.Offset > held.Offset {
		if known, ok := t.outranked[r.Key]; !ok || known.record.Offset != r.Offset {
			t.outranked[r.Key] = outrankedRecord{record: r, since: now}
		}
	}
	if topic == gooseberrypass.TopicProcesses || bytes.Equal(held.Value, r.Value) {
		return
	}
	logger := m.logger.WithFields(logrus.Fields{
		fieldKey: r.Key, "known_offset": held.Offset.Index(), "known_restores": held.Offset.Restores(), fieldOffset: r.Offset.Index(), "restores": r.Offset.Restores(), fieldTopic: topic,
	})
	if r.Offset > held.Offset {
		logger.Info("ignoring record of the restored log that is older than the known one")
		return
	}
	logger.Debug("ignoring record that is not newer than the known one")
}

// removeMissing removes the keys that a batch with every key does not have.
func (m *Materializer) removeMissing(now time.Time, e gooseberrypass.TopicChanged, t *topicRecords) bool {
	exists := make(map[string]bool, len(e.Batch.Records))
	for _, r := range e.Batch.Records {
		exists[r.Key] = r.Value != nil
	}
	for key, o := range t.outranked {
		if !exists[key] && o.record.Value != nil && o.record.Offset < e.Batch.Next {
			delete(t.outranked, key)
		}
	}
	changed := false
	for key, held := range t.records {
		if exists[key] || held.Value == nil || held.Offset >= e.Batch.Next {
			continue
		}
		restored := held.Offset.Restores() < e.Batch.Next.Restores()
		if restored && e.Topic != gooseberrypass.TopicEndpoints {
			t.outranked[key] = outrankedRecord{since: now} // it is written again
			continue
		}
		retention, revision := m.retention(now, e, key), m.revision(e.Topic, held)
		if restored {
			retention = m.restoredRetention(now, e, t, key)
			revision = gooseberrypass.Revision{} // it was lost, not deleted, and may be written again as it was
		}
		held.Revision, held.Value = revision, nil
		t.records[key], t.knownSince[key] = held, now
		changed = m.applyRecord(now, e.Topic, held, retention) || changed
	}
	return changed
}

// restoredRetention returns for how long an endpoint is retained that a restored log does
// not have: its record may be lost, and it then registers again.
func (m *Materializer) restoredRetention(now time.Time, e gooseberrypass.TopicChanged, t *topicRecords, key string) time.Duration {
	left := max(t.restoredAt.Add(m.settings.Retention).Sub(now), 0)
	if e.Ages != nil && hasKey(e.Batch, key) {
		return min(e.Retained[key], left)
	}
	return left
}

// releaseRestored takes over the older records of endpoints that came back with the log
// and have not expired for the time of a lease: those endpoints run and renew them. It
// reports whether there were any.
func (m *Materializer) releaseRestored(now time.Time) bool {
	t := m.topic(gooseberrypass.TopicEndpoints)
	changed := false
	for key, o := range t.outranked {
		if now.Sub(o.since) < m.settings.Lease {
			continue
		}
		r := o.record
		m.logger.WithFields(logrus.Fields{fieldKey: key, fieldOffset: r.Offset.Index()}).Info("endpoint record came back with the log and has not expired, using it")
		delete(t.outranked, key)
		t.records[key], t.knownSince[key] = r, o.since
		changed = m.applyRecord(now, gooseberrypass.TopicEndpoints, r, 0) || changed
	}
	return changed
}

// Outranks reports whether this process knows newer records of a topic than the log, which
// came back from an older copy. It must be called on the control goroutine.
func (m *Materializer) Outranks(topic gooseberrypass.Topic) bool {
	return len(m.topic(topic).outranked) > 0
}

// MissedRestore reports whether the process started after the log came back from an older
// copy and has not received the records of a process that ran before. It must be called on
// the control goroutine.
func (m *Materializer) MissedRestore(topic gooseberrypass.Topic) bool {
	t := m.topic(topic)
	return t.next.Restores() > 0 && t.restoredAt.IsZero() && !t.pulled
}

// Lost reports whether the log has come back from an older copy without a record, or
// without a newer one of its key than that from before, and the number of restores. It must
// be called on the control goroutine.
func (m *Materializer) Lost(topic gooseberrypass.Topic, key string) (uint64, bool) {
	t := m.topic(topic)
	restores := t.next.Restores()
	held, known := t.records[key]
	return restores, restores > 0 && (!known || held.Offset.Restores() < restores)
}

// recordAge returns the time for which a record has been known. When the record of a version
// was written that was there when the process started is unknown, so it counts from
// assumedSince; one that may have been written since the last answer of the log counts from that.
// For other records that would be too early: the time for which an endpoint stays cold
// counts from then on, here and at processes that pull the record.
func (m *Materializer) recordAge(now time.Time, e gooseberrypass.TopicChanged, i int) time.Duration {
	isVersion := e.Topic == gooseberrypass.TopicOperator && !m.isEvacuation(e.Topic, e.Batch.Records[i])
	switch {
	case i < len(e.Ages):
		return e.Ages[i]
	case isVersion && m.isOfAnyAge(now, e):
		return now.Sub(m.assumedSince())
	case isVersion && isOverdue(now, e):
		return now.Sub(e.ReadFrom)
	default:
		return e.ReadAge
	}
}
