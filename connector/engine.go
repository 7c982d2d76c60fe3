package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Engine is the client of a model engine.
type Engine struct {
	attempts client // of generations
	client   client
}

// NewEngine returns a client of the engine at baseURL.
func NewEngine(httpClient *http.Client, baseURL string) *Engine {
	return &Engine{attempts: newSingleUseClient(httpClient, baseURL), client: newClient(httpClient, baseURL)}
}

// CacheEvents implements gooseberrypass.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]gooseberrypass.CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/cache-events?after=" + strconv.FormatUint(after, 10)
	r, err := e.client.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	var events []gooseberrypass.CacheEvent
	if err := e.client.exchangeJSON(r, http.StatusOK, maxEventsSize, &events); err != nil {
		return nil, err
	}
	return events, nil
}

// Cancel implements gooseberrypass.Engine. It is no error if the engine does
// not know the attempt.
func (e *Engine) Cancel(ctx context.Context, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := e.client.newRequest(ctx, http.MethodDelete, attemptPath(attemptID), nil)
	if err != nil {
		return err
	}
	_, err = e.client.exchange(r, http.StatusNoContent, maxDetailSize)
	if statusCode(err) == http.StatusNotFound {
		return nil
	}
	return err
}

// ExportKV implements gooseberrypass.Engine.
func (e *Engine) ExportKV(ctx context.Context, attemptID string) ([]byte, error) {
	r, err := e.client.newRequest(ctx, http.MethodGet, attemptPath(attemptID)+"/kv", nil)
	if err != nil {
		return nil, err
	}
	return e.client.exchange(r, http.StatusOK, maxKVSize)
}

// Generate implements gooseberrypass.Engine. ctx bounds the whole stream. Errors
// are *gooseberrypass.RequestError. Their outcome is "not run" only if that is
// certain.
func (e *Engine) Generate(
	ctx context.Context,
	order gooseberrypass.GenerateOrder,
) (gooseberrypass.TokenStream, error) {
	var trace sendTrace
	r, err := e.attempts.newJSONRequest(trace.attach(ctx), http.MethodPost, "/generate", order)
	if err != nil {
		return nil, &gooseberrypass.RequestError{
			Detail:  err.Error(),
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonBadRequest,
		}
	}
	resp, err := e.attempts.send(r, http.StatusOK) //nolint:bodyclose // closed by the stream
	if err != nil {
		return nil, generateError(&trace, err)
	}
	return NewTokenStream(resp.Body), nil
}

// Order implements gooseberrypass.Engine. It returns when the engine has
// accepted the order; State shows when the load is complete. An order with an
// outdated fence is gooseberrypass.ErrOldFence.
func (e *Engine) Order(ctx context.Context, order gooseberrypass.Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := e.client.newJSONRequest(ctx, http.MethodPost, "/orders", order)
	if err != nil {
		return err
	}
	_, err = e.client.exchange(r, http.StatusAccepted, maxDetailSize)
	if statusCode(err) == http.StatusConflict {
		return fmt.Errorf("%w: %w", gooseberrypass.ErrOldFence, err)
	}
	return err
}

// State implements gooseberrypass.Engine.
func (e *Engine) State(ctx context.Context) (gooseberrypass.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := e.client.newRequest(ctx, http.MethodGet, "/state", nil)
	if err != nil {
		return gooseberrypass.EngineState{}, err
	}
	var state gooseberrypass.EngineState
	if err := e.client.exchangeJSON(r, http.StatusOK, maxStateSize, &state); err != nil {
		return gooseberrypass.EngineState{}, err
	}
	if state.BootID == "" {
		return gooseberrypass.EngineState{}, errors.Wrap(ErrInvalidResponse, "engine state has no boot ID")
	}
	return state, nil
}

// generateError is requestError for Generate, where 400 and 404 also mean that the
// request did not run.
func generateError(trace *sendTrace, err error) *gooseberrypass.RequestError {
	e := requestError(trace, err)
	switch statusCode(err) {
	case http.StatusBadRequest:
		e.Outcome, e.Reason = gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonBadRequest
	case http.StatusNotFound:
		e.Outcome, e.Reason = gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonNotLoaded
	}
	return e
}

func attemptPath(attemptID string) string {
	return "/attempts/" + url.PathEscape(attemptID)
}

var _ gooseberrypass.Engine = (*Engine)(nil)
