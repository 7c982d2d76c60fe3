// Package materializer materializes the keyed topics into a state: the deployment
// in force, the endpoints, the wanted model versions and the processes of the
// system.
package materializer

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Log fields.
const (
	fieldKey    = "key"
	fieldOffset = "offset"
	fieldTopic  = "topic"
)

// A Decoder decodes the records of the keyed topics.
type Decoder interface {
	Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error)
	Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error)
	Evacuation(r gooseberrypass.KeyedRecord) (gooseberrypass.FailureDomain, bool)
	Revision(topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord) gooseberrypass.Revision
	Target(r gooseberrypass.KeyedRecord) (gooseberrypass.ModelTarget, bool, error)
}

// A Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	Deployment *gooseberrypass.Deployment // nil before the first one
	Endpoints  []gooseberrypass.Endpoint
	Evacuated  map[gooseberrypass.FailureDomain]struct{} // failure domains whose endpoints get no requests
	Processes  []Process
	Released   map[gooseberrypass.FailureDomain]time.Time // end of the last evacuation of each failure domain, as first known to any process
	Targets    map[string]Targets                         // by model
}

// Changed is the event that a new snapshot is in force.
type Changed struct {
	Snapshot *Snapshot
}

// EventName implements gooseberrypass.Event.
func (Changed) EventName() string { return "survey-changed" }

// Settings configure a Materializer.
type Settings struct {
	AssumedAge time.Duration // assumed age, at the start of the process, of versions that were named before it
	Exemption  time.Duration // time after an outage of its reads for which the process is exempt from the bounds
	Lease      time.Duration // time after which the log drops the record of an endpoint that no longer renews it
	MaxListAge time.Duration // age of the last read of the endpoint list up to which a process counts as able to read
	Retention  time.Duration // time after an outage for which endpoints removed during it are retained
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
	blind       bool                  // the last event about the operator's topic may tell of versions named at any time before the start
	cached      cachedDeployment
	decoder     Decoder
	endpoints   map[string]gooseberrypass.Endpoint // by key
	followsFrom time.Time                          // from when on the process learns of each naming as it happens, zero before; see recordKnown
	hasRead     bool                               // this process has read the operator's topic from the log itself
	ignored     *ignoredRecords
	listeners   []gooseberrypass.Controller
	logger      logrus.FieldLogger
	renewed     []gooseberrypass.Endpoint                                      // endpoints whose records were renewed since the last event about them
	offsets     atomic.Pointer[map[gooseberrypass.Topic]gooseberrypass.Offset] // next offset of each topic
	named       []gooseberrypass.AgedTarget                                    // versions in records that were read or pulled since the last snapshot
	namedBefore map[string]bool                                                // models of which versions were named before the process knew the operator's topic
	reported    []gooseberrypass.AgedTarget                                    // versions that another process knows, to be added at the next snapshot
	outage      outage
	overdueFrom time.Time            // start of the time in which versions may have been named that the last read did not show, zero for none
	retained    map[string]time.Time // endpoints removed during an outage and the end of their retention, by key
	settings    Settings
	snapshot    atomic.Pointer[Snapshot]
	startedAt   time.Time // first event
	topics      map[gooseberrypass.Topic]*topicRecords
}

// New returns a materializer that passes Changed events to listeners.
func New(decoder Decoder, settings Settings, logger logrus.FieldLogger, listeners ...gooseberrypass.Controller) *Materializer {
	m := &Materializer{
		decoder:     decoder,
		endpoints:   map[string]gooseberrypass.Endpoint{},
		ignored:     newIgnoredRecords(logger),
		retained:    map[string]time.Time{},
		logger:      logger,
		listeners:   listeners,
		namedBefore: map[string]bool{},
		settings:    settings,
		topics:      map[gooseberrypass.Topic]*topicRecords{},
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

// RecordsFrom returns the records of a topic from an offset on, with those of a restored log
// that this process does not use. If deletions after that offset may be unknown here, it
// returns the records of all keys. It must be called on the control goroutine.
func (m *Materializer) RecordsFrom(topic gooseberrypass.Topic, from gooseberrypass.Offset) Extract {
	t := m.topic(topic)
	extract := Extract{Complete: from < t.complete}
	for _, r := range t.records {
		if r.Offset >= from || extract.Complete {
			extract.Records = append(extract.Records, r)
		}
	}
	for _, o := range t.outranked {
		if o.record.Value != nil && (o.record.Offset >= from || extract.Complete) {
			extract.Records = append(extract.Records, o.record)
		}
	}
	slices.SortFunc(extract.Records, func(a, b gooseberrypass.KeyedRecord) int { return int(int64(a.Offset) - int64(b.Offset)) })
	for _, r := range extract.Records {
		extract.Since = append(extract.Since, t.knownSince[r.Key])
	}
	return extract
}

// Handle implements gooseberrypass.Controller.
func (m *Materializer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	before := m.Snapshot()
	effects := m.handle(now, event)
	if e, ok := event.(gooseberrypass.TopicChanged); ok {
		m.logBounds(now, before, e)
	}
	return effects
}

func (m *Materializer) handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed := false
	switch e := event.(type) {
	case gooseberrypass.TopicChanged:
		changed = m.merge(now, e)
	case gooseberrypass.TopicRead:
		m.recordOutage(now, e)
	case gooseberrypass.Tick:
		m.ignored.prune(now)
		changed = m.expire(now)
		changed = m.releaseRestored(now) || changed
	}
	if !changed {
		return m.publishRenewals(now)
	}
	return m.publish(now)
}

// applyRecord applies a new record and reports whether the snapshot changes.
func (m *Materializer) applyRecord(now time.Time, topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord, retention time.Duration) bool {
	if topic == gooseberrypass.TopicProcesses {
		return true
	}
	if topic == gooseberrypass.TopicOperator {
		m.logger.WithFields(logrus.Fields{fieldKey: r.Key, fieldOffset: r.Offset.Index(), fieldTopic: topic, "bytes": len(r.Value)}).Info("operator record received")
		return true
	}
	held, known := m.endpoints[r.Key]
	if r.Value == nil {
		m.ignored.end(topic, r.Key)
		return known && m.removeEndpoint(now, r.Key, held, retention)
	}
	endpoint, err := m.decoder.Endpoint(r)
	if err != nil {
		m.ignored.add(now, topic, r, err)
		r.Value = []byte{} // of no use to any process, and too large for a pull if there are many
		m.topic(topic).records[r.Key] = r
		delete(m.retained, r.Key)
		return known && m.removeEndpoint(now, r.Key, held, 0)
	}
	m.ignored.end(topic, r.Key)
	delete(m.retained, r.Key)
	endpoint.ReportedAt = m.topic(topic).knownSince[r.Key]
	m.endpoints[r.Key] = endpoint
	if known && equalEndpoints(held, endpoint) {
		m.renewed = append(m.renewed, endpoint)
		return false
	}
	m.logger.WithFields(logrus.Fields{
		"address": endpoint.Address, "endpoint": endpoint.ID, "leaving": endpoint.Leaving, "models": endpoint.Models, fieldOffset: r.Offset.Index(), "service": endpoint.Service,
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
// way. The time for which it stays cold does not count: each renewal of the record of a cold
// endpoint names another one.
func equalEndpoints(a, b gooseberrypass.Endpoint) bool {
	return a.Address == b.Address && a.Lapsed == b.Lapsed && a.Leaving == b.Leaving && a.Service == b.Service && a.Slots == b.Slots && a.StartMillis == b.StartMillis &&
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
	snapshot := &Snapshot{
		Deployment: old.Deployment, Evacuated: map[gooseberrypass.FailureDomain]struct{}{}, Released: map[gooseberrypass.FailureDomain]time.Time{}, Targets: maps.Clone(old.Targets),
	}
	m.updateTargets(now, snapshot)
	m.renewed = nil
	t := m.topic(gooseberrypass.TopicOperator)
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		m.decodeOperatorRecord(now, snapshot, t, t.records[key])
	}
	for _, key := range slices.Sorted(maps.Keys(m.endpoints)) {
		snapshot.Endpoints = append(snapshot.Endpoints, m.endpoints[key])
	}
	snapshot.Processes = m.processes(now)
	m.snapshot.Store(snapshot)
	effects := make([]gooseberrypass.Effect, 0, len(m.listeners))
	for _, c := range m.listeners {
		effects = append(effects, c.Handle(now, Changed{Snapshot: snapshot})...)
	}
	return effects
}

// decodeOperatorRecord adds the deployment or evacuation of an operator record to a snapshot.
func (m *Materializer) decodeOperatorRecord(now time.Time, snapshot *Snapshot, t *topicRecords, r gooseberrypass.KeyedRecord) {
	const topic = gooseberrypass.TopicOperator
	if domain, ok := m.decoder.Evacuation(r); ok {
		snapshot.addEvacuation(domain, r, t.knownSince[r.Key])
		return
	}
	if m.ignored.has(topic, r) {
		return
	}
	_, ok, err := m.decoder.Target(r)
	if err != nil {
		m.ignored.add(now, topic, r, err)
		return
	}
	if ok {
		m.ignored.end(topic, r.Key)
		m.agentOffset = max(m.agentOffset, r.Offset+1)
		return
	}
	if m.cached.record.Value != nil && m.cached.record.Key == r.Key && m.cached.record.Offset == r.Offset {
		snapshot.Deployment = m.cached.deployment
		return
	}
	d, err := m.decoder.Deployment(r)
	if err != nil {
		m.ignored.add(now, topic, r, err)
		return
	}
	m.ignored.end(topic, r.Key)
	if d != nil {
		if !d.SameEngines(m.cached.deployment) {
			m.agentOffset = max(m.agentOffset, r.Offset+1)
		}
		m.cached = cachedDeployment{deployment: d, record: r}
		snapshot.Deployment = d
	}
}

var _ gooseberrypass.Controller = (*Materializer)(nil)
