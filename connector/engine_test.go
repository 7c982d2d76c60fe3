package connector_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// readStream reads a stream to its end and returns the text, also if it fails.
func readStream(s gooseberrypass.TokenStream) (string, error) {
	defer func() { _ = s.Close() }()
	var text strings.Builder
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
}

func TestGenerate(t *testing.T) {
	for name, test := range map[string]struct {
		faults emulator.Faults
		prompt string
		want   error
	}{
		"crash":   {prompt: "please " + emulator.DefaultCrashMark, want: io.ErrUnexpectedEOF},
		"cut":     {faults: emulator.Faults{CutStreams: 1}, want: io.ErrUnexpectedEOF},
		"cut all": {faults: emulator.Faults{CutStreams: -1}, want: io.ErrUnexpectedEOF},
		"whole":   {prompt: strings.Repeat("long prompt ", 500)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, emulator.EngineSettings{})
			f.emulator.SetFaults(test.faults)
			order := f.order("a", 20)
			order.Prompt = test.prompt
			s, err := f.engine.Generate(t.Context(), order)
			if err != nil {
				t.Fatal(err)
			}
			got, err := readStream(s)
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			want := emulator.GeneratedText(f.manifest.Digest(), test.prompt, 20)
			if whole := got == want; whole != (test.want == nil) || !strings.HasPrefix(want, got) {
				t.Errorf("got %q, want %q, or a prefix of it if the stream breaks", got, want)
			}
		})
	}
}

func TestGenerateRefusals(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{Capacity: 1, QueueLimit: 1})
	for id := range 2 { // one runs, one is queued
		s, err := f.engine.Generate(t.Context(), f.order(string(rune('a'+id)), 1<<20))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		f.await(t, func(s gooseberrypass.EngineState) bool { return s.Load.Running == 1 })
	}
	notLoaded := f.order("c", 1)
	notLoaded.Digest = gooseberrypass.DigestOf(nil)
	for name, test := range map[string]struct {
		engine  *connector.Engine
		order   gooseberrypass.GenerateOrder
		outcome gooseberrypass.Outcome
		reason  gooseberrypass.Reason
	}{
		"bad order":   {f.engine, f.order("c", 0), gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonBadRequest},
		"no engine":   {connector.NewEngine(newClient(t), refusedURL(t)), f.order("c", 1), gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonUpstream},
		"not loaded":  {f.engine, notLoaded, gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonNotLoaded},
		"queue full":  {f.engine, f.order("c", 1), gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonOverloaded},
		"same id now": {f.engine, f.order("a", 1), gooseberrypass.OutcomeUnknown, gooseberrypass.ReasonUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := test.engine.Generate(t.Context(), test.order)
			var got *gooseberrypass.RequestError
			if !errors.As(err, &got) || got.Outcome != test.outcome || got.Reason != test.reason {
				t.Errorf("got %v, want %s (%s)", err, test.outcome, test.reason)
			}
		})
	}
}

func TestStreamMovesByKVCache(t *testing.T) {
	from, to := newFixture(t, emulator.EngineSettings{}), newFixture(t, emulator.EngineSettings{})
	const n = 1 << 12
	order := from.order("a", n)
	s, err := from.engine.Generate(t.Context(), order)
	if err != nil {
		t.Fatal(err)
	}
	token, err := s.Next()
	if err != nil {
		t.Fatal(err)
	}
	if order.KVCache, err = from.engine.ExportKV(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if err := from.engine.Cancel(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := readStream(s); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v from the cancelled stream, want %v", err, io.ErrUnexpectedEOF)
	}
	if err := from.engine.Cancel(t.Context(), "a"); err != nil {
		t.Errorf("got %v from cancelling again, want no error", err)
	}
	order.From, order.MaxTokens = 1, 4
	rest, err := to.engine.Generate(t.Context(), order)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readStream(rest)
	if want := emulator.GeneratedText(to.manifest.Digest(), order.Prompt, 4); err != nil || token.Text+got != want {
		t.Errorf("got %q and error %v, want %q", token.Text+got, err, want)
	}
	order.Prompt = "another prompt"
	if _, err := to.engine.Generate(t.Context(), order); err == nil {
		t.Error("got no error for the KV cache of another prompt")
	}
}

func TestCrashLosesEverything(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{Fenced: true, RestartTime: time.Millisecond})
	before := f.await(t, func(s gooseberrypass.EngineState) bool { return s.Fence == 1 })
	f.emulator.Crash()
	after := f.await(t, func(gooseberrypass.EngineState) bool { return true })
	if after.BootID == before.BootID || len(after.Loaded) != 0 || after.Fence != 0 {
		t.Errorf("got %+v, want another boot ID, no model loaded and fence 0", after)
	}
}

func TestFencedEngineRefusesOldOrder(t *testing.T) {
	for name, test := range map[string]struct {
		fenced bool
		want   error
	}{
		"fenced":   {fenced: true, want: gooseberrypass.ErrOldFence},
		"unfenced": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, emulator.EngineSettings{Fenced: test.fenced})
			f.load(t, 2, 7)
			if got := f.engine.Order(t.Context(), newOrder(t, 1, 6)); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestCacheEventsArrive(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{CachePrefixes: 1})
	var want []gooseberrypass.CacheEvent
	for i, prompt := range []string{"one", "two"} {
		order := f.order(prompt, 1)
		order.Prompt = prompt
		s, err := f.engine.Generate(t.Context(), order)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readStream(s); err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			want = append(want, gooseberrypass.CacheEvent{Evicted: true, Number: 2, Prefix: gooseberrypass.PrefixHash("one")})
		}
		want = append(want, gooseberrypass.CacheEvent{Number: uint64(len(want) + 1), Prefix: gooseberrypass.PrefixHash(prompt)})
	}
	got, err := f.engine.CacheEvents(t.Context(), 1)
	if err != nil || len(got) != 2 || got[0] != want[1] || got[1] != want[2] {
		t.Errorf("got %+v and error %v, want %+v", got, err, want[1:])
	}
}

// TestAnswersAreBounded checks the size limits against a response of 40 MiB.
func TestAnswersAreBounded(t *testing.T) {
	endless := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		junk := bytes.Repeat([]byte{' '}, 1<<20)
		for range 40 {
			if _, err := w.Write(junk); err != nil {
				return
			}
		}
	}))
	engine := connector.NewEngine(newClient(t), endless)
	if _, err := engine.State(t.Context()); !errors.Is(err, connector.ErrInvalidResponse) {
		t.Errorf("got %v for an endless state, want %v", err, connector.ErrInvalidResponse)
	}
	s, err := engine.Generate(t.Context(), gooseberrypass.GenerateOrder{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readStream(s); !errors.Is(err, connector.ErrInvalidResponse) {
		t.Errorf("got %v for an endless token, want %v", err, connector.ErrInvalidResponse)
	}
	if _, err := connector.NewInstanceList(newClient(t), endless).List(t.Context()); !errors.Is(err, connector.ErrInvalidResponse) {
		t.Errorf("got %v for an endless list, want %v", err, connector.ErrInvalidResponse)
	}
}

func FuzzTokenStream(f *testing.F) {
	f.Add([]byte("{\"index\":0,\"text\":\"a\"}\n{\"index\":1,\"last\":true,\"text\":\"b\"}\n"))
	f.Add([]byte("{\"index\":0,\"last\":true}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := connector.NewTokenStream(io.NopCloser(bytes.NewReader(body)))
		lines := bytes.Count(body, []byte("\n"))
		for n := 0; ; n++ {
			token, err := s.Next()
			if errors.Is(err, io.EOF) {
				t.Fatal("got io.EOF before the last token")
			}
			if err != nil {
				return
			}
			if n >= lines {
				t.Fatalf("got token %d of %d lines", n+1, lines)
			}
			if token.Last {
				break
			}
		}
		if _, err := s.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("got %v after the last token, want %v", err, io.EOF)
		}
	})
}
