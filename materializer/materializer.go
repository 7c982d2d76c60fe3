// Package materializer materializes the keyed topics into a state: the deployment
// in force, the endpoints, the wanted model versions and the processes of the
// system.
package materializer

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

const fieldOffset = "offset" // log field

// A Decoder decodes the records of the keyed topics.
type Decoder interface {
	Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error)
	Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error)
	Target(r gooseberrypass.KeyedRecord) (gooseberrypass.ModelTarget, bool, error)
}

// A Process is a process of the system, as it registered itself.
type Process struct {
	Address       string                       `json:"address"`  // address for other processes
	Endpoint      string                       `json:"endpoint"` // address of the endpoint beside an agent, "" for entries
	FailureDomain gooseberrypass.FailureDomain `json:"failure_domain"`
	ID            gooseberrypass.ID            `json:"id"`
	Region        gooseberrypass.Region        `json:"region"`
	Role          gooseberrypass.Role          `json:"role"`
	Service       gooseberrypass.ID            `json:"service"`
}

// A Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	Deployment *gooseberrypass.Deployment // nil before the first one
	Endpoints  []gooseberrypass.Endpoint
	Processes  []Process
	Targets    map[string]Targets // by model
}

// Changed is the event that a new snapshot is in force.
type Changed struct {
	Snapshot *Snapshot
}

// EventName implements gooseberrypass.Event.
func (Changed) EventName() string { return "survey-changed" }

// Settings configure a Materializer.
type Settings struct {
	AssumedAge time.Duration // assumed age of versions that were named before the process started
	Exemption  time.Duration // time after an outage of its reads for which the process is exempt from the bounds
	MaxListAge time.Duration // age of the last read of the endpoint list up to which a process counts as able to read
	Retention  time.Duration // time after an outage for which endpoints removed during it are retained
}

// A topicRecords holds the records of one topic.
type topicRecords struct {
	complete   gooseberrypass.Offset                 // offset from which on every record is known, deletions included
	observed   map[string]bool                       // whether this process saw the record being written, by key
	knownSince map[string]time.Time                  // when any process first knew the record, by key
	next       gooseberrypass.Offset                 // offset after the last known record
	records    map[string]gooseberrypass.KeyedRecord // by key; a nil value is a tombstone
}

// target returns the target of the version that the record of a key names.
func (t *topicRecords) target(key string, version int) Target {
	target := Target{Since: t.knownSince[key], Version: version}
	if t.observed[key] {
		target.ObservedAt = target.Since
	}
	return target
}

// A cachedDeployment is the deployment of a record. It is cached because decoding
// is expensive.
type cachedDeployment struct {
	deployment *gooseberrypass.Deployment
	record     gooseberrypass.KeyedRecord
}

// A Materializer is the controller that maintains a Snapshot from the records of the
// topics.
type Materializer struct {
	agentOffset gooseberrypass.Offset // after the last operator record that agents act on
	cached      cachedDeployment
	decoder     Decoder
	endpoints   map[string]gooseberrypass.Endpoint // by key
	listeners   []gooseberrypass.Controller
	logger      logrus.FieldLogger
	offsets     atomic.Pointer[map[gooseberrypass.Topic]gooseberrypass.Offset] // next offset of each topic
	reported    []gooseberrypass.AgedTarget                                    // versions that another process knows, to be added at the next snapshot
	outage      outage
	retained    map[string]time.Time // endpoints removed during an outage and the end of their retention, by key
	settings    Settings
	snapshot    atomic.Pointer[Snapshot]
	topics      map[gooseberrypass.Topic]*topicRecords
}

// New returns a materializer that passes Changed events to listeners.
func New(decoder Decoder, settings Settings, logger logrus.FieldLogger, listeners ...gooseberrypass.Controller) *Materializer {
	m := &Materializer{
		decoder:   decoder,
		endpoints: map[string]gooseberrypass.Endpoint{},
		retained:  map[string]time.Time{},
		logger:    logger,
		listeners: listeners,
		settings:  settings,
		topics:    map[gooseberrypass.Topic]*topicRecords{},
	}
	m.snapshot.Store(&Snapshot{Targets: map[string]Targets{}})
	m.offsets.Store(&map[gooseberrypass.Topic]gooseberrypass.Offset{})
	return m
}

// Snapshot returns the current state. Callers must not modify it.
func (m *Materializer) Snapshot() *Snapshot { return m.snapshot.Load() }

// Deployment returns the deployment in force, nil before the first one.
func (m *Materializer) Deployment() *gooseberrypass.Deployment { return m.Snapshot().Deployment }

// NextOffset returns the offset after the last known record of a topic.
func (m *Materializer) NextOffset(topic gooseberrypass.Topic) gooseberrypass.Offset {
	return (*m.offsets.Load())[topic]
}

// NextAgentOffset returns the offset after the last record of a topic that agents
// act on. A configuration in which only routes or accounts differ is not one. It
// must be called on the control goroutine.
func (m *Materializer) NextAgentOffset(topic gooseberrypass.Topic) gooseberrypass.Offset {
	if topic == gooseberrypass.TopicOperator {
		return m.agentOffset
	}
	return m.NextOffset(topic)
}

// AgedTargets returns all wanted versions that this process knows, with the time since
// each was named. It must be called on the control goroutine.
func (m *Materializer) AgedTargets(now time.Time) []gooseberrypass.AgedTarget {
	var aged []gooseberrypass.AgedTarget
	for model, targets := range m.Snapshot().Targets {
		for _, t := range targets {
			aged = append(aged, t.aged(now, model))
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

// Retained reports whether an endpoint is retained although its record was removed
// during an outage, and for how much longer. It must be called on the control goroutine.
func (m *Materializer) Retained(now time.Time, key string) (time.Duration, bool) {
	until, ok := m.retained[key]
	return max(until.Sub(now), 0), ok
}

// ObserveRead records that another process last read the list of endpoints age ago. near
// reports whether it is of the own region and would take over the reads. ObserveRead must
// be called on the control goroutine.
func (m *Materializer) ObserveRead(now time.Time, age time.Duration, near bool) {
	m.outage.observe(now, age, m.settings.MaxListAge, near)
}

// An Extract is a part of the records of a topic.
type Extract struct {
	Complete bool                         // it has every key, so that any other key has been deleted
	Records  []gooseberrypass.KeyedRecord // in the order of their offsets
	Since    []time.Time                  // when each record first became known to any process
}

// RecordsFrom returns the records of a topic from an offset on. If deletions after that
// offset may be unknown here, it returns the records of all keys. It must be called on
// the control goroutine.
func (m *Materializer) RecordsFrom(topic gooseberrypass.Topic, from gooseberrypass.Offset) Extract {
	t := m.topic(topic)
	extract := Extract{Complete: from < t.complete}
	for _, r := range t.records {
		if r.Offset >= from || extract.Complete {
			extract.Records = append(extract.Records, r)
		}
	}
	slices.SortFunc(extract.Records, func(a, b gooseberrypass.KeyedRecord) int { return int(int64(a.Offset) - int64(b.Offset)) })
	for _, r := range extract.Records {
		extract.Since = append(extract.Since, t.knownSince[r.Key])
	}
	return extract
}

// topic returns the records of a topic, and creates them for a new topic.
func (m *Materializer) topic(topic gooseberrypass.Topic) *topicRecords {
	t, ok := m.topics[topic]
	if !ok {
		t = &topicRecords{observed: map[string]bool{}, records: map[string]gooseberrypass.KeyedRecord{}, knownSince: map[string]time.Time{}}
		m.topics[topic] = t
	}
	return t
}

// Handle implements gooseberrypass.Controller.
func (m *Materializer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed := false
	switch e := event.(type) {
	case gooseberrypass.TopicChanged:
		changed = m.merge(now, e)
	case gooseberrypass.TopicRead:
		m.recordOutage(now, e)
	case gooseberrypass.Tick:
		changed = m.expire(now)
	}
	if !changed {
		return nil
	}
	return m.publish(now)
}

// merge stores the records that are newer than the known ones, and reports
// whether the snapshot changes.
func (m *Materializer) merge(now time.Time, e gooseberrypass.TopicChanged) bool {
	t := m.topic(e.Topic)
	changed := false
	exists := make(map[string]bool, len(e.Batch.Records))
	for i, r := range e.Batch.Records {
		exists[r.Key] = r.Value != nil
		if held, ok := t.records[r.Key]; ok && held.Offset >= r.Offset {
			m.logIgnored(e.Topic, held, r)
			continue
		}
		t.records[r.Key] = r
		t.knownSince[r.Key] = now.Add(-m.recordAge(e, i))
		t.observed[r.Key] = e.Ages == nil && !e.FirstRead
		changed = m.applyRecord(now, e.Topic, r, m.retention(now, e, r.Key)) || changed
	}
	if e.Batch.Complete {
		for key, held := range t.records {
			if !exists[key] && held.Value != nil && held.Offset < e.Batch.Next {
				held.Value = nil
				t.records[key] = held
				changed = m.applyRecord(now, e.Topic, held, m.retention(now, e, key)) || changed
			}
		}
		// A read of every key returns no deletions.
		t.complete = max(t.complete, e.Batch.Next)
	}
	m.reported = append(m.reported, e.Targets...)
	changed = changed || len(e.Targets) > 0
	t.next = max(t.next, e.Batch.Next)
	offsets := maps.Clone(*m.offsets.Load())
	offsets[e.Topic] = t.next
	m.offsets.Store(&offsets)
	return changed
}

// logIgnored logs that an operator's record is ignored although it differs from the held one.
func (m *Materializer) logIgnored(topic gooseberrypass.Topic, held, r gooseberrypass.KeyedRecord) {
	if topic != gooseberrypass.TopicOperator || bytes.Equal(held.Value, r.Value) {
		return
	}
	m.logger.WithFields(logrus.Fields{"held_offset": held.Offset, "key": r.Key, fieldOffset: r.Offset, "topic": topic}).Warn("ignoring operator record that is older than the known one")
}

// recordAge returns the time for which a record has been known. The age of a
// record that was there when the process started is unknown, so AssumedAge is
// used.
func (m *Materializer) recordAge(e gooseberrypass.TopicChanged, i int) time.Duration {
	switch {
	case i < len(e.Ages):
		return e.Ages[i]
	case e.FirstRead:
		return m.settings.AssumedAge
	default:
		return 0
	}
}

// applyRecord applies a new record and reports whether the snapshot changes.
func (m *Materializer) applyRecord(now time.Time, topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord, retention time.Duration) bool {
	if topic == gooseberrypass.TopicProcesses {
		return true
	}
	if topic == gooseberrypass.TopicOperator {
		m.logger.WithFields(logrus.Fields{"key": r.Key, fieldOffset: r.Offset, "topic": topic, "bytes": len(r.Value)}).Info("operator record received")
		return true
	}
	held, known := m.endpoints[r.Key]
	if r.Value == nil {
		return known && m.removeEndpoint(now, r.Key, held, retention)
	}
	endpoint, err := m.decoder.Endpoint(r)
	if err != nil {
		m.logger.WithError(err).WithField(fieldOffset, r.Offset).Warn("ignoring endpoint record that cannot be decoded")
		return false
	}
	delete(m.retained, r.Key)
	m.endpoints[r.Key] = endpoint
	if known && equalEndpoints(held, endpoint) {
		return false
	}
	m.logger.WithFields(logrus.Fields{
		"address": endpoint.Address, "endpoint": endpoint.ID, "leaving": endpoint.Leaving, "models": endpoint.Models, fieldOffset: r.Offset, "service": endpoint.Service,
	}).Info("endpoint listed")
	return true
}

// retention returns for how long an endpoint is retained whose record an event removes,
// 0 if it is not.
func (m *Materializer) retention(now time.Time, e gooseberrypass.TopicChanged, key string) time.Duration {
	if e.Topic != gooseberrypass.TopicEndpoints || m.outage.isAvailable(now, m.settings) {
		return 0
	}
	if keptFor, ok := e.Retained[key]; ok {
		return min(keptFor, m.settings.Retention)
	}
	// The read that ends an outage brings the removals that happened during it.
	// Another process received them while it could read the store, unless it has
	// started since and merely lacks the key.
	if !m.outage.failing || e.Ages != nil && hasKey(e.Batch, key) {
		return 0
	}
	return m.outage.retention(now, m.settings)
}

func hasKey(batch gooseberrypass.KeyedBatch, key string) bool {
	return slices.ContainsFunc(batch.Records, func(r gooseberrypass.KeyedRecord) bool { return r.Key == key })
}

// removeEndpoint removes an endpoint. An endpoint whose record was removed during
// an outage is retained for a while instead, because it may be running and
// register again.
func (m *Materializer) removeEndpoint(now time.Time, key string, held gooseberrypass.Endpoint, retention time.Duration) bool {
	if _, ok := m.retained[key]; ok {
		return false
	}
	logger := m.logger.WithFields(m.outage.fields(now, m.settings)).WithField("endpoint", held.ID)
	if retention > 0 && !held.Leaving {
		m.retained[key] = now.Add(retention)
		held.Lapsed = true
		m.endpoints[key] = held
		logger.WithField("kept_for", retention).Info("endpoint record removed during an outage, retaining the endpoint")
		return true
	}
	delete(m.endpoints, key)
	logger.Info("endpoint removed")
	return true
}

// equalEndpoints reports whether two records describe an endpoint in the same
// way.
func equalEndpoints(a, b gooseberrypass.Endpoint) bool {
	return a.Address == b.Address && a.Lapsed == b.Lapsed && a.Leaving == b.Leaving && a.Service == b.Service && a.Slots == b.Slots &&
		a.FailureDomain == b.FailureDomain && maps.Equal(a.Models, b.Models)
}

// recordOutage records whether the last read of the endpoints failed.
func (m *Materializer) recordOutage(now time.Time, e gooseberrypass.TopicRead) {
	if e.Topic == gooseberrypass.TopicEndpoints {
		m.outage.record(now, e)
	}
}

// expire removes the retained endpoints that did not register again after an
// outage, and reports whether there were any.
func (m *Materializer) expire(now time.Time) bool {
	changed := false
	for key, until := range m.retained {
		if now.Before(until) || m.outage.failing && !m.outage.isOwn(now, m.settings) {
			continue
		}
		delete(m.retained, key)
		m.logger.WithField("endpoint", m.endpoints[key].ID).Info("endpoint removed, its record did not return after an outage")
		delete(m.endpoints, key)
		changed = true
	}
	return changed
}

// publish builds a new snapshot and passes it to the listeners.
func (m *Materializer) publish(now time.Time) []gooseberrypass.Effect {
	old := m.snapshot.Load()
	snapshot := &Snapshot{Deployment: old.Deployment, Targets: maps.Clone(old.Targets)}
	for _, a := range m.reported {
		snapshot.Targets[a.Model] = snapshot.Targets[a.Model].withReported(newTarget(now, a))
	}
	m.reported = nil
	t := m.topic(gooseberrypass.TopicOperator)
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		m.decodeOperatorRecord(snapshot, t, t.records[key])
	}
	for _, key := range slices.Sorted(maps.Keys(m.endpoints)) {
		snapshot.Endpoints = append(snapshot.Endpoints, m.endpoints[key])
	}
	snapshot.Processes = m.processes()
	m.snapshot.Store(snapshot)
	effects := make([]gooseberrypass.Effect, 0, len(m.listeners))
	for _, c := range m.listeners {
		effects = append(effects, c.Handle(now, Changed{Snapshot: snapshot})...)
	}
	return effects
}

// decodeOperatorRecord adds the deployment or target of an operator record to a
// snapshot.
func (m *Materializer) decodeOperatorRecord(snapshot *Snapshot, t *topicRecords, r gooseberrypass.KeyedRecord) {
	target, ok, err := m.decoder.Target(r)
	if err != nil {
		m.logger.WithError(err).Warn("ignoring operator record that cannot be decoded")
		return
	}
	if ok {
		m.agentOffset = max(m.agentOffset, r.Offset+1)
		snapshot.Targets[target.Model] = snapshot.Targets[target.Model].withNewer(t.target(r.Key, target.Version))
		return
	}
	if m.cached.record.Value != nil && m.cached.record.Key == r.Key && m.cached.record.Offset == r.Offset {
		snapshot.Deployment = m.cached.deployment
		return
	}
	d, err := m.decoder.Deployment(r)
	if err != nil {
		m.logger.WithError(err).Warn("ignoring operator record that cannot be decoded")
		return
	}
	if d != nil {
		if !d.SameEngines(m.cached.deployment) {
			m.agentOffset = max(m.agentOffset, r.Offset+1)
		}
		m.cached = cachedDeployment{deployment: d, record: r}
		snapshot.Deployment = d
	}
}

// processes returns the registered processes, sorted by key.
func (m *Materializer) processes() []Process {
	t := m.topic(gooseberrypass.TopicProcesses)
	var processes []Process
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[key]
		if r.Value == nil {
			continue
		}
		var p Process
		if err := json.Unmarshal(r.Value, &p); err != nil || p.Address == "" {
			m.logger.WithError(err).WithField("key", key).Warn("ignoring process record that cannot be decoded or has no address")
			continue
		}
		processes = append(processes, p)
	}
	return processes
}

var _ gooseberrypass.Controller = (*Materializer)(nil)
