package attempter

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A caller runs calls of the plain service. It is safe for concurrent use.
type caller struct {
	configs    gooseberrypass.ConfigSource
	instance   gooseberrypass.ListedInstance
	runner     *runner
	service    gooseberrypass.PlainService
	supervisor *supervisor.Supervisor
}

// call runs one call. The call is not bound to its connection: once sent it
// cannot be taken back, so it goes on until its deadline.
func (c *caller) call(ctx context.Context, m *wire.CallRequest) ([]byte, error) {
	if err := checkCall(m); err != nil {
		return nil, err
	}
	var answer []byte
	err := c.runner.attempt(context.WithoutCancel(ctx), task{
		account:  gooseberrypass.ID(m.GetAccount()),
		check:    func() error { return c.admit(gooseberrypass.ID(m.GetService()), m.GetCall()) },
		class:    m.GetService() + "/" + m.GetCall(),
		cost:     1,
		digest:   gooseberrypass.Digest(m.GetRequestDigest()),
		final:    true,
		id:       m.GetAttemptId(),
		life:     lifeOf(m.GetDeadlineMs()),
		priority: gooseberrypass.Priority(m.GetPriority()),
		run: func(ctx context.Context, p *progress) error {
			var err error
			answer, err = c.run(ctx, p, m)
			return err
		},
	})
	return answer, err
}

func (c *caller) admit(id gooseberrypass.ID, call string) error {
	cfg := c.configs.Config()
	if cfg == nil {
		return notRun(gooseberrypass.ReasonNotLoaded, "no configuration yet")
	}
	s, ok := cfg.Service(id)
	if !ok || s.Pool() != cfg.PoolOf(c.instance) {
		return notRun(gooseberrypass.ReasonNotLoaded, "service is not served here")
	}
	if !s.Offers(call) {
		return notRun(gooseberrypass.ReasonBadRequest, "service has no such call")
	}
	if !c.supervisor.Snapshot().Up {
		return notRun(gooseberrypass.ReasonNotLoaded, "service is down")
	}
	return nil
}

func (c *caller) run(ctx context.Context, p *progress, m *wire.CallRequest) ([]byte, error) {
	p.cost = 1
	answer, err := c.service.Call(ctx, gooseberrypass.ServiceCall{
		AttemptID: m.GetAttemptId(),
		Body:      m.GetBody(),
		Call:      m.GetCall(),
		Key:       m.GetKey(),
	})
	if err == nil {
		return answer, nil
	}
	e := asRequestError(err)
	p.cut = cutOff(ctx, err)
	if ctx.Err() != nil {
		return nil, interrupted(ctx, e.Outcome != gooseberrypass.OutcomeNotRun)
	}
	return nil, e
}
