package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/answerer"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// The part of the grace period that is left for final answers to requests that have not
// ended: the longest one, and the share of a short grace period. It includes the time in
// which agents are told to refuse attempts that may not have begun.
const (
	finalAnswerTime  = 3 * time.Second
	finalAnswerShare = 4 // one part of so many
)

// An Entry is the process that callers send their requests to.
type Entry struct {
	*process
	callers  *listener.Server // serves callers
	entry    *answerer.Entry
	expire   context.CancelFunc // cancels the requests in progress
	guard    *callerGuard
	internal *listener.Server // serves other processes
}

// NewEntry binds the addresses of an entry and creates its parts.
func NewEntry(ctx context.Context, settings *Settings, d Dependencies) (*Entry, error) {
	p, err := newProcess(settings, tracker.SelectSubset(settings.self, tracker.DefaultSubsetSize), d)
	if err != nil {
		return nil, err
	}
	guard, err := newCallerGuard(p.clock, settings.memory, settings.maxFiles, p.registry, p.logger)
	if err != nil {
		return nil, err
	}
	e := &Entry{guard: guard, process: p}
	e.entry, err = answerer.NewEntry(answerer.Dependencies{
		Client:     p.dialer.Client(dialer.ClassAttempt),
		Clock:      p.clock,
		Config:     p.spreader,
		Log:        p.log,
		Logger:     p.logger,
		Membership: p.tracker,
		Memory:     guard.budget,
		Post:       p.loop.Post,
		Refused:    guard.count,
		Registerer: p.registry,
		Seed:       p.seed,
		Self:       settings.self,
	})
	if err != nil {
		return nil, errors.Wrap(err, "create request path")
	}
	p.loop.Add(e.entry.Controllers()...)
	return e, e.bind(ctx)
}

// CallersAddress returns the address for callers.
func (e *Entry) CallersAddress() string { return e.callers.Address() }

// InternalAddress returns the address for other processes.
func (e *Entry) InternalAddress() string { return e.internal.Address() }

// Run serves until ctx is done. It then accepts no new requests and returns when
// those in progress have ended or the grace period is over. Shortly before, it cancels
// those that have not ended, so that their callers get an answer.
func (e *Entry) Run(ctx context.Context) error {
	failed, stopParts := start(ctx, e.loop.Run, func(ctx context.Context) error {
		return e.internal.Run(ctx, closeTimeout)
	})
	callersFailed, stopCallers := start(ctx, func(ctx context.Context) error {
		return e.callers.Run(ctx, e.settings.grace)
	})
	e.logger.WithField("callers", e.CallersAddress()).WithField("system", e.InternalAddress()).Info("entry started")
	var cause error
	select {
	case <-ctx.Done():
		e.logger.Info("entry stopping")
		grace := e.settings.grace
		defer e.clock.AfterFunc(grace-min(finalAnswerTime, grace/finalAnswerShare), e.expire).Stop()
	case cause = <-failed:
	case cause = <-callersFailed:
	}
	for _, stop := range []func() error{stopCallers, stopParts} {
		if err := stop(); cause == nil {
			cause = err
		}
	}
	return cause
}

func (e *Entry) bind(ctx context.Context) error {
	server := wire.NewEntryServer(e.entry)
	handler := e.internalHandler(e.ready, listener.Route{Handler: server, Pattern: server.PathPrefix()})
	lis, err := listener.Bind(ctx, e.settings.listen.String())
	if err != nil {
		return err
	}
	e.internal = listener.New(e.dialer.WrapListener(lis), handler)
	expired, expire := context.WithCancel(context.WithoutCancel(ctx))
	e.expire = expire
	limits := e.guard.limits(func() listener.HeadLimits { return listener.HeadLimits{} })
	e.callers, err = listener.ListenLimited(ctx, e.settings.callers.String(), listener.CancelRequests(expired, e.entry.Handler()), limits)
	if err != nil {
		_ = e.internal.Close()
	}
	return err
}
