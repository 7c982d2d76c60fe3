package materializer_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A textDecoder decodes test records: "config" is a deployment whose version is
// the length of the value, "version" a target with the value as its number, and
// any other key an endpoint. The value "?" cannot be decoded.
type textDecoder struct{}

func (textDecoder) Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error) {
	if r.Key != "config" {
		return nil, nil
	}
	return gooseberrypass.NewDeployment(int64(len(r.Value)), nil, nil, nil, gooseberrypass.CallerLimits{}), nil
}

func (textDecoder) Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error) {
	text := string(r.Value)
	if text == "?" {
		return gooseberrypass.Endpoint{}, errors.New("unreadable")
	}
	return gooseberrypass.Endpoint{ID: gooseberrypass.ID(r.Key), Leaving: strings.HasSuffix(text, "leaving"), Service: "s"}, nil
}

func (textDecoder) Evacuation(r gooseberrypass.KeyedRecord) (gooseberrypass.FailureDomain, bool) {
	domain, ok := strings.CutPrefix(r.Key, "away/")
	return gooseberrypass.FailureDomain(domain), ok
}

func (textDecoder) Target(r gooseberrypass.KeyedRecord) (gooseberrypass.ModelTarget, bool, error) {
	if r.Key != "version" {
		return gooseberrypass.ModelTarget{}, false, nil
	}
	return gooseberrypass.ModelTarget{Model: "m", Version: int(r.Value[0] - '0')}, true, nil
}

// Revision returns the number after a "#".
func (textDecoder) Revision(_ gooseberrypass.Topic, r gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	_, text, ok := strings.Cut(string(r.Value), "#")
	if !ok {
		return gooseberrypass.Revision{}
	}
	n, _ := strconv.Atoi(text) // 0 is unknown
	return gooseberrypass.Revision{Number: int64(n)}
}

const (
	assumedAge = 5 * time.Second
	exemption  = 7 * time.Second
	maxListAge = time.Second
	retention  = 2 * time.Second
)

//nolint:gochecknoglobals // a constant time
var startTime = time.Unix(1000, 0)

func newMaterializer() *materializer.Materializer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return materializer.New(textDecoder{}, materializer.Settings{AssumedAge: assumedAge, Exemption: exemption, MaxListAge: maxListAge, Retention: retention}, log)
}

func record(key, value string, offset gooseberrypass.Offset) gooseberrypass.KeyedRecord {
	r := gooseberrypass.KeyedRecord{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func changed(topic gooseberrypass.Topic, records ...gooseberrypass.KeyedRecord) gooseberrypass.TopicChanged {
	next := gooseberrypass.Offset(0)
	for _, r := range records {
		next = max(next, r.Offset+1)
	}
	return gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: next, Records: records}, Topic: topic}
}

func endpointIDs(m *materializer.Materializer) string {
	ids := make([]string, 0, len(m.Snapshot().Endpoints))
	for _, e := range m.Snapshot().Endpoints {
		ids = append(ids, string(e.ID))
	}
	return strings.Join(ids, " ")
}

func TestOlderVersionKeepsItsBound(t *testing.T) {
	m := newMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("version", "2", 1)))
	m.Handle(startTime.Add(3*time.Second), changed(gooseberrypass.TopicOperator, record("version", "3", 2)))
	targets := m.Snapshot().Targets["m"]
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{7 * time.Second, 0}, {8 * time.Second, 2}, {10 * time.Second, 2}, {11 * time.Second, 3}} {
		if got := targets.Required(startTime.Add(tc.after), 8*time.Second); got != tc.want {
			t.Errorf("required after %s: got %d, want %d", tc.after, got, tc.want)
		}
	}
	if got, _ := targets.Newest(); got.Version != 3 {
		t.Errorf("newest: got %d, want 3", got.Version)
	}
}

func TestRecordsFromAnotherProcessKeepTheirAges(t *testing.T) {
	m := newMaterializer()
	e := changed(gooseberrypass.TopicOperator, record("version", "3", 1), record("config", "xx", 9))
	e.Ages = []time.Duration{6 * time.Second, 0}
	m.Handle(startTime, e)
	got, _ := m.Snapshot().Targets["m"].Newest()
	if want := startTime.Add(-6 * time.Second); !got.Since.Equal(want) {
		t.Errorf("since: got %s, want %s", got.Since, want)
	}
}

func TestVersionFoundAtStartIsTakenForOld(t *testing.T) {
	m := newMaterializer()
	e := changed(gooseberrypass.TopicOperator, record("version", "3", 1))
	e.FirstRead = true
	m.Handle(startTime, e)
	got, _ := m.Snapshot().Targets["m"].Newest()
	if want := startTime.Add(-assumedAge); !got.Since.Equal(want) {
		t.Errorf("since: got %s, want %s", got.Since, want)
	}
}

func TestEndpointsThatLapseInAnOutage(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1), record("b", "up", 2), record("c", "up leaving", 3)))
	m.Handle(startTime, gooseberrypass.TopicRead{Err: errors.New("down"), Topic: topic})
	back := startTime.Add(4 * time.Second)
	m.Handle(back, changed(topic, record("a", "", 4), record("b", "", 5), record("c", "", 6)))
	m.Handle(back, gooseberrypass.TopicRead{Topic: topic})
	if got, want := endpointIDs(m), "a b"; got != want {
		t.Errorf("after the store is available again: got %q, want %q", got, want)
	}
	m.Handle(back.Add(time.Second), changed(topic, record("a", "up", 7)))
	m.Handle(back.Add(retention+time.Millisecond), gooseberrypass.Tick{})
	if got, want := endpointIDs(m), "a"; got != want {
		t.Errorf("after the retention: got %q, want %q", got, want)
	}
}

func TestEndpointGoneWithoutOutageIsDroppedAtOnce(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1)))
	m.Handle(startTime, gooseberrypass.TopicRead{Topic: topic})
	m.Handle(startTime.Add(time.Second), changed(topic, record("a", "", 2)))
	if got := endpointIDs(m); got != "" {
		t.Errorf("endpoints: got %q, want none", got)
	}
}

func TestEndpointThatLeavesAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1), record("b", "up", 2)))
	m.Handle(startTime, gooseberrypass.TopicRead{Err: errors.New("cut off"), Topic: topic})
	received := changed(topic, record("b", "", 3))
	received.Ages = []time.Duration{0}
	m.Handle(startTime.Add(time.Second), received) // from a process to which the store is available
	if got, want := endpointIDs(m), "a"; got != want {
		t.Errorf("in the outage: got %q, want %q", got, want)
	}
	back := startTime.Add(4 * time.Second)
	m.Handle(back, gooseberrypass.TopicRead{Topic: topic})
	m.Handle(back.Add(time.Second), changed(topic, record("a", "", 4)))
	if got := endpointIDs(m); got != "" {
		t.Errorf("after the outage: got %q, want none", got)
	}
}

// The newest record of an endpoint must decide, also if it names none: the endpoint that an
// older one named may be gone.
func TestUnreadableRecordNamesNoEndpoint(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1), record("b", "up", 2)))
	for _, step := range []struct {
		batch gooseberrypass.TopicChanged
		want  string
	}{
		{changed(topic, record("x", "?", 3)), "a b"},
		{changed(topic, record("a", "?", 4)), "b"},
		{changed(topic, record("a", "?", 5), record("x", "up", 6)), "b x"},
		{changed(topic, record("a", "up", 7), record("x", "", 8)), "a b"},
	} {
		m.Handle(startTime, step.batch)
		if got := endpointIDs(m); got != step.want {
			t.Errorf("endpoints after offset %s: got %q, want %q", step.batch.Batch.Next, got, step.want)
		}
	}
}

// An endpoint that is retained after an outage must not stay for longer than until its
// record is overwritten.
func TestUnreadableRecordEndsARetention(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1), record("b", "up", 2)))
	down := errors.New("down")
	m.Handle(startTime, gooseberrypass.TopicRead{Err: down, Topic: topic})
	m.Handle(startTime, changed(topic, record("a", "", 3), record("b", "", 4)))
	if got, want := endpointIDs(m), "a b"; got != want {
		t.Fatalf("retained: got %q, want %q", got, want)
	}
	m.Handle(startTime, changed(topic, record("a", "?", 5)))
	if got, want := endpointIDs(m), "b"; got != want {
		t.Errorf("endpoints: got %q, want %q", got, want)
	}
}

func TestWholeReadDropsKeysThatAreGone(t *testing.T) {
	topic := gooseberrypass.TopicEndpoints
	m := newMaterializer()
	m.Handle(startTime, changed(topic, record("a", "up", 1), record("b", "up", 2), record("c", "up", 9)))
	e := changed(topic, record("a", "up", 5))
	e.Batch.Complete = true // complete up to an offset before c was written
	m.Handle(startTime, e)
	if got, want := endpointIDs(m), "a c"; got != want {
		t.Errorf("endpoints: got %q, want %q", got, want)
	}
}

func TestNeverGoesBack(t *testing.T) {
	m := newMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "xxxx", 8)))
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "x", 7)))
	if got, want := m.Deployment().Version(), int64(4); got != want {
		t.Errorf("deployment: got %d, want %d", got, want)
	}
}

// An endpoint whose record was removed during an outage may still be running. A
// process that learns of the removal from one that retains the endpoint must
// retain it too.
func TestEndpointThatAnotherProcessKeepsIsKept(t *testing.T) {
	m := newMaterializer()
	m.Handle(startTime, gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{
		record("kept", "ready", 0), record("gone", "ready", 1),
	}}, Topic: gooseberrypass.TopicEndpoints})
	m.Handle(startTime, gooseberrypass.TopicChanged{
		Ages:     []time.Duration{0, 0},
		Batch:    gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{record("kept", "", 2), record("gone", "", 3)}},
		Retained: map[string]time.Duration{"kept": retention}, Topic: gooseberrypass.TopicEndpoints,
	})
	if got := m.Snapshot().Endpoints; len(got) != 1 || got[0].ID != "kept" {
		t.Errorf("endpoints: got %v, want the retained one", got)
	}
	m.Handle(startTime.Add(retention), gooseberrypass.Tick{})
	if got := m.Snapshot().Endpoints; len(got) != 0 {
		t.Errorf("endpoints after the retention: got %v, want none", got)
	}
}
