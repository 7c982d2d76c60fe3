package retrier_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Hundreds of concurrent requests run on an engine that swaps, duplicates, truncates
// and alters answers. Each caller must get its own complete answer or a
// *RequestError, whereas the naive proxy delivers wrong answers.
func TestWholeAnswers(t *testing.T) {
	const requests = 500
	m := members{newMember("w-0", ""), newMember("w-1", ""), newMember("w-2", ""), newMember("w-3", "")}
	engine := &scriptedDispatcher{generate: (&faultyEngine{}).generate}
	r := newRetrier(t, m, engine, 1, unlimitedChoices)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, naiveWrong := 0, 0
	for i := range requests {
		wg.Go(func() {
			req := newRequest(gooseberrypass.RequestGenerate, strconv.Itoa(i), true)
			want := strings.Join(correctPieces(strconv.Itoa(i)), "")
			got, plain := &caller{}, &caller{}
			err := r.Handle(context.Background(), req, got)
			naiveErr := naiveProxy(engine, req, plain)
			mu.Lock()
			defer mu.Unlock()
			var failure *gooseberrypass.RequestError
			switch {
			case err == nil && (!got.ended || got.starts != 1 || got.text != want || got.weights != weights()):
				t.Errorf("got %q of weights %s, ended %v, want %q", got.text, got.weights.Short(), got.ended, want)
			case err == nil:
				answered++
			case !errors.As(err, &failure) || failure.Outcome != gooseberrypass.OutcomeUnknown:
				t.Errorf("got error %v, want a *RequestError with outcome unknown", err)
			case got.ended || !strings.HasPrefix(want, strings.TrimSuffix(got.text, "?")): // an altered piece is detected only at the end marker
				t.Errorf("failed with %q delivered, want a prefix of %q", got.text, want)
			}
			if naiveErr == nil && plain.text != want {
				naiveWrong++
			}
		})
	}
	wg.Wait()
	if naiveWrong == 0 || answered < requests/2 {
		t.Errorf("naive version wrong %d times, %d answered of %d", naiveWrong, answered, requests)
	}
	t.Logf("answered %d of %d; the naive version delivered %d wrong answers", answered, requests, naiveWrong)
}

// A stream that moves to another endpoint must continue there with the same weights
// from the next piece. If the other endpoint refuses it, it must continue at the
// first one.
func TestMovedStream(t *testing.T) {
	tests := []struct {
		name     string
		accepted bool
	}{{"taken", true}, {"refused", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var first string
			engine := &scriptedDispatcher{}
			engine.generate = func(to gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
				frames := correctFrames(a)
				if a.GetFrom() == 0 {
					first = a.GetAttemptId()
					moved := &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
					moved.Kind = &wire.Frame_Moved{Moved: &wire.Moved{KvCache: []byte("kv of " + to), Next: 2}}
					frames = append(frames[:3:3], append([]*wire.Frame{moved}, frames[3:]...)...)
					return &scriptedStream{end: io.EOF, frames: frames}, nil
				}
				if !tt.accepted || !strings.HasPrefix(string(a.GetKvCache()), "kv of ") {
					return nil, errors.New("connection reset")
				}
				return &scriptedStream{end: io.EOF, frames: frames}, nil
			}
			r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 1, unlimitedChoices)
			got, want := &caller{}, "answer to x."
			if err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), got); err != nil {
				t.Fatal(err)
			}
			if got.text != want || got.starts != 1 || !got.ended {
				t.Errorf("got %q, %d starts, want %q", got.text, got.starts, want)
			}
			if first == "" {
				t.Error("no first attempt")
			}
		})
	}
}

// A request that crashes its endpoint each time, as reported by the agent or by the
// connection, must get two attempts only, the second alone on its endpoint.
func TestBreakingRequestRunsTwice(t *testing.T) {
	reported := func(a *wire.Attempt, _ int) (retrier.FrameStream, error) {
		f := &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
		f.Kind = &wire.Frame_Failed{Failed: &wire.Failed{Outcome: "unknown", Reason: string(gooseberrypass.ReasonCut)}}
		return &scriptedStream{end: io.EOF, frames: []*wire.Frame{correctFrames(a)[0], f}}, nil
	}
	tests := map[string]func(a *wire.Attempt, n int) (retrier.FrameStream, error){
		"told":  reported,
		"end":   func(*wire.Attempt, int) (retrier.FrameStream, error) { return &scriptedStream{end: io.EOF}, nil },
		"reset": func(*wire.Attempt, int) (retrier.FrameStream, error) { return nil, errors.New("connection reset") },
		"first reset": func(a *wire.Attempt, n int) (retrier.FrameStream, error) {
			if n == 1 {
				return nil, errors.New("connection reset")
			}
			return reported(a, n)
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			var alone []bool
			engine := &scriptedDispatcher{generate: func(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
				alone = append(alone, a.GetAlone())
				return answer(a, len(alone))
			}}
			r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", ""), newMember("w-2", "")}, engine, 1, unlimitedChoices)
			err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), &caller{})
			var failure *gooseberrypass.RequestError
			if !errors.As(err, &failure) || failure.Outcome != gooseberrypass.OutcomeUnknown {
				t.Errorf("got error %v, want one of outcome unknown", err)
			}
			if want := []bool{false, true}; !slices.Equal(alone, want) {
				t.Errorf("got attempts alone %v, want %v", alone, want)
			}
		})
	}
}

// A slowDispatcher answers attempts after 1 s. While stallNext is set, the next
// attempt's answer arrives only after the attempt is canceled.
type slowDispatcher struct {
	*scriptedDispatcher
	attempts  int
	stallNext bool
}

func (d *slowDispatcher) Generate(ctx context.Context, _ gooseberrypass.ListedInstance, a *wire.Attempt) (retrier.FrameStream, error) {
	d.attempts++
	if d.stallNext {
		d.stallNext = false
		return &stalledStream{ctx: ctx, scriptedStream: scriptedStream{end: io.EOF, frames: correctFrames(a)}}, nil
	}
	time.Sleep(time.Second)
	return &scriptedStream{end: io.EOF, frames: correctFrames(a)}, nil
}

type stalledStream struct {
	ctx context.Context
	scriptedStream
}

func (s *stalledStream) Next() (*wire.Frame, error) {
	<-s.ctx.Done()
	return s.scriptedStream.Next()
}

// An answer that arrives after its attempt timed out must not be mixed with the
// answer to the next attempt.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &slowDispatcher{scriptedDispatcher: &scriptedDispatcher{}}
		r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 1, unlimitedChoices)
		for i := range 10 {
			engine.stallNext, engine.attempts = i > 0, 0
			got, begin := &caller{}, time.Now()
			if err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), got); err != nil {
				t.Fatal(err)
			}
			if got.text != "answer to x." || got.starts != 1 || i > 0 && engine.attempts != 2 || time.Since(begin) > 10*time.Second {
				t.Errorf("got %q, %d starts, %d attempts in %v, want the answer of the second", got.text, got.starts, engine.attempts, time.Since(begin))
			}
		}
	})
}

// An error status must not count as an interrupted attempt: it does not show that the
// request crashed its endpoint.
func TestErrorStatusIsNotAnInterruption(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	to := gooseberrypass.ListedInstance{Address: server.Listener.Addr().String()}
	d := retrier.NewHTTPDispatcher(server.Client())
	_, generateErr := d.Generate(context.Background(), to, &wire.Attempt{})
	_, callErr := d.Call(context.Background(), to, &wire.CallRequest{})
	for _, err := range []error{generateErr, callErr} {
		if !errors.Is(err, retrier.ErrStatus) {
			t.Errorf("got error %v, want one that wraps ErrStatus", err)
		}
	}
}

// Retries must stay within the budget even if all requests fail.
func TestRetryBudget(t *testing.T) {
	const requests = 1000
	attempts := 0
	engine := &scriptedDispatcher{generate: func(gooseberrypass.ID, *wire.Attempt) (retrier.FrameStream, error) {
		attempts++
		return nil, errors.New("connection reset")
	}}
	r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 0.1, unlimitedChoices)
	for i := range requests {
		_ = r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, strconv.Itoa(i), true), &caller{})
	}
	if got, want := attempts, requests+requests/10+10; got > want {
		t.Errorf("got %d attempts for %d requests, want at most %d", got, requests, want)
	}
}
