package attempter_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const concurrentAttempts = 300

// askAll sends the attempts concurrently and returns their answers once all have
// ended. Until then it calls meanwhile repeatedly on the test's goroutine.
func (a *agent) askAll(tb testing.TB, attempts []*wire.Attempt, meanwhile func()) []*answer {
	tb.Helper()
	answers := make([]*answer, len(attempts))
	var wg sync.WaitGroup
	for i, m := range attempts {
		wg.Go(func() { answers[i] = a.ask(tb, m) })
	}
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	for {
		select {
		case <-ended:
			return answers
		case <-time.After(time.Millisecond):
			meanwhile()
		}
	}
}

// faultyTokens returns the tokens of an attempt with a fault that depends on its
// id: duplicated tokens, tokens of another attempt in between, two tokens
// swapped, a missing end or only tokens of another attempt. Some ids get no
// fault.
func faultyTokens(id string, digest gooseberrypass.Digest) []gooseberrypass.Token {
	h := fnv.New64()
	_, _ = h.Write([]byte(id))
	random := rand.New(rand.NewPCG(h.Sum64(), 3))
	tokens := tokensOf(id, digest, 12)
	i := random.IntN(len(tokens) - 1)
	foreign := tokensOf(fmt.Sprintf("a-%d", random.IntN(concurrentAttempts)), digest, 12)
	switch random.IntN(6) {
	case 0:
		return slices.Insert(tokens, i, tokens[:i+1]...)
	case 1:
		return slices.Insert(tokens, i, foreign[i:]...)
	case 2:
		tokens[i], tokens[i+1] = tokens[i+1], tokens[i]
	case 3:
		return tokens[:i]
	case 4:
		return foreign
	}
	return tokens
}

func TestDisorderedTokensNeverReachACaller(t *testing.T) {
	e := newFakeEngine(concurrentAttempts, digestOf("v1"))
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		return replay(faultyTokens(o.AttemptID, o.Digest), io.ErrUnexpectedEOF), nil
	}
	a := newEngineAgent(t, e)
	attempts := make([]*wire.Attempt, 0, concurrentAttempts)
	for i := range concurrentAttempts {
		attempts = append(attempts, attemptOf(fmt.Sprintf("a-%d", i)))
	}
	complete, naiveWrong := 0, 0
	for i, got := range a.askAll(t, attempts, func() {}) {
		id := attempts[i].GetAttemptId()
		want := textOf(tokensOf(id, digestOf("v1"), 12))
		if textOf(faultyTokens(id, digestOf("v1"))) != want {
			naiveWrong++ // a naive version forwards all tokens and takes the end of the stream for the end of the answer
		}
		switch {
		case got.end != nil && got.complete() && got.text.String() == want:
			complete++
		case got.end != nil || got.failed.GetOutcome() != "unknown" || !strings.HasPrefix(want, got.text.String()):
			t.Errorf("%s: got %q, end %v, failed %v, want the complete answer or a typed failure", id, got.text.String(), got.end, got.failed)
		}
	}
	if complete < concurrentAttempts/3 || naiveWrong < concurrentAttempts/3 {
		t.Errorf("got %d complete answers, %d wrong ones from the naive version, want at least a third of each", complete, naiveWrong)
	}
}

// A swappingEngine switches between two versions every few hundred tokens, in
// the middle of its streams. Its report of the loaded version lags.
type swappingEngine struct {
	*fakeEngine
	tokens atomic.Int64
}

func (s *swappingEngine) version() gooseberrypass.Digest {
	return digestOf(fmt.Sprintf("v%d", 1+s.tokens.Add(1)/501%2))
}

func (s *swappingEngine) stream(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
	i := 0
	return stream(func() (gooseberrypass.Token, error) {
		d := s.version()
		i++
		return gooseberrypass.Token{AttemptID: o.AttemptID, Digest: d, Index: i - 1, Last: i == 8, Text: d.Short() + ";"}, nil
	}), nil
}

// mixed reports whether an answer has pieces of more than one version, or of
// another version than digest.
func mixed(text string, digest []byte) bool {
	for piece := range strings.SplitSeq(strings.TrimSuffix(text, ";"), ";") {
		if d, err := gooseberrypass.DigestFromBytes(digest); text != "" && (err != nil || d.Short() != piece) {
			return true
		}
	}
	return false
}

func TestNoAnswerOfMixedVersions(t *testing.T) {
	e := &swappingEngine{fakeEngine: newFakeEngine(16, digestOf("v1"))}
	e.generate = e.stream
	a := newEngineAgent(t, e)
	attempts := make([]*wire.Attempt, 0, 2*concurrentAttempts)
	for i := range 2 * concurrentAttempts {
		m, d := attemptOf(fmt.Sprintf("a-%d", i)), digestOf(fmt.Sprintf("v%d", 1+i%2))
		m.WeightsDigest, m.DeadlineMs = d[:], attempter.MaxDeadline.Milliseconds()
		attempts = append(attempts, m)
	}
	complete := 0
	for i, got := range a.askAll(t, attempts, func() {
		loaded := []gooseberrypass.LoadedVersion{{Digest: e.version(), Model: model}}
		e.set(func(f *fakeEngine) { f.state.Loaded = loaded })
		a.clock.Advance(10 * time.Millisecond)
		a.handle(gooseberrypass.Tick{})
	}) {
		if mixed(got.text.String(), got.digest) {
			t.Errorf("%s: got %q of version %x", attempts[i].GetAttemptId(), got.text.String(), got.digest)
		}
		if got.failed.GetOutcome() == "not run" && e.runs[attempts[i].GetAttemptId()] > 0 {
			t.Errorf("%s: got not run after a run", attempts[i].GetAttemptId())
		}
		if got.complete() {
			complete++
		}
	}
	naive := 0
	for range concurrentAttempts {
		s, _ := e.stream(context.Background(), gooseberrypass.GenerateOrder{})
		text, first := "", gooseberrypass.Digest{}
		for token, err := s.Next(); err == nil; token, err = s.Next() {
			if text == "" {
				first = token.Digest
			}
			if text += token.Text; token.Last {
				break
			}
		}
		if mixed(text, first[:]) {
			naive++
		}
	}
	if complete == 0 || naive == 0 {
		t.Errorf("got %d complete answers, %d mixed ones without the checks, want some of each", complete, naive)
	}
}

func TestFirstTokenOfAnotherVersionIsDiscarded(t *testing.T) {
	e := newFakeEngine(4, digestOf("v1"))
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		return replay(tokensOf(o.AttemptID, digestOf("v2"), 3), io.EOF), nil
	}
	e.slowCancel = make(chan struct{})
	a := newEngineAgent(t, e)
	got, err := a.send(context.Background(), attemptOf("a-1"))
	if err != nil || !got.next() {
		t.Fatalf("got %v, want a frame before the engine has confirmed the cancellation", err)
	}
	close(e.slowCancel)
	if got.next() {
		t.Error("got a second frame, want the failure alone")
	}
	if got.text.Len() != 0 || got.digest != nil || got.failed.GetReason() != "not-loaded" || got.failed.GetOutcome() != "unknown" {
		t.Errorf("got %q, started %x, failed %v, want nothing but unknown for not-loaded", got.text.String(), got.digest, got.failed)
	}
	if want := []string{"a-1"}; !slices.Equal(e.cancelled, want) {
		t.Errorf("got %v cancelled at the engine, want %v", e.cancelled, want)
	}
}

func TestEngineCrashWithSeveralInFlight(t *testing.T) {
	e := newFakeEngine(8, digestOf("v1"))
	crash := make(chan struct{})
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		first := tokensOf(o.AttemptID, o.Digest, 9)[:1]
		return stream(func() (gooseberrypass.Token, error) {
			if len(first) > 0 {
				token := first[0]
				first = nil
				return token, nil
			}
			<-crash
			return gooseberrypass.Token{}, io.ErrUnexpectedEOF
		}), nil
	}
	a := newEngineAgent(t, e)
	attempts := []*wire.Attempt{attemptOf("a-1"), attemptOf("a-2"), attemptOf("a-3")}
	for _, got := range a.askAll(t, attempts, func() {
		if a.InFlight(model) == len(attempts) && e.state.BootID == "boot-1" {
			e.set(func(e *fakeEngine) { e.state.BootID, e.state.Loaded = "boot-2", nil })
			close(crash)
		}
	}) {
		if got.end != nil || got.failed.GetOutcome() != "unknown" || got.failed.GetReason() != "cut" {
			t.Errorf("got end %v, failed %v, want unknown for cut", got.end, got.failed)
		}
	}
	a.tick()
	crashes := a.Status().Crashes
	if len(crashes) != 1 || len(crashes[0].Requests) != len(attempts) {
		t.Fatalf("got crashes %v, want one of %d requests", crashes, len(attempts))
	}
	for _, m := range attempts {
		if d := gooseberrypass.Digest(m.GetRequestDigest()); !slices.Contains(crashes[0].Requests, d) {
			t.Errorf("got requests %v, want %v among them", crashes[0].Requests, d)
		}
	}
	if got := a.ask(t, attemptOf("a-4")); got.failed.GetOutcome() != "not run" || got.failed.GetReason() != "not-loaded" {
		t.Errorf("got %v from an empty engine, want not run for not-loaded", got.failed)
	}
}
