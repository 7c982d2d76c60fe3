package attempter

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	maxRefusals   = 1024 // attempt ids in one Refuse request
	maxStatusWait = 30 * time.Second
)

// A server implements wire.Agent for the agent.
type server struct {
	caller   *serviceCaller // nil beside an engine
	clock    gooseberrypass.Clock
	registry *registry
	reporter *statusReporter
}

// Call implements wire.Agent.
func (s *server) Call(ctx context.Context, m *wire.CallRequest) (*wire.CallResponse, error) {
	if err := checkIdentity(m.GetAttemptId(), m.GetRequestDigest()); err != nil {
		return nil, twirp.InvalidArgumentError("attempt_id", err.Error())
	}
	resp := &wire.CallResponse{AttemptId: m.GetAttemptId(), RequestDigest: m.GetRequestDigest()}
	body, err := s.call(ctx, m)
	if err != nil {
		e := asRequestError(err)
		resp.Outcome, resp.Reason, resp.Detail = e.Outcome.String(), string(e.Reason), e.Detail
		return resp, nil
	}
	digest := gooseberrypass.DigestOf(body)
	resp.Body, resp.BodyDigest = body, digest[:]
	resp.Outcome = gooseberrypass.OutcomeAnswered.String()
	return resp, nil
}

func (s *server) call(ctx context.Context, m *wire.CallRequest) ([]byte, error) {
	if s.caller == nil {
		return nil, notRun(gooseberrypass.ReasonNotLoaded, "no service here")
	}
	return s.caller.call(ctx, m)
}

// Cancel implements wire.Agent. A call that was already sent to a plain service
// is not cancelled.
func (s *server) Cancel(_ context.Context, m *wire.CancelRequest) (*wire.CancelResponse, error) {
	return &wire.CancelResponse{Found: s.registry.cancelAttempt(m.GetAttemptId())}, nil
}

// Refuse implements wire.Agent. It settles each attempt and returns its state.
func (s *server) Refuse(_ context.Context, m *wire.RefuseRequest) (*wire.RefuseResponse, error) {
	if len(m.GetAttemptIds()) > maxRefusals {
		return nil, twirp.InvalidArgumentError("attempt_ids", "too many")
	}
	resp := &wire.RefuseResponse{States: make([]wire.AttemptState, 0, len(m.GetAttemptIds()))}
	for _, id := range m.GetAttemptIds() {
		resp.States = append(resp.States, s.refuse(id))
	}
	return resp, nil
}

func (s *server) refuse(id string) wire.AttemptState {
	if id == "" || len(id) > maxIDSize {
		return wire.AttemptState_ATTEMPT_STATE_UNKNOWN
	}
	switch s.registry.refuse(id) {
	case phaseRefused:
		return wire.AttemptState_ATTEMPT_STATE_REFUSED
	case phaseNone:
		return wire.AttemptState_ATTEMPT_STATE_UNKNOWN
	default:
		return wire.AttemptState_ATTEMPT_STATE_STARTED
	}
}

// Status implements wire.Agent. It waits until the status differs from the
// version that the reader has. Changes of load alone are delayed for as long as
// the reader asks.
func (s *server) Status(ctx context.Context, m *wire.StatusRequest) (*wire.StatusResponse, error) {
	wait := statusWait(m.GetWaitMs())
	if m.GetVersion() == 0 || wait <= 0 {
		return s.reporter.response(s.clock.Now()), nil
	}
	timeout := s.clock.NewTimer(wait)
	defer timeout.Stop()
	loadDue := s.clock.NewTimer(statusWait(m.GetLoadWaitMs()))
	defer loadDue.Stop()
	due := m.GetLoadWaitMs() <= 0
	for {
		p := s.reporter.published.Load()
		if p.stateVersion > m.GetVersion() || p.status.Version < m.GetVersion() || due && p.status.Version != m.GetVersion() {
			return s.reporter.response(s.clock.Now()), nil
		}
		select {
		case <-p.replaced:
		case <-loadDue.Chan():
			due = true
		case <-timeout.Chan():
			return s.reporter.response(s.clock.Now()), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "status no longer wanted")
		}
	}
}

// statusWait converts a wait in milliseconds that a reader asked for, limited to
// 0 to maxStatusWait.
func statusWait(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatusWait.Milliseconds())) * time.Millisecond
}

var _ wire.Agent = (*server)(nil)
