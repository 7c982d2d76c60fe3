// Package answerer implements the caller API of an entry process. It converts
// HTTP requests to requests for the filter chain and converts their results to
// HTTP responses.
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

// Limits on HTTP request bodies, in bytes.
const (
	maxCallBody    = 1 << 20
	maxRequestBody = 8 << 20 // JSON escaping can expand a 1 MiB prompt to about 6 MiB
)

// Outcomes looks up the recorded outcome of a call by its idempotency key.
type Outcomes interface {
	Outcome(ctx context.Context, account gooseberrypass.ID, key string) (claimer.Outcome, error)
}

// An Answerer implements the caller API on top of a filter chain.
type Answerer struct {
	chain    gooseberrypass.Handler
	clock    gooseberrypass.Clock
	identity identityFilter
	outcomes Outcomes
}

// New returns an HTTP handler for the caller API. Requests are passed to chain;
// outcomes serves lookups by idempotency key.
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

// A flushWriter flushes after every write, so that each event of a stream is
// sent without buffering.
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

// Unwrap returns the underlying writer, for http.ResponseController.
func (w flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// CallService implements api.Handler.
func (a *Answerer) CallService(ctx context.Context, body api.CallServiceReq, params api.CallServiceParams) (*api.CallAnswer, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxCallBody+1))
	if err != nil {
		return nil, notRunError(gooseberrypass.ReasonBadRequest, "read body: "+err.Error())
	}
	if len(content) > maxCallBody {
		return nil, notRunError(gooseberrypass.ReasonBadRequest, "the body is longer than 1 MiB")
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
	answer, err := a.collect(ctx, req)
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
	answer, err := a.collect(ctx, req)
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

// collect runs the chain and returns the complete answer. It returns an error
// if the chain succeeds without ending the answer.
func (a *Answerer) collect(ctx context.Context, req *gooseberrypass.Request) (*bufferedAnswer, error) {
	answer := &bufferedAnswer{}
	if err := a.chain.Handle(ctx, req, answer); err != nil {
		return nil, err
	}
	if !answer.ended {
		return nil, &gooseberrypass.RequestError{Detail: "the answer has no end marker", Reason: gooseberrypass.ReasonCut}
	}
	return answer, nil
}

// stream returns the answer as a stream of server-sent events. A failure before
// the answer starts is returned as an ordinary error response; a later failure
// is sent as the last event of the stream.
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

// runStream runs the chain and closes the stream when the answer ends or fails.
// Writes fail once the reader is closed, which ends the chain as well. An error
// before the answer starts is sent to failed instead of the stream.
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
		err = answer.fail(toRequestError(err))
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
	return newFailureResponse(toRequestError(err))
}

// deadline converts a timeout in milliseconds to a point in time. It returns the
// zero time if the caller set no timeout.
func (a *Answerer) deadline(ms api.OptInt64) time.Time {
	timeout, ok := ms.Get()
	if !ok {
		return time.Time{}
	}
	return a.clock.Now().Add(time.Duration(timeout) * time.Millisecond)
}

// priorityOf returns the caller's priority, or unsetPriority.
func priorityOf(priority api.OptInt) gooseberrypass.Priority {
	p, ok := priority.Get()
	if !ok {
		return unsetPriority
	}
	return gooseberrypass.Priority(p)
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

var _ api.Handler = (*Answerer)(nil)
