package answerer

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// unsetPriority is the priority of a request whose caller named none.
const unsetPriority gooseberrypass.Priority = -1

func notRun(reason gooseberrypass.Reason, detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: reason}
}

// noConfig is the failure of a request that came before the first
// configuration.
func noConfig() error {
	err := notRun(gooseberrypass.ReasonNoEndpoint, "no configuration is in force yet")
	err.RetryAfter = time.Second
	return err
}

// A deadlineFilter gives each request the deadline of its target if its caller
// named none, and ends the request at its deadline.
type deadlineFilter struct {
	clock  gooseberrypass.Clock
	config gooseberrypass.ConfigSource
}

// Wrap implements gooseberrypass.Filter.
func (f deadlineFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		cfg := f.config.Config()
		if cfg == nil {
			return noConfig()
		}
		if req.Deadline().IsZero() {
			req = req.WithDeadline(f.clock.Now().Add(usualDeadline(cfg, req)))
		}
		if !f.clock.Now().Before(req.Deadline()) {
			return notRun(gooseberrypass.ReasonDeadline, "the deadline has passed")
		}
		ctx, cancel := clockwork.WithDeadline(ctx, f.clock, req.Deadline())
		defer cancel()
		return next.Handle(ctx, req, answer)
	})
}

// defaultDeadline is the time of a request whose target names none.
const defaultDeadline = 30 * time.Second

func usualDeadline(cfg *gooseberrypass.Config, req *gooseberrypass.Request) time.Duration {
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
		return defaultDeadline
	}
	return d
}

// An identityFilter finds the client account behind the name that a caller
// gave, and checks its key.
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

// identify returns the client account with a name, of any scheme, if the key
// fits. It tells nobody whether the name or the key was wrong.
func (f identityFilter) identify(name gooseberrypass.Name, key string) (gooseberrypass.ClientAccount, error) {
	none := gooseberrypass.ClientAccount{}
	cfg := f.config.Config()
	if cfg == nil {
		return none, noConfig()
	}
	unknown := notRun(gooseberrypass.ReasonUnknownClient, "unknown client account or wrong key")
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

// A resolutionFilter finds the model or service behind the name that a caller
// gave.
type resolutionFilter struct {
	config gooseberrypass.ConfigSource
}

// Wrap implements gooseberrypass.Filter.
func (f resolutionFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		cfg := f.config.Config()
		if cfg == nil {
			return noConfig()
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
		return nil, notRun(gooseberrypass.ReasonUnknownTarget, "unknown model "+string(req.Target()))
	}
	return withPriority(cfg, req.WithTarget(id, true).WithMaxTokens(maxTokens(m, req.MaxTokens())), m.Priority()), nil
}

// defaultMaxTokens is the limit of a request where neither its caller nor its
// model sets one.
const defaultMaxTokens = 1024

// maxTokens returns the tokens that a request may have: what its caller wants,
// under the model's limit.
func maxTokens(m gooseberrypass.Model, wanted int) int {
	switch {
	case wanted <= 0 && m.MaxTokens() <= 0:
		return defaultMaxTokens
	case wanted <= 0:
		return m.MaxTokens()
	case m.MaxTokens() <= 0:
		return wanted
	default:
		return min(wanted, m.MaxTokens())
	}
}

func resolveService(cfg *gooseberrypass.Config, req *gooseberrypass.Request) (*gooseberrypass.Request, error) {
	id, _ := cfg.Resolve(gooseberrypass.KindService, req.Target())
	s, ok := cfg.Service(id)
	if !ok {
		return nil, notRun(gooseberrypass.ReasonUnknownTarget, "unknown service "+string(req.Target()))
	}
	if !s.Offers(req.Call()) {
		return nil, notRun(gooseberrypass.ReasonUnknownTarget, "service "+string(req.Target())+" has no call "+req.Call())
	}
	return withPriority(cfg, req.WithTarget(id, s.Repeatable(req.Call())), s.Priority()), nil
}

// withPriority gives a request the usual priority of its target if its caller
// named none, never above what its client account may ask for.
func withPriority(cfg *gooseberrypass.Config, req *gooseberrypass.Request, usual gooseberrypass.Priority) *gooseberrypass.Request {
	if req.Priority() != unsetPriority {
		return req
	}
	if account, ok := cfg.Account(req.AccountID()); ok {
		usual = min(usual, account.MaxPriority())
	}
	return req.WithPriority(usual)
}

var (
	_ gooseberrypass.Filter = deadlineFilter{}
	_ gooseberrypass.Filter = identityFilter{}
	_ gooseberrypass.Filter = resolutionFilter{}
)
