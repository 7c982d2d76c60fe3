package answerer

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// unsetPriority marks a request whose caller specified no priority.
const unsetPriority gooseberrypass.Priority = -1

func notRunError(reason gooseberrypass.Reason, detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: reason}
}

// noConfigError returns the error for a request that arrives before the first
// configuration has been read.
func noConfigError() error {
	err := notRunError(gooseberrypass.ReasonNoEndpoint, "no configuration is in force yet")
	err.RetryAfter = time.Second
	return err
}

// A deadlineFilter cancels each request at its deadline. A request without one
// gets the default deadline of its target.
type deadlineFilter struct {
	clock  gooseberrypass.Clock
	config gooseberrypass.ConfigSource
}

// Wrap implements gooseberrypass.Filter.
func (f deadlineFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		cfg := f.config.Config()
		if cfg == nil {
			return noConfigError()
		}
		if req.Deadline().IsZero() {
			req = req.WithDeadline(f.clock.Now().Add(targetTimeout(cfg, req)))
		}
		if !f.clock.Now().Before(req.Deadline()) {
			return notRunError(gooseberrypass.ReasonDeadline, "the deadline has passed")
		}
		ctx, cancel := clockwork.WithDeadline(ctx, f.clock, req.Deadline())
		defer cancel()
		return next.Handle(ctx, req, answer)
	})
}

// defaultTimeout applies if neither the caller nor the target sets a deadline.
const defaultTimeout = 30 * time.Second

// targetTimeout returns the time that the request's model or service allows by
// default, or defaultTimeout.
func targetTimeout(cfg *gooseberrypass.Config, req *gooseberrypass.Request) time.Duration {
	d := time.Duration(0)
	if req.Kind() == gooseberrypass.RequestCall {
		if id, ok := cfg.Resolve(gooseberrypass.KindService, req.Target()); ok {
			s, _ := cfg.Service(id)
			d = s.Deadline()
		}
	} else if id, ok := cfg.Resolve(gooseberrypass.KindModel, req.Target()); ok {
		m, _ := cfg.Model(id)
		d = m.Deadline()
	}
	if d <= 0 {
		return defaultTimeout
	}
	return d
}

// An identityFilter authenticates the client account of a request and lowers the
// request's priority to the account's maximum.
type identityFilter struct {
	config gooseberrypass.ConfigSource
}

// Wrap implements gooseberrypass.Filter.
func (f identityFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		account, err := f.identify(req.Account(), req.AccountKey())
		if err != nil {
			return err
		}
		req = req.WithAccountID(account.ID())
		if req.Priority() > account.MaxPriority() {
			req = req.WithPriority(account.MaxPriority())
		}
		return next.Handle(ctx, req, answer)
	})
}

// identify returns the client account with the given name, in any naming scheme,
// if the key matches. The error is the same for an unknown name and a wrong key,
// so that callers cannot find out which accounts exist. An account without a key
// digest accepts any key.
func (f identityFilter) identify(name gooseberrypass.Name, key string) (gooseberrypass.ClientAccount, error) {
	none := gooseberrypass.ClientAccount{}
	cfg := f.config.Config()
	if cfg == nil {
		return none, noConfigError()
	}
	unknown := notRunError(gooseberrypass.ReasonUnknownClient, "unknown client account or wrong key")
	id, ok := cfg.Resolve(gooseberrypass.KindClientAccount, name)
	if !ok {
		return none, unknown
	}
	account, ok := cfg.Account(id)
	if !ok {
		return none, unknown
	}
	want, got := account.KeyDigest(), gooseberrypass.DigestOf([]byte(key))
	if !want.IsZero() && subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return none, unknown
	}
	return account, nil
}

// A resolutionFilter resolves the target name of a request to a model or service
// and applies the target's defaults.
type resolutionFilter struct {
	config gooseberrypass.ConfigSource
}

// Wrap implements gooseberrypass.Filter.
func (f resolutionFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		cfg := f.config.Config()
		if cfg == nil {
			return noConfigError()
		}
		resolve := resolveModel
		if req.Kind() == gooseberrypass.RequestCall {
			resolve = resolveService
		}
		resolved, err := resolve(cfg, req)
		if err != nil {
			return err
		}
		return next.Handle(ctx, resolved, answer)
	})
}

func resolveModel(cfg *gooseberrypass.Config, req *gooseberrypass.Request) (*gooseberrypass.Request, error) {
	id, _ := cfg.Resolve(gooseberrypass.KindModel, req.Target())
	m, ok := cfg.Model(id)
	if !ok {
		return nil, notRunError(gooseberrypass.ReasonUnknownTarget, "unknown model "+string(req.Target()))
	}
	return withDefaultPriority(cfg, req.WithTarget(id, true).WithMaxTokens(maxTokens(m, req.MaxTokens())), m.Priority()), nil
}

// defaultMaxTokens applies if neither the caller nor the model sets a token limit.
const defaultMaxTokens = 1024

// maxTokens returns the token limit of a request: the number of tokens that its
// caller requested, at most the model's limit. A value of 0 or less means unset.
func maxTokens(m gooseberrypass.Model, requested int) int {
	switch {
	case requested <= 0 && m.MaxTokens() <= 0:
		return defaultMaxTokens
	case requested <= 0:
		return m.MaxTokens()
	case m.MaxTokens() <= 0:
		return requested
	default:
		return min(requested, m.MaxTokens())
	}
}

func resolveService(cfg *gooseberrypass.Config, req *gooseberrypass.Request) (*gooseberrypass.Request, error) {
	id, _ := cfg.Resolve(gooseberrypass.KindService, req.Target())
	s, ok := cfg.Service(id)
	if !ok {
		return nil, notRunError(gooseberrypass.ReasonUnknownTarget, "unknown service "+string(req.Target()))
	}
	if !s.Offers(req.Call()) {
		return nil, notRunError(gooseberrypass.ReasonUnknownTarget, "service "+string(req.Target())+" has no call "+req.Call())
	}
	return withDefaultPriority(cfg, req.WithTarget(id, s.Repeatable(req.Call())), s.Priority()), nil
}

// withDefaultPriority sets the priority of a request whose caller specified none to
// that of its target, limited to the maximum of its client account.
func withDefaultPriority(cfg *gooseberrypass.Config, req *gooseberrypass.Request, targetPriority gooseberrypass.Priority) *gooseberrypass.Request {
	if req.Priority() != unsetPriority {
		return req
	}
	if account, ok := cfg.Account(req.AccountID()); ok {
		targetPriority = min(targetPriority, account.MaxPriority())
	}
	return req.WithPriority(targetPriority)
}

var (
	_ gooseberrypass.Filter = deadlineFilter{}
	_ gooseberrypass.Filter = identityFilter{}
	_ gooseberrypass.Filter = resolutionFilter{}
)
