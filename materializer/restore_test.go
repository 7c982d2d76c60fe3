package materializer_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

const lease = 4 * time.Second

func newRestoredMaterializer() *materializer.Materializer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return materializer.New(textDecoder{}, materializer.Settings{Exemption: exemption, Lease: lease, MaxListAge: maxListAge, Retention: retention}, log)
}

// restored returns the read of every key after a restore.
func restored(topic gooseberrypass.Topic, next uint64, records ...gooseberrypass.KeyedRecord) gooseberrypass.TopicChanged {
	for i := range records {
		records[i].Offset = gooseberrypass.NewOffset(1, uint64(records[i].Offset))
	}
	return gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Complete: true, Next: gooseberrypass.NewOffset(1, next), Records: records}, Topic: topic}
}

func assertEndpoints(t *testing.T, m *materializer.Materializer, want string) {
	t.Helper()
	if got := endpointIDs(m); got != want {
		t.Errorf("endpoints: got %q, want %q", got, want)
	}
}

// Endpoints whose registration the log lost were dropped although they run. They register
// again soon; one that does not is gone.
func TestEndpointThatARestoredLogLacksIsRetained(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0), record("b", "up#1", 1), record("c", "up#1", 2)))
	m.Handle(startTime, gooseberrypass.TopicRead{Topic: gooseberrypass.TopicEndpoints})
	m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 1, record("a", "up#1", 0)))
	assertEndpoints(t, m, "a b c")
	m.Handle(startTime.Add(time.Second), changed(gooseberrypass.TopicEndpoints, record("b", "up#5", gooseberrypass.NewOffset(1, 1))))
	m.Handle(startTime.Add(retention+time.Second), gooseberrypass.Tick{})
	assertEndpoints(t, m, "a b")
}

// An endpoint that had left was in use again, because the copy still had its record.
func TestEndpointThatLeftBeforeARestoreStaysAway(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0), record("b", "up#1", 1), record("a", "", 2)))
	m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 2, record("a", "up#1", 0), record("b", "up#1", 1)))
	assertEndpoints(t, m, "b")
	m.Handle(startTime.Add(lease/2), changed(gooseberrypass.TopicEndpoints, record("a", "", gooseberrypass.NewOffset(1, 2))))
	m.Handle(startTime.Add(2*lease), gooseberrypass.Tick{})
	assertEndpoints(t, m, "b")
}

// The same endpoint runs again if its record does not expire, or is written anew.
func TestEndpointThatRenewsItsRecordAfterARestoreIsUsed(t *testing.T) {
	for name, play := range map[string]func(m *materializer.Materializer){
		"not expired": func(m *materializer.Materializer) { m.Handle(startTime.Add(lease), gooseberrypass.Tick{}) },
		"written anew": func(m *materializer.Materializer) {
			m.Handle(startTime.Add(time.Second), changed(gooseberrypass.TopicEndpoints, record("a", "up#9", gooseberrypass.NewOffset(1, 1))))
		},
	} {
		m := newRestoredMaterializer()
		m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0), record("a", "", 1)))
		m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 1, record("a", "up#1", 0)))
		assertEndpoints(t, m, "")
		play(m)
		if got := endpointIDs(m); got != "a" {
			t.Errorf("%s: endpoints: got %q, want the one that renews its record", name, got)
		}
	}
}

// A version that the operator names again after a restore keeps its bound.
func TestVersionNamedAgainAfterARestoreKeepsItsTime(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("version", "7#7", 0)))
	m.Handle(startTime.Add(3*time.Second), restored(gooseberrypass.TopicOperator, 1, record("version", "7#7", 0)))
	newest, ok := m.Snapshot().Targets["m"].Newest()
	if !ok || !newest.Since.Equal(startTime) {
		t.Errorf("version since %s, want %s", newest.Since, startTime)
	}
}

// A message or an answer from before a restore comes late.
func TestRecordsFromBeforeARestoreChangeNothing(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, restored(gooseberrypass.TopicOperator, 1, record("config", "long#3", 0)))
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "longer#2", 8)))
	if got, want := m.Deployment().Version(), int64(len("long#3")); got != want {
		t.Errorf("configuration: got %d, want %d", got, want)
	}
	if got, want := m.NextOffset(gooseberrypass.TopicOperator), gooseberrypass.NewOffset(1, 1); got != want {
		t.Errorf("next offset: got %s, want %s", got, want)
	}
}

// An endpoint whose record the copy lacks writes it again as it was.
func TestEndpointThatWritesItsLostRecordAgainIsUsed(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0)))
	m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 0))
	m.Handle(startTime.Add(time.Second), changed(gooseberrypass.TopicEndpoints, record("a", "up#1", gooseberrypass.NewOffset(1, 0))))
	m.Handle(startTime.Add(2*retention), gooseberrypass.Tick{})
	assertEndpoints(t, m, "a")
}

// A record that a process does not use yet is passed on, as the next one decides for itself
// when it does.
func TestRecordThatIsNotUsedIsPassedOn(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0), record("a", "", 1)))
	m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 1, record("a", "up#1", 0)))
	want := gooseberrypass.NewOffset(1, 0)
	got := m.RecordsFrom(gooseberrypass.TopicEndpoints, want).Records
	if !slices.ContainsFunc(got, func(r gooseberrypass.KeyedRecord) bool { return r.Offset == want && r.Value != nil }) {
		t.Errorf("got %+v, want the record of the restored log among them", got)
	}
}

// The read of every key kept a record that is not used yet although it had expired, so that
// the endpoint was in use again after the time of a lease.
func TestRecordThatIsNotUsedAndExpiresStaysAway(t *testing.T) {
	for name, known := range map[string]gooseberrypass.KeyedRecord{
		"endpoint had left":          record("a", "", 1),
		"endpoint had started again": record("a", "up#2", 1),
	} {
		m := newRestoredMaterializer()
		m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up#1", 0), known))
		m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 1, record("a", "up#1", 0)))
		m.Handle(startTime.Add(lease/2), restored(gooseberrypass.TopicEndpoints, 2))
		m.Handle(startTime.Add(2*lease), gooseberrypass.Tick{})
		if got := endpointIDs(m); got != "" {
			t.Errorf("%s: endpoints: got %q, want none", name, got)
		}
		if m.Outranks(gooseberrypass.TopicEndpoints) {
			t.Errorf("%s: outranks the log, want nothing held back", name)
		}
	}
}

// A read of every key from before a record was written says nothing about it.
func TestRecordThatIsNotUsedOutlivesAnOlderRead(t *testing.T) {
	m := newRestoredMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("b", "up#1", 0), record("a", "", 1)))
	m.Handle(startTime, restored(gooseberrypass.TopicEndpoints, 2, record("b", "up#1", 0), record("a", "up#1", 1)))
	m.Handle(startTime.Add(lease/2), restored(gooseberrypass.TopicEndpoints, 1, record("b", "up#1", 0)))
	m.Handle(startTime.Add(2*lease), gooseberrypass.Tick{})
	assertEndpoints(t, m, "a b")
}
