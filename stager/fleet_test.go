package stager_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/archiver"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/stager"
)

// A keyedLog is the platform's log with the topic of manifests.
type keyedLog struct {
	gooseberrypass.KeyedLog

	failures int // calls that fail, from the next one on
	lost     int // writes that are carried out without an answer
	deletes  int
	puts     int
	reads    int
	values   map[string][]byte
}

var errLogDown = errors.New("down")

func (l *keyedLog) fail() error {
	if l.failures <= 0 {
		return nil
	}
	l.failures--
	return errLogDown
}

func (l *keyedLog) Newest(context.Context, gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	l.reads++
	if err := l.fail(); err != nil {
		return gooseberrypass.KeyedBatch{}, err
	}
	batch := gooseberrypass.KeyedBatch{Complete: true}
	for _, key := range l.keys() {
		batch.Records = append(batch.Records, gooseberrypass.KeyedRecord{Key: key, Value: l.values[key]})
	}
	return batch, nil
}

func (l *keyedLog) Put(_ context.Context, topic gooseberrypass.Topic, key string, value []byte) error {
	if topic != gooseberrypass.TopicManifests {
		return fmt.Errorf("put to topic %s", topic)
	}
	if value == nil {
		l.deletes++
	} else {
		l.puts++
	}
	if err := l.fail(); err != nil {
		return err
	}
	if l.values == nil {
		l.values = map[string][]byte{}
	}
	if l.values[key] = value; value == nil {
		delete(l.values, key)
	}
	if l.lost > 0 {
		l.lost--
		return errLogDown
	}
	return nil
}

func (l *keyedLog) keys() []string {
	keys := make([]string, 0, len(l.values))
	for key := range l.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// A watchedLog tells of the writes of one agent.
type watchedLog struct {
	*keyedLog
	onPut func()
}

func (l *watchedLog) Put(ctx context.Context, topic gooseberrypass.Topic, key string, value []byte) error {
	l.onPut()
	return l.keyedLog.Put(ctx, topic, key, value)
}

// restoredLog returns the event that a topic was read of a log that came back from an older copy.
func restoredLog() gooseberrypass.Event {
	return gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: gooseberrypass.NewOffset(1, 5)}, Topic: gooseberrypass.TopicOperator}
}

// archivedValue returns the record of a manifest of the origin with a number of chunks.
func archivedValue(t *testing.T, version, chunks int) []byte {
	t.Helper()
	all := make([]gooseberrypass.Chunk, 0, chunks)
	for i := range chunks {
		all = append(all, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(chunkBody(version, i)), Size: chunkSize})
	}
	m, err := gooseberrypass.NewManifest("m", strconv.Itoa(version), gooseberrypass.Digest{}, all)
	if err != nil {
		t.Fatal(err)
	}
	log := &keyedLog{}
	if err := newArchive(t, log).Put(t.Context(), "m", version, m); err != nil {
		t.Fatal(err)
	}
	return log.values[log.keys()[0]]
}

func newArchive(t *testing.T, log gooseberrypass.KeyedLog) *archiver.Archiver {
	t.Helper()
	a, err := archiver.New(log, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A fleet is several agents of a service, each beside an engine, that share a log and an origin.
type fleet struct {
	agents  []*fixture
	log     *keyedLog
	named   []materializer.Target
	offered map[*fixture]int // offers of manifests that were delivered
	origin  *origin
	started int64
	t       *testing.T
}

func newFleet(t *testing.T, agents int) *fleet {
	t.Helper()
	fl := &fleet{log: &keyedLog{}, offered: map[*fixture]int{}, origin: &origin{}, started: 1, t: t}
	for range agents {
		f := newFixture(t)
		f.archive, f.origin = newArchive(t, fl.log), fl.origin
		fl.agents = append(fl.agents, f)
	}
	processes := make([]materializer.Process, 0, agents)
	for i := range agents {
		processes = append(processes, materializer.Process{
			Address: "agent-" + strconv.Itoa(i), Endpoint: "engine-" + strconv.Itoa(i), ID: gooseberrypass.ID("agent-" + strconv.Itoa(i)), Role: gooseberrypass.RoleAgent, Service: "s",
		})
	}
	for i, f := range fl.agents {
		f.processes, f.self = processes, processes[i]
		fl.start(f)
	}
	return fl
}

// start starts an agent, which has nothing in memory.
func (fl *fleet) start(f *fixture) {
	chunks := cacher.New(1 << 20)
	f.pool, f.manifests = &pool{chunks: chunks}, stager.NewManifests(&http.Client{Transport: fl})
	f.stager = f.newStager(chunks, &relay{fleet: fl, chunks: chunks}, f.origin, fixtureSettings())
	f.nameVersions(fl.named...)
}

// losePower restarts all agents and engines. What is staged stays.
func (fl *fleet) losePower() {
	fl.started++
	for _, f := range fl.agents {
		f.engine.report = gooseberrypass.EngineReport{StartMillis: fl.started}
		f.engine.loaded, f.engine.orders = nil, nil
	}
	fl.restartAgents()
}

// restartAgents starts all agents anew beside their engines.
func (fl *fleet) restartAgents() {
	for _, f := range fl.agents {
		f.pool.chunks, f.manifests = cacher.New(1<<20), stager.NewManifests(&http.Client{Transport: fl})
	}
	for _, f := range fl.agents {
		fl.start(f)
	}
}

// name has the operator name a version.
func (fl *fleet) name(version int) {
	fl.named = append(fl.named, materializer.Target{Since: fl.agents[0].now, Version: version})
	for _, f := range fl.agents {
		f.nameVersions(fl.named...)
	}
}

// advance advances the time of all agents in ticks.
func (fl *fleet) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		for _, f := range fl.agents {
			f.advance(tick)
		}
		fl.deliverOffers()
	}
}

func (fl *fleet) deliverOffers() {
	for _, from := range fl.agents {
		offers := from.recorder.manifests[fl.offered[from]:]
		fl.offered[from] += len(offers)
		for _, to := range fl.agents {
			if to != from && len(offers) > 0 {
				to.handle(gossiper.Received{Message: gossiper.Message{Address: from.self.Address, From: from.self.ID, Manifests: offers, Role: gooseberrypass.RoleAgent}})
			}
		}
	}
}

// loaded returns how many engines have loaded a version since they started, and fails if one
// has loaded other bytes.
func (fl *fleet) loaded(version int) int {
	fl.t.Helper()
	n := 0
	for _, f := range fl.agents {
		if f.engine.loaded != nil && f.engine.report.Models["m"] == version {
			f.wantLoaded(fl.t, version)
			n++
		}
	}
	return n
}

// RoundTrip implements http.RoundTripper. It returns the manifests that agents have.
func (fl *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	i := slices.IndexFunc(fl.agents, func(f *fixture) bool { return f.self.Address == r.URL.Host })
	if i < 0 {
		return nil, errLogDown
	}
	mux := http.NewServeMux()
	mux.Handle(stager.ManifestPattern, fl.agents[i].manifests)
	ctx, cancel := context.WithCancel(r.Context())
	cancel() // the request does not wait for a manifest
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r.WithContext(ctx))
	return w.Result(), nil
}

// A relay is a fetcher that gets chunks from the other agents of a fleet, and from the origin
// unless that is gone.
type relay struct {
	chunks *cacher.Cacher
	fleet  *fleet
	wants  []fetcher.Want
}

func (*relay) Handle(time.Time, gooseberrypass.Event) []gooseberrypass.Effect { return nil }

func (r *relay) Progress(digest gooseberrypass.Digest) fetcher.Progress {
	for _, w := range r.wants {
		if w.Digest != digest {
			continue
		}
		encoded, err := r.chunks.Chunk(digest)
		if err != nil {
			return fetcher.Progress{Err: err.Error()}
		}
		m, _ := gooseberrypass.ParseManifest(encoded)
		progress := fetcher.Progress{Manifest: m, Total: m.Len()}
		for i := range m.Len() {
			if r.fetch(w.Version, i, m.Chunk(i).Digest) {
				progress.Held++
			}
		}
		return progress
	}
	return fetcher.Progress{}
}

func (r *relay) fetch(version string, index int, digest gooseberrypass.Digest) bool {
	if r.chunks.Has(digest) {
		return true
	}
	for _, f := range r.fleet.agents {
		if body, err := f.pool.chunks.Chunk(digest); err == nil {
			return r.chunks.Put(digest, body) == nil
		}
	}
	n, _ := strconv.Atoi(version)
	return !r.fleet.origin.gone && r.chunks.Put(digest, chunkBody(n, index)) == nil
}

func (r *relay) SetWants(_ time.Time, wants []fetcher.Want) []gooseberrypass.Effect {
	r.wants = wants
	return nil
}

var (
	_ gooseberrypass.KeyedLog = (*keyedLog)(nil)
	_ http.RoundTripper       = (*fleet)(nil)
	_ stager.Fetcher          = (*relay)(nil)
)
