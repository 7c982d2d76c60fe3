package connector_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

func TestCallOutcomes(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, test := range map[string]struct {
		ctx     context.Context
		faults  emulator.Faults
		refused bool
		runs    int
		want    gooseberrypass.Outcome
	}{
		"answer lost":      {ctx: t.Context(), faults: emulator.Faults{AnswersLost: 1}, runs: 1, want: gooseberrypass.OutcomeUnknown},
		"cancelled before": {ctx: cancelled, want: gooseberrypass.OutcomeNotRun},
		"down":             {ctx: t.Context(), faults: emulator.Faults{Down: true}, want: gooseberrypass.OutcomeUnknown},
		"none":             {ctx: t.Context(), runs: 1, want: gooseberrypass.OutcomeAnswered},
		"refused":          {ctx: t.Context(), refused: true, want: gooseberrypass.OutcomeNotRun},
		"request lost":     {ctx: t.Context(), faults: emulator.Faults{RequestsLost: 1}, want: gooseberrypass.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			service := emulator.NewPlainService(clockwork.NewFakeClock(), 0)
			url := serve(t, service)
			if test.refused {
				url = refusedURL(t)
			}
			service.SetFaults(test.faults)
			call := gooseberrypass.ServiceCall{AttemptID: "a", Body: []byte("grant"), Call: "charge", Key: "k"}
			_, err := connector.NewPlainService(newClient(t), url).Call(test.ctx, call)
			got := gooseberrypass.OutcomeAnswered
			if err != nil {
				var reqErr *gooseberrypass.RequestError
				if !errors.As(err, &reqErr) {
					t.Fatalf("got %v, want a *RequestError", err)
				}
				got = reqErr.Outcome
			}
			if got != test.want {
				t.Errorf("got %s, want %s: %v", got, test.want, err)
			}
			if got := len(service.Runs()); got != test.runs {
				t.Errorf("got %d runs, want %d", got, test.runs)
			}
		})
	}
}

// TestCallIsSentOnce breaks a reused connection after the call has run. net/http
// retries the call of a naive client; it must not retry that of the connector.
func TestCallIsSentOnce(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		call func(t *testing.T, client *http.Client, url, body string)
		want int
	}{
		"connector":                {body: "grant", call: callByConnector, want: 1},
		"connector, empty body":    {call: callByConnector, want: 1},
		"naive client":             {body: "grant", call: callNaively, want: 2},
		"naive client, empty body": {call: callNaively, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			service := emulator.NewPlainService(clockwork.NewFakeClock(), 0)
			url := serve(t, service)
			client := newClient(t)
			test.call(t, client, url, test.body) // leaves an idle connection
			before := len(service.Runs())
			service.SetFaults(emulator.Faults{AnswersLost: 1})
			test.call(t, client, url, test.body)
			if got := len(service.Runs()) - before; got != test.want {
				t.Errorf("got %d runs, want %d", got, test.want)
			}
		})
	}
}

func callByConnector(t *testing.T, client *http.Client, url, body string) {
	t.Helper()
	call := gooseberrypass.ServiceCall{AttemptID: "a", Body: []byte(body), Call: "charge", Key: "k"}
	_, _ = connector.NewPlainService(client, url).Call(t.Context(), call)
}

func callNaively(t *testing.T, client *http.Client, url, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/calls/charge", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = new(bytes.Buffer).ReadFrom(resp.Body)
	_ = resp.Body.Close()
}
