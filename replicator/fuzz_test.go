package replicator_test

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// A bodyTransport answers each request with the same body.
type bodyTransport []byte

func (b bodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(bytes.NewReader(b)), Header: http.Header{}, Request: r, StatusCode: http.StatusOK}, nil
}

// pullBody makes an agent pull body, and returns the agent and the event of the records.
func pullBody(t *testing.T, body []byte) (*process, *gooseberrypass.TopicChanged) {
	t.Helper()
	p := newProcessVia(&http.Client{Transport: bodyTransport(body)}, "", "a", gooseberrypass.RoleAgent, nil, replicator.Settings{PullTimeout: time.Minute})
	for _, pull := range p.replicator.Handle(now, messageFromAhead("peer")) {
		for _, effect := range p.replicator.Handle(now, pull.Run(context.Background())) {
			if e, ok := effect.Run(context.Background()).(gooseberrypass.TopicChanged); ok {
				return p, &e
			}
		}
	}
	return p, nil
}

// realPull returns the response of a process with records to a pull.
func realPull(tb testing.TB) []byte {
	tb.Helper()
	p := newProcess("b", gooseberrypass.RoleEntry)
	p.handle(configChanged())
	p.handle(operatorRecord("version", nextOffset))
	p.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{
		Next: nextOffset + 2, Records: []gooseberrypass.KeyedRecord{{Key: "dropped", Offset: nextOffset + 1}},
	}, Topic: gooseberrypass.TopicOperator})
	w := httptest.NewRecorder()
	servePull(p, w, "operator", "from=0")
	return w.Body.Bytes()
}

// servePull answers a pull by the handler of p.
func servePull(p *process, w http.ResponseWriter, topic, query string) {
	r := httptest.NewRequest(http.MethodGet, "/topics/x", http.NoBody)
	r.URL.RawQuery = query
	r.SetPathValue("topic", topic)
	replicator.NewHandler(p.handle).ServeHTTP(w, r)
}

// An oddDocument is a document that no process sends.
type oddDocument struct {
	document document
	name     string
	refused  bool // as a whole
}

func oddDocuments() []oddDocument {
	record := func(age time.Duration, next, offset gooseberrypass.Offset) document {
		return document{Next: next, Records: []agedRecord{{Age: age, Record: gooseberrypass.KeyedRecord{Key: "config", Offset: offset, Value: []byte("c")}}}}
	}
	target := func(age time.Duration, version int) document {
		return document{Next: nextOffset, Targets: []gooseberrypass.AgedTarget{{Age: age, Model: "m", Observed: true, Version: version}}}
	}
	return []oddDocument{
		{name: "offset after the end", document: record(0, nextOffset, math.MaxUint64), refused: true},
		{name: "offset at the end", document: record(0, nextOffset, nextOffset), refused: true},
		{name: "record without an end", document: record(0, 0, configOffset), refused: true},
		{name: "version out of range", document: target(0, math.MaxInt32+1)},
		{name: "negative version", document: target(0, -1)},
		{name: "negative age of a record", document: record(-time.Hour, nextOffset, configOffset)},
		{name: "least age of a record", document: record(math.MinInt64, nextOffset, configOffset)},
		{name: "greatest age of a record", document: record(math.MaxInt64, nextOffset, configOffset)},
		{name: "negative age of a version", document: target(-time.Hour, 1)},
		{name: "greatest age of a version", document: target(math.MaxInt64, 1)},
	}
}

// checkPulled reports what records and versions must not have.
func checkPulled(t *testing.T, e *gooseberrypass.TopicChanged) {
	t.Helper()
	if len(e.Ages) != len(e.Batch.Records) {
		t.Errorf("got %d ages of %d records", len(e.Ages), len(e.Batch.Records))
	}
	for i, r := range e.Batch.Records {
		if r.Offset >= e.Batch.Next || e.Ages[i] < 0 {
			t.Errorf("got offset %d before %d, age %s", r.Offset, e.Batch.Next, e.Ages[i])
		}
	}
	for _, a := range e.Targets {
		if a.Age < 0 || a.Version <= 0 || a.Version > math.MaxInt32 {
			t.Errorf("got version %+v", a)
		}
	}
}

// A record with an offset after all others would never be replaced, and a negative age
// would extend the time for which older versions may be used.
func TestOddNumbersOfAPullDoNoHarm(t *testing.T) {
	for _, tt := range oddDocuments() {
		t.Run(tt.name, func(t *testing.T) {
			p, e := pullBody(t, encode(t, tt.document))
			if got := e == nil; got != tt.refused {
				t.Fatalf("refused: got %t, want %t", got, tt.refused)
			}
			if e != nil {
				checkPulled(t, e)
				p.handle(*e)
			}
		})
	}
}

// A response to a pull may hold anything. What is taken over can be passed on.
func FuzzPulledRecords(f *testing.F) {
	sound := realPull(f)
	f.Add(sound)
	f.Add(sound[:len(sound)/2])
	f.Add([]byte{})
	f.Add(encode(f, []string{"a"}))
	for _, d := range oddDocuments() {
		f.Add(encode(f, d.document))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, e := pullBody(t, body)
		if e == nil {
			return
		}
		checkPulled(t, e)
		p.handle(*e)
		servePull(p, httptest.NewRecorder(), string(gooseberrypass.TopicOperator), "from=0")
	})
}

// FuzzPullRequest sends pulls with any topic and offset. Each is answered, and what is
// answered can be read by another process.
func FuzzPullRequest(f *testing.F) {
	f.Add("operator", "from=0")
	f.Add("endpoints", "from=18446744073709551615")
	f.Add("operator", "from=-1")
	f.Add("operator", "from=1&from=2;x")
	f.Add("no-topic\x00", "from=%zz")
	f.Fuzz(func(t *testing.T, topic, query string) {
		p := newProcess("b", gooseberrypass.RoleEntry)
		p.handle(configChanged())
		w := httptest.NewRecorder()
		servePull(p, w, topic, query)
		values, _ := url.ParseQuery(query)
		if w.Code != http.StatusOK {
			return
		}
		if _, e := pullBody(t, w.Body.Bytes()); e == nil || topic == string(gooseberrypass.TopicOperator) && values.Get("from") == "0" && len(e.Batch.Records) != 1 {
			t.Errorf("topic %q, %q: got %+v", topic, query, e)
		}
	})
}
