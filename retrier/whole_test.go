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

// Hundreds of requests at once against engines that swap, double, cut and alter
// answers: each caller gets its own answer whole, or a typed failure, whereas
// the naive version hands out wrong answers.
func TestWholeAnswers(t *testing.T) {
	const requests = 500
	m := members{newMember("w-0", ""), newMember("w-1", ""), newMember("w-2", ""), newMember("w-3", "")}
	engine := &scripted{generate: (&chaos{}).generate}
	r := newRetrier(t, m, engine, 1, anyChoices)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, naiveWrong := 0, 0
	for i := range requests {
		wg.Go(func() {
			req := newRequest(gooseberrypass.RequestGenerate, strconv.Itoa(i), true)
			want := strings.Join(wholeText(strconv.Itoa(i)), "")
			got, plain := &caller{}, &caller{}
			err := r.Handle(context.Background(), req, got)
			naiveErr := naive(engine, req, plain)
			mu.Lock()
			defer mu.Unlock()
			var failure *gooseberrypass.RequestError
			switch {
			case err == nil && (!got.ended || got.starts != 1 || got.text != want || got.weights != weights()):
				t.Errorf("got %q of weights %s, ended %v, want %q", got.text, got.weights.Short(), got.ended, want)
			case err == nil:
				answered++
			case !errors.As(err, &failure) || failure.Outcome != gooseberrypass.OutcomeUnknown:
				t.Errorf("got error %v, want a typed one of outcome unknown", err)
			case got.ended || !strings.HasPrefix(want, strings.TrimSuffix(got.text, "?")): // the end marker alone shows an altered piece
				t.Errorf("failed with %q delivered, want a part of %q", got.text, want)
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

// A stream that moves goes on at the same weights from the next piece, and one
// that no endpoint takes goes on where it was.
func TestMovedStream(t *testing.T) {
	tests := []struct {
		name  string
		taken bool
	}{{"taken", true}, {"refused", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var first string
			engine := &scripted{}
			engine.generate = func(to gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
				frames := answerTo(a)
				if a.GetFrom() == 0 {
					first = a.GetAttemptId()
					moved := &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
					moved.Kind = &wire.Frame_Moved{Moved: &wire.Moved{KvCache: []byte("kv of " + to), Next: 2}}
					frames = append(frames[:3:3], append([]*wire.Frame{moved}, frames[3:]...)...)
					return &script{end: io.EOF, frames: frames}, nil
				}
				if !tt.taken || !strings.HasPrefix(string(a.GetKvCache()), "kv of ") {
					return nil, errors.New("connection reset")
				}
				return &script{end: io.EOF, frames: frames}, nil
			}
			r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 1, anyChoices)
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

// A request that breaks its endpoint each time, told by the agent or by the
// connection, costs two endpoints, the second of which it has for itself.
func TestBreakingRequestRunsTwice(t *testing.T) {
	told := func(a *wire.Attempt, _ int) (retrier.FrameStream, error) {
		f := &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
		f.Kind = &wire.Frame_Failed{Failed: &wire.Failed{Outcome: "unknown", Reason: string(gooseberrypass.ReasonCut)}}
		return &script{end: io.EOF, frames: []*wire.Frame{answerTo(a)[0], f}}, nil
	}
	tests := map[string]func(a *wire.Attempt, n int) (retrier.FrameStream, error){
		"told":  told,
		"end":   func(*wire.Attempt, int) (retrier.FrameStream, error) { return &script{end: io.EOF}, nil },
		"reset": func(*wire.Attempt, int) (retrier.FrameStream, error) { return nil, errors.New("connection reset") },
		"first reset": func(a *wire.Attempt, n int) (retrier.FrameStream, error) {
			if n == 1 {
				return nil, errors.New("connection reset")
			}
			return told(a, n)
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			var alone []bool
			engine := &scripted{generate: func(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
				alone = append(alone, a.GetAlone())
				return answer(a, len(alone))
			}}
			r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", ""), newMember("w-2", "")}, engine, 1, anyChoices)
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

// A lateEngine answers in a second, but for the attempts whose answers come only
// once they were given up.
type lateEngine struct {
	*scripted
	attempts int
	late     bool
}

func (e *lateEngine) Generate(ctx context.Context, _ gooseberrypass.ListedInstance, a *wire.Attempt) (retrier.FrameStream, error) {
	e.attempts++
	if e.late {
		e.late = false
		return &lateStream{ctx: ctx, script: script{end: io.EOF, frames: answerTo(a)}}, nil
	}
	time.Sleep(time.Second)
	return &script{end: io.EOF, frames: answerTo(a)}, nil
}

type lateStream struct {
	ctx context.Context
	script
}

func (s *lateStream) Next() (*wire.Frame, error) {
	<-s.ctx.Done()
	return s.script.Next()
}

// An answer that comes after its attempt was given up is not mixed with that of
// the next one.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &lateEngine{scripted: &scripted{}}
		r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 1, anyChoices)
		for i := range 10 {
			engine.late, engine.attempts = i > 0, 0
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

// An error status is no sign that the request broke anything.
func TestErrorStatusIsNoCut(t *testing.T) {
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

// Retries stay within the budget however many requests fail.
func TestRetryBudget(t *testing.T) {
	const requests = 1000
	attempts := 0
	engine := &scripted{generate: func(gooseberrypass.ID, *wire.Attempt) (retrier.FrameStream, error) {
		attempts++
		return nil, errors.New("connection reset")
	}}
	r := newRetrier(t, members{newMember("w-0", ""), newMember("w-1", "")}, engine, 0.1, anyChoices)
	for i := range requests {
		_ = r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, strconv.Itoa(i), true), &caller{})
	}
	if got, want := attempts, requests+requests/10+10; got > want {
		t.Errorf("got %d attempts for %d requests, want at most %d", got, requests, want)
	}
}
