package answerer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/api"
)

func newLog() *memoryLog {
	return &memoryLog{streams: map[gooseberrypass.Stream][]gooseberrypass.Record{}}
}

func TestGenerateWhole(t *testing.T) {
	agent := &fakeAgent{generate: generateScript("a jingle for señal 5", nil)}
	client, _ := startEntry(t, newLog(), members{startAgent(t, "writer-1", agent)})
	for _, account := range []string{"radio", "ACC-0007", "/fonoteca/radio"} {
		params := api.GenerateParams{ClientAccount: account, ClientKey: api.NewOptString("secret")}
		res, err := client.Generate(context.Background(), &api.GenerateRequest{Model: "MDL-0042", Prompt: "go"}, params)
		if err != nil {
			t.Fatalf("account %q: %v", account, err)
		}
		got, ok := res.(*api.GenerateAnswer)
		if !ok || got.Text != "a jingle for señal 5" || got.Weights != weights().String() {
			t.Errorf("account %q: got %+v", account, res)
		}
	}
}

// TestStreamFirstPieceBeforeLast guards against buffering in the streaming path:
// the agent generates the last piece only after the caller has read the first one,
// so a buffered first piece would block the test.
func TestStreamFirstPieceBeforeLast(t *testing.T) {
	firstRead := make(chan struct{})
	agent := &fakeAgent{generate: generateScript("one two", func(int) { <-firstRead })}
	_, url := startEntry(t, newLog(), members{startAgent(t, "writer-1", agent)})
	r, err := http.NewRequest(http.MethodPost, url+"/v1/generate", strings.NewReader(`{"model":"jingle","prompt":"go","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Client-Account", "radio")
	r.Header.Set("Client-Key", "secret")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var events []string
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			events = append(events, name)
		}
		if strings.Contains(lines.Text(), `"one "`) {
			close(firstRead)
		}
	}
	if got, want := strings.Join(events, ","), "start,piece,piece,end"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
}

func TestCallOncePerKey(t *testing.T) {
	agent := &fakeAgent{}
	log := newLog()
	m := members{startAgent(t, "plain-1", agent)}
	client1, _ := startEntry(t, log, m)
	client2, _ := startEntry(t, log, m)
	key := uuid.Must(uuid.NewV7()).String()
	call := func(client *api.Client, body string) (*api.CallAnswer, error) {
		return client.CallService(context.Background(), api.CallServiceReq{Data: strings.NewReader(body)}, api.CallServiceParams{
			Call: "grant", ClientAccount: "radio", ClientKey: api.NewOptString("secret"),
			IdempotencyKey: api.NewOptString(key), Service: "licensing",
		})
	}
	for i, client := range []*api.Client{client1, client2, client1} {
		got, err := call(client, "7")
		for err != nil && failureOf(err).Reason == string(gooseberrypass.ReasonLogDown) {
			got, err = call(client, "7") // the entry has not read the whole claim log yet
		}
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		if want := "granted 7"; string(got.Body) != want {
			t.Errorf("call %d: got %q, want %q", i, got.Body, want)
		}
	}
	_, err := call(client2, "8")
	if got, want := failureOf(err).Reason, string(gooseberrypass.ReasonKeyConflict); got != want {
		t.Errorf("other body: got reason %q, want %q", got, want)
	}
	if got, want := agent.callsByKey[key], 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func failureOf(err error) api.Failure {
	var failure *api.FailureStatusCodeWithHeaders
	if errors.As(err, &failure) {
		return failure.Response
	}
	return api.Failure{}
}

// TestBadBodies checks that a request that cannot be decoded is rejected before
// anything runs, with an error body that says so.
func TestBadBodies(t *testing.T) {
	_, url := startEntry(t, newLog(), members{})
	tests := []struct {
		name, body string
		status     int
	}{
		{"not JSON", "{", http.StatusBadRequest},
		{"unknown field", `{"model":"m","prompt":"p","x":1}`, http.StatusBadRequest},
		{"too long", `{"model":"m","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, url+"/v1/generate", strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set("Client-Account", "radio")
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			body, _ := io.ReadAll(res.Body)
			if res.StatusCode != tt.status || !strings.Contains(string(body), `"outcome":"not run"`) {
				t.Errorf("got %d %s, want %d, not run", res.StatusCode, body, tt.status)
			}
		})
	}
}

func TestFailures(t *testing.T) {
	client, _ := startEntry(t, newLog(), members{})
	tests := []struct {
		name, account, key, model string
		status                    int
		reason                    gooseberrypass.Reason
	}{
		{"wrong key", "radio", "guess", "jingle", http.StatusUnauthorized, gooseberrypass.ReasonUnknownClient},
		{"no account", "tv", "secret", "jingle", http.StatusUnauthorized, gooseberrypass.ReasonUnknownClient},
		{"no model", "radio", "secret", "opera", http.StatusNotFound, gooseberrypass.ReasonUnknownTarget},
		{"no endpoint", "radio", "secret", "jingle", http.StatusServiceUnavailable, gooseberrypass.ReasonNoEndpoint},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := client.Generate(context.Background(), &api.GenerateRequest{Model: tt.model, Prompt: "go"},
				api.GenerateParams{ClientAccount: tt.account, ClientKey: api.NewOptString(tt.key)})
			var got *api.FailureStatusCodeWithHeaders
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want a typed failure", err)
			}
			if got.StatusCode != tt.status || got.Response.Reason != string(tt.reason) || got.Response.Outcome != api.FailureOutcomeNotRun {
				t.Errorf("got %d %s %s, want %d %s not run", got.StatusCode, got.Response.Reason, got.Response.Outcome, tt.status, tt.reason)
			}
		})
	}
}
