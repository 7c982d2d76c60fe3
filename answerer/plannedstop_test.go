package answerer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Generations in progress at the end of the grace period of a stop were cut without an
// answer.
func TestGenerationsThatAStopEndsAreAnswered(t *testing.T) {
	for _, request := range []string{`{"model":"jingle","prompt":"go"}`, `{"model":"jingle","prompt":"go","stream":true}`} {
		t.Run(request, func(t *testing.T) {
			stop, expire := context.WithCancel(t.Context())
			release := make(chan struct{})
			agent := &fakeAgent{generate: generateScript("one two", func(int) {
				expire()
				<-release
			})}
			_, url := startStoppingEntry(t, stop, newLog(), members{startAgent(t, "writer-1", agent)})
			t.Cleanup(func() { close(release) })
			r, err := http.NewRequest(http.MethodPost, url+"/v1/generate", strings.NewReader(request))
			if err != nil {
				t.Fatal(err)
			}
			r.Header = http.Header{"Content-Type": {"application/json"}, "Client-Account": {"radio"}, "Client-Key": {"secret"}}
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			if want := `"outcome":"unknown"`; err != nil || !strings.Contains(string(body), want) {
				t.Errorf("got %q, %v, want a whole answer with %s", body, err, want)
			}
		})
	}
}
