package emulator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// do sends a request to a handler and returns the status and the body.
func do(handler http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	service := emulator.NewPlainService(clockwork.NewFakeClock(), 0)
	want := emulator.Faults{AnswersLost: 2, Delay: 1500 * time.Millisecond, Down: true, ListLag: time.Minute}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if code, body := do(service, http.MethodPut, "/faults", string(text)); code != http.StatusNoContent {
		t.Fatalf("got %d %s", code, body)
	}
	if got := service.Faults(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	_, shown := do(service, http.MethodGet, "/faults", "")
	if got := strings.TrimSpace(shown); got != string(text) {
		t.Errorf("got %s, want %s", got, text)
	}
	if code, _ := do(service, http.MethodPut, "/faults", `{"delay":"soon"}`); code != http.StatusBadRequest {
		t.Errorf("got %d for a bad delay, want %d", code, http.StatusBadRequest)
	}
}

func TestDelayUsesTheGivenClock(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := emulator.NewPlainService(clock, 0)
	service.SetFaults(emulator.Faults{Delay: time.Hour})
	done := make(chan int)
	go func() {
		code, _ := do(service, http.MethodPost, "/calls/charge", "")
		done <- code
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got := len(service.Runs()); got != 0 {
		t.Errorf("got %d runs before the delay, want 0", got)
	}
	clock.Advance(time.Hour)
	if got := <-done; got != http.StatusOK || len(service.Runs()) != 1 {
		t.Errorf("got status %d and %d runs", got, len(service.Runs()))
	}
}

func TestRunsAreListedByKey(t *testing.T) {
	service := emulator.NewPlainService(clockwork.NewFakeClock(), 0)
	url := serve(t, service)
	client := connector.NewPlainService(http.DefaultClient, url)
	for _, key := range []string{"a", "b", "a"} {
		if _, err := client.Call(t.Context(), gooseberrypass.ServiceCall{Call: "charge", Key: key}); err != nil {
			t.Fatal(err)
		}
	}
	_, body := do(service, http.MethodGet, "/runs?key=a", "")
	var runs []emulator.CallRun
	if err := json.Unmarshal([]byte(body), &runs); err != nil || len(runs) != 2 || runs[1].Number != 3 {
		t.Errorf("got %+v and error %v, want runs 1 and 3", runs, err)
	}
}

// TestOriginLimitsItsLinkRate reads 1 MiB over a link of 64 KiB per second.
func TestOriginLimitsItsLinkRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	origin := emulator.NewOrigin(clock, 64<<10)
	origin.Put("m", "v", nil, make([]byte, 1<<20))
	r := httptest.NewRequest(http.MethodGet, "/models/m/versions/v/weights", nil)
	r.Header.Set("Range", "bytes=0-1048575")
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		origin.ServeHTTP(w, r)
	}()
	for range 15 { // the first of 16 pieces is sent at once, as the burst
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	<-done
	if got, want := clock.Since(start), 15*time.Second; got != want || w.Body.Len() != 1<<20 {
		t.Errorf("got %d bytes in %s, want all in %s", w.Body.Len(), got, want)
	}
}

func TestOriginReplacesWeightsOfAVersion(t *testing.T) {
	origin := emulator.NewOrigin(clockwork.NewFakeClock(), 0)
	origin.Put("m", "v", []byte("manifest"), []byte("old"))
	if code, _ := do(origin, http.MethodPut, "/models/m/versions/v/weights", "new"); code != http.StatusNoContent {
		t.Fatalf("got status %d", code)
	}
	if _, got := do(origin, http.MethodGet, "/models/m/versions/v/manifest", ""); got != "manifest" {
		t.Errorf("got manifest %q, want the old one", got)
	}
	client := connector.NewOrigin(http.DefaultClient, serve(t, origin))
	if got, err := client.ReadRange(t.Context(), "m", "v", 0, 3); err != nil || string(got) != "new" {
		t.Errorf("got %q and error %v, want new", got, err)
	}
}

func TestStreamsAreListed(t *testing.T) {
	log := emulator.NewLog(clockwork.NewFakeClock(), emulator.LogSettings{})
	for _, stream := range []string{"config", "claims%2F1"} {
		if code, _ := do(log, http.MethodPost, "/streams/"+stream+"/records", "x"); code != http.StatusCreated {
			t.Fatalf("got status %d", code)
		}
	}
	if _, got := do(log, http.MethodGet, "/streams", ""); strings.TrimSpace(got) != `["claims/1","config"]` {
		t.Errorf("got %s", got)
	}
}

func TestMakeWeights(t *testing.T) {
	a, b := emulator.MakeWeights(1, 1000), emulator.MakeWeights(2, 1000)
	if bytes.Equal(a, b) || !bytes.Equal(a, emulator.MakeWeights(1, 1000)) {
		t.Error("weights do not depend on the seed alone")
	}
	digest := gooseberrypass.DigestOf(a)
	if got, want := emulator.GeneratedText(digest, "p", 2), emulator.TokenText(digest, "p", 0)+emulator.TokenText(digest, "p", 1); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestServeReportsBusyAddress(t *testing.T) {
	server, err := emulator.Serve("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := emulator.Serve(server.Addr(), http.NotFoundHandler()); err == nil {
		t.Error("got no error for an address in use")
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	resp, err := http.Get(server.URL())
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		t.Error("got an answer after Close")
	}
}
