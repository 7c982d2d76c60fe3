// Package answerer is the caller API of an entry: it turns HTTP requests into
// requests of the filter chain, and outcomes into HTTP responses.
package answerer

import (
	"context"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/api"
	"github.com/gooseberrypass/gooseberrypass/claimer"
)

// The limits of what a caller sends, in bytes.
const (
	maxCallBody    = 1 << 20
	maxRequestBody = 8 << 20 // a prompt of 1 MiB may be escaped to some 6 MiB
)

// Outcomes tells what became of calls by their idempotency keys.
type Outcomes interface {
	Outcome(ctx context.Context, account gooseberrypass.ID, key string) (claimer.Outcome, error)
}

// An Answerer implements the caller API over a chain of filters.
type Answerer struct {
	chain    gooseberrypass.Handler
	clock    gooseberrypass.Clock
	identity identityFilter
	outcomes Outcomes
}

// New returns the handler of the caller API over chain.
func New(clock gooseberrypass.Clock, config gooseberrypass.ConfigSource, chain gooseberrypass.Handler, outcomes Outcomes) (http.Handler, error) {
	a := &Answerer{chain: chain, clock: clock, identity: identityFilter{config: config}, outcomes: outcomes}
	server, err := api.NewServer(a, api.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBody)
		server.ServeHTTP(flushWriter{ResponseWriter: w, controller: http.NewResponseController(w)}, r)
	}), nil
}

// A flushWriter sends what is written at once.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write implements io.Writer.
func (w flushWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}

// Unwrap returns the writer below, for http.ResponseController.
func (w flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// CallService implements api.Handler.
func (a *Answerer) CallService(ctx context.Context, body api.CallServiceReq, params api.CallServiceParams) (*api.CallAnswer, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxCallBody+1))
	if err != nil {
		return nil, notRun(gooseberrypass.ReasonBadRequest, "read body: "+err.Error())
	}
	if len(content) > maxCallBody {
		return nil, notRun(gooseberrypass.ReasonBadRequest, "the body is longer than 1 MiB")
	}
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account:    gooseberrypass.Name(params.ClientAccount),
		AccountKey: params.ClientKey.Or(""),
		Body:       content,
		Call:       params.Call,
		Deadline:   a.deadline(params.DeadlineMs),
		ID:         newRequestID(),
		Key:        params.IdempotencyKey.Or(""),
		Kind:       gooseberrypass.RequestCall,
		Priority:   priorityOf(params.Priority),
		Target:     gooseberrypass.Name(params.Service),
	})
	answer, err := a.whole(ctx, req)
	if err != nil {
		return nil, err
	}
	return &api.CallAnswer{Body: answer.body, Outcome: gooseberrypass.OutcomeAnswered.String()}, nil
}

// Generate implements api.Handler.
func (a *Answerer) Generate(ctx context.Context, body *api.GenerateRequest, params api.GenerateParams) (api.GenerateRes, error) {
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account:    gooseberrypass.Name(params.ClientAccount),
		AccountKey: params.ClientKey.Or(""),
		Body:       []byte(body.Prompt),
		Deadline:   a.deadline(body.DeadlineMs),
		ID:         newRequestID(),
		Kind:       gooseberrypass.RequestGenerate,
		MaxTokens:  body.MaxTokens.Or(0),
		Priority:   priorityOf(body.Priority),
		Target:     gooseberrypass.Name(body.Model),
	})
	if body.Stream.Or(false) {
		return a.stream(ctx, req)
	}
	answer, err := a.whole(ctx, req)
	if err != nil {
		return nil, err
	}
	if !utf8.Valid(answer.body) {
		return nil, &gooseberrypass.RequestError{Detail: errNotText.Error(), Reason: gooseberrypass.ReasonUpstream}
	}
	return &api.GenerateAnswer{
		Digest:  gooseberrypass.DigestOf(answer.body).String(),
		Length:  int64(len(answer.body)),
		Outcome: gooseberrypass.OutcomeAnswered.String(),
		Text:    string(answer.body),
		Weights: answer.weights.String(),
	}, nil
}

func (a *Answerer) whole(ctx context.Context, req *gooseberrypass.Request) (*wholeAnswer, error) {
	answer := &wholeAnswer{}
	if err := a.chain.Handle(ctx, req, answer); err != nil {
		return nil, err
	}
	if !answer.ended {
		return nil, &gooseberrypass.RequestError{Detail: "the answer has no end marker", Reason: gooseberrypass.ReasonCut}
	}
	return answer, nil
}

// stream answers with events as they come. Until the answer starts a failure
// is a plain response; after that it is the last event of the stream.
func (a *Answerer) stream(ctx context.Context, req *gooseberrypass.Request) (api.GenerateRes, error) {
	ctx, cancel := context.WithCancel(ctx)
	reader, writer := io.Pipe()
	answer := newStreamAnswer(writer)
	failed := make(chan error, 1)
	go func() {
		defer cancel()
		a.runStream(ctx, req, answer, failed)
	}()
	select {
	case <-answer.started:
		return &api.GenerateOKTextEventStream{Data: reader}, nil
	case err := <-failed:
		return nil, err
	}
}

// runStream runs the chain until the answer ended, failed, or its reader is
// gone.
func (a *Answerer) runStream(ctx context.Context, req *gooseberrypass.Request, answer *streamAnswer, failed chan<- error) {
	err := a.chain.Handle(ctx, req, answer)
	select {
	case <-answer.started:
	default:
		if err == nil {
			err = &gooseberrypass.RequestError{Detail: "the answer never started", Reason: gooseberrypass.ReasonCut}
		}
		failed <- err
		return
	}
	if err != nil {
		err = answer.fail(typed(err))
	}
	_ = answer.w.CloseWithError(err)
}

// KeyOutcome implements api.Handler.
func (a *Answerer) KeyOutcome(ctx context.Context, params api.KeyOutcomeParams) (*api.KeyOutcome, error) {
	account, err := a.identity.identify(gooseberrypass.Name(params.ClientAccount), params.ClientKey.Or(""))
	if err != nil {
		return nil, err
	}
	outcome, err := a.outcomes.Outcome(ctx, account.ID(), params.Key)
	if err != nil {
		return nil, err
	}
	answer := &api.KeyOutcome{Body: outcome.Body, Outcome: outcome.Outcome.String()}
	if outcome.Detail != "" {
		answer.Detail = api.NewOptString(outcome.Detail)
	}
	return answer, nil
}

// NewError implements api.Handler.
func (a *Answerer) NewError(_ context.Context, err error) *api.FailureStatusCodeWithHeaders {
	return failureResponse(typed(err))
}

func (a *Answerer) deadline(ms api.OptInt64) time.Time {
	left, ok := ms.Get()
	if !ok {
		return time.Time{}
	}
	return a.clock.Now().Add(time.Duration(left) * time.Millisecond)
}

func priorityOf(priority api.OptInt) gooseberrypass.Priority {
	p, ok := priority.Get()
	if !ok {
		return unsetPriority
	}
	return gooseberrypass.Priority(p)
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

var _ api.Handler = (*Answerer)(nil)
