package attempter

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/monitor"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A serviceCaller runs calls to the plain service. It is safe for concurrent
// use.
type serviceCaller struct {
	configs  gooseberrypass.ConfigSource
	instance gooseberrypass.ListedInstance
	monitor  *monitor.Monitor
	runner   *runner
	service  gooseberrypass.PlainService
}

// call runs one call. It ignores cancellation by the client's connection,
// because a call cannot be recalled once it is sent, and ends at its deadline.
func (c *serviceCaller) call(ctx context.Context, m *wire.CallRequest) ([]byte, error) {
	if err := checkCall(m); err != nil {
		return nil, err
	}
	var answer []byte
	err := c.runner.runAttempt(context.WithoutCancel(ctx), task{
		account:  gooseberrypass.ID(m.GetAccount()),
		check:    func() error { return c.admit(gooseberrypass.ID(m.GetService()), m.GetCall()) },
		class:    m.GetService() + "/" + m.GetCall(),
		cost:     1,
		detached: true,
		digest:   gooseberrypass.Digest(m.GetRequestDigest()),
		id:       m.GetAttemptId(),
		lifetime: lifetimeOf(m.GetDeadlineMs()),
		priority: gooseberrypass.Priority(m.GetPriority()),
		run: func(ctx context.Context, p *progress) error {
			var err error
			answer, err = c.run(ctx, p, m)
			return err
		},
	})
	return answer, err
}

// admit checks that the instance serves the call and that the service is up.
func (c *serviceCaller) admit(id gooseberrypass.ID, call string) error {
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
	if !c.monitor.Snapshot().Up {
		return notRun(gooseberrypass.ReasonNotLoaded, "service is down")
	}
	return nil
}

// run sends the call to the service and classifies its error.
func (c *serviceCaller) run(ctx context.Context, p *progress, m *wire.CallRequest) ([]byte, error) {
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
	p.disconnected = isDisconnect(ctx, err)
	if ctx.Err() != nil {
		return nil, interruptedError(ctx, e.Outcome != gooseberrypass.OutcomeNotRun)
	}
	return nil, e
}
