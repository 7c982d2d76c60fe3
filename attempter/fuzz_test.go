package attempter_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// FuzzAttempt sends request bodies that are invalid or not attempts at all. Each
// must get a response, and only a valid attempt may run.
func FuzzAttempt(f *testing.F) {
	valid := attemptOf("a-1")
	for _, change := range []func(m *wire.Attempt){
		func(*wire.Attempt) {},
		func(m *wire.Attempt) { m.DeadlineMs = -1 },
		func(m *wire.Attempt) { m.From = 64 },
		func(m *wire.Attempt) { m.MaxTokens = 1 << 40 },
		func(m *wire.Attempt) { m.Priority = 10 },
		func(m *wire.Attempt) { m.RequestDigest = nil },
		func(m *wire.Attempt) { m.WeightsDigest = []byte("short") },
	} {
		m := proto.CloneOf(valid)
		change(m)
		body, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte("not an attempt"))
	f.Fuzz(func(t *testing.T, body []byte) {
		e := newFakeEngine(1, digestOf("v1"))
		e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
			return replay([]gooseberrypass.Token{{AttemptID: o.AttemptID, Digest: o.Digest, Index: o.From, Last: true}}, io.EOF), nil
		}
		a := newEngineAgent(t, e)
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/attempts", bytes.NewReader(body)))
		got := &answer{body: io.NopCloser(w.Body), reader: newReader(w.Body)}
		for w.Code == http.StatusOK && got.next() {
			continue
		}
		var m wire.Attempt
		valid := proto.Unmarshal(body, &m) == nil && len(m.GetRequestDigest()) == gooseberrypass.DigestSize &&
			m.GetDeadlineMs() > 0 && m.GetDeadlineMs() <= attempter.MaxDeadline.Milliseconds() &&
			m.GetMaxTokens() <= attempter.MaxTokens && m.GetFrom() >= 0 && m.GetFrom() < m.GetMaxTokens()
		if len(e.runs) > 0 && !valid {
			t.Errorf("got a run of %v", &m)
		}
		if w.Code == http.StatusOK && !got.complete() && got.failed.GetOutcome() == "" {
			t.Errorf("got neither a complete answer nor a typed failure for %v", &m)
		}
	})
}
