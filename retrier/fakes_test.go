package retrier_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

type noNames struct{}

func (noNames) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

func weights() gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte("weights")) }

func newConfig(budget float64) fixedConfig {
	return fixedConfig{gooseberrypass.NewConfig(1, noNames{}, []gooseberrypass.Section{
		gooseberrypass.NewSection(gooseberrypass.KindSystem, "system", nil, map[string]any{"retry-budget": budget}),
		gooseberrypass.NewSection(gooseberrypass.KindModel, "jingle", nil, map[string]any{"manifest": weights(), "pool": "p"}),
		gooseberrypass.NewSection(gooseberrypass.KindService, "orders", nil, map[string]any{"pool": "p"}),
	})}
}

type members []gooseberrypass.Member

func (m members) Members() []gooseberrypass.Member { return m }

func newMember(id gooseberrypass.ID, address string) gooseberrypass.Member {
	return gooseberrypass.Member{
		Listed: gooseberrypass.ListedInstance{Address: address, ID: id, Pool: "p", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive},
		Status: &gooseberrypass.AgentStatus{
			EndpointUp: true, Load: gooseberrypass.EngineLoad{Capacity: 1000},
			Loaded:   []gooseberrypass.LoadedVersion{{Digest: weights(), Model: "jingle"}},
			Services: []gooseberrypass.ID{"orders"}, Version: 1000,
		},
	}
}

// fakeSuspects counts the interrupted attempts that a retrier reports.
type fakeSuspects struct {
	interruptions int
	mu            sync.Mutex
}

func (s *fakeSuspects) MustRunAlone(gooseberrypass.Digest) bool { return false }
func (s *fakeSuspects) ReportInterruption(gooseberrypass.Digest, gooseberrypass.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptions++
}
func (s *fakeSuspects) RequestFinished(gooseberrypass.Digest) {}

// unlimitedChoices is more choices than any test makes.
const unlimitedChoices = 1 << 30

// A limitedChooser returns a limited number of tickets and then errors.
type limitedChooser struct {
	next      retrier.Chooser
	remaining atomic.Int64
}

func (l *limitedChooser) Choose(q router.Query) (*router.Ticket, error) {
	if l.remaining.Add(-1) == -1 {
		return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonNoEndpoint}
	}
	return l.next.Choose(q)
}

// newRetrier returns a retrier that can choose an endpoint at most choices times.
func newRetrier(t *testing.T, m members, d retrier.Dispatcher, budget float64, choices int) *retrier.Retrier {
	t.Helper()
	clock, cfg, registry := clockwork.NewRealClock(), newConfig(budget), prometheus.NewRegistry()
	route, err := router.New(clock, cfg, m, gooseberrypass.ListedInstance{ID: "entry"}, 1, registry)
	if err != nil {
		t.Fatal(err)
	}
	chooser := &limitedChooser{next: route}
	chooser.remaining.Store(int64(choices))
	r, err := retrier.New(clock, cfg, chooser, d, &fakeSuspects{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A caller records one answer.
type caller struct {
	ended   bool
	starts  int
	text    string
	weights gooseberrypass.Digest
}

func (c *caller) Start(d gooseberrypass.Digest) error {
	c.starts++
	c.weights = d
	return nil
}

func (c *caller) Write(piece []byte) error {
	c.text += string(piece)
	return nil
}

func (c *caller) End() error {
	c.ended = true
	return nil
}

func newRequest(kind gooseberrypass.RequestKind, body string, repeatable bool) *gooseberrypass.Request {
	target := gooseberrypass.ID("jingle")
	if kind == gooseberrypass.RequestCall {
		target = "orders"
	}
	return gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account: "a", Body: []byte(body), Call: "pay", Deadline: time.Now().Add(time.Minute), Key: body, Kind: kind, MaxTokens: 8,
	}).WithAccountID("a").WithTarget(target, repeatable)
}

// A scriptedStream returns given frames and then the error end.
type scriptedStream struct {
	end    error
	frames []*wire.Frame
}

func (s *scriptedStream) Next() (*wire.Frame, error) {
	if len(s.frames) == 0 {
		return nil, s.end
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

func (s *scriptedStream) Close() error { return nil }

// correctPieces returns the pieces of the only correct answer to a prompt.
func correctPieces(prompt string) []string {
	return []string{"answer ", "to ", prompt, "."}
}

// correctFrames returns the frames of the correct answer to an attempt, starting at
// the piece that the attempt asks for.
func correctFrames(a *wire.Attempt) []*wire.Frame {
	head := func() *wire.Frame {
		return &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
	}
	started := head()
	started.Kind = &wire.Frame_Started{Started: &wire.Started{WeightsDigest: a.GetWeightsDigest()}}
	frames := []*wire.Frame{started}
	var text strings.Builder
	for i, piece := range correctPieces(string(a.GetPrompt())) {
		if int64(i) < a.GetFrom() {
			continue
		}
		f := head()
		f.Kind = &wire.Frame_Piece{Piece: &wire.Piece{Index: int64(i), Text: []byte(piece)}}
		frames = append(frames, f)
		text.WriteString(piece)
	}
	end, digest := head(), gooseberrypass.DigestOf([]byte(text.String()))
	end.Kind = &wire.Frame_End{End: &wire.End{Digest: digest[:], Length: int64(text.Len()), Pieces: int64(len(frames) - 1)}}
	return append(frames, end)
}

// A scriptedDispatcher answers attempts by a function. Every attempt that it is asked
// to refuse has already started.
type scriptedDispatcher struct {
	generate func(to gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error)
	mu       sync.Mutex
	canceled []string
}

func (d *scriptedDispatcher) Call(context.Context, gooseberrypass.ListedInstance, *wire.CallRequest) (*wire.CallResponse, error) {
	return nil, errors.New("no calls here")
}

func (d *scriptedDispatcher) Cancel(_ context.Context, _ gooseberrypass.ListedInstance, id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.canceled = append(d.canceled, id)
	return nil
}

func (d *scriptedDispatcher) Generate(_ context.Context, to gooseberrypass.ListedInstance, a *wire.Attempt) (retrier.FrameStream, error) {
	return d.generate(to.ID, a)
}

func (d *scriptedDispatcher) Refuse(context.Context, gooseberrypass.ListedInstance, string, uint64) (wire.AttemptState, error) {
	return wire.AttemptState_ATTEMPT_STATE_STARTED, nil
}

// A faultyEngine answers some attempts incorrectly: with frames of another attempt,
// duplicated, truncated or altered.
type faultyEngine struct {
	count          int
	mu             sync.Mutex
	previousFrames []*wire.Frame
}

func (e *faultyEngine) generate(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	frames, other := correctFrames(a), e.previousFrames
	e.previousFrames = correctFrames(a)
	e.count++
	s := &scriptedStream{end: io.EOF, frames: frames}
	n := len(frames)
	switch e.count * 7 % 26 {
	case 0: // the answer to the previous attempt
		s.frames = other
	case 1: // truncated before its end marker
		s.frames = frames[:n-1]
	case 2: // truncated, followed by the rest of the previous answer
		s.frames = slices.Concat(frames[:2], other[min(2, len(other)):])
	case 3: // one piece duplicated
		s.frames = slices.Concat(frames[:2], frames[1:])
	case 4: // one piece lost
		s.frames = slices.Concat(frames[:2], frames[3:])
	case 5: // other weights
		frames[0].GetStarted().WeightsDigest = make([]byte, gooseberrypass.DigestSize)
	case 6: // altered text
		frames[n-2].GetPiece().Text = []byte("?")
	case 7: // the complete answer duplicated
		s.frames = slices.Concat(frames, frames)
	case 8: // start frame missing
		s.frames = frames[1:]
	case 9: // connection reset before the first frame
		return nil, errors.New("connection reset")
	case 10: // end marker only
		s.frames = frames[n-1:]
	}
	return s, nil
}

// naiveProxy delivers all pieces until the stream ends without validating them.
func naiveProxy(d retrier.Dispatcher, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
	digest, w := req.Digest(), weights()
	frames, err := d.Generate(context.Background(), gooseberrypass.ListedInstance{ID: "w-0"}, &wire.Attempt{
		AttemptId: "attempt of " + string(req.Body()), Prompt: req.Body(), RequestDigest: digest[:], WeightsDigest: w[:],
	})
	if err != nil {
		return err
	}
	for {
		f, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return answer.End()
		}
		_ = answer.Write(f.GetPiece().GetText())
	}
}

var _ retrier.Dispatcher = (*scriptedDispatcher)(nil)
