package runner

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/answerer"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// An Entry is the process that callers send their requests to.
type Entry struct {
	*process
	callers  *listener.Server // serves callers
	entry    *answerer.Entry
	internal *listener.Server // serves other processes
}

// NewEntry binds the addresses of an entry and creates its parts.
func NewEntry(ctx context.Context, settings *Settings, d Dependencies) (*Entry, error) {
	p, err := newProcess(settings, tracker.SelectSubset(settings.self, tracker.DefaultSubsetSize), d)
	if err != nil {
		return nil, err
	}
	e := &Entry{process: p}
	e.entry, err = answerer.NewEntry(answerer.Dependencies{
		Client:     p.dialer.Client(dialer.ClassAttempt),
		Clock:      p.clock,
		Config:     p.spreader,
		Log:        p.log,
		Logger:     p.logger,
		Membership: p.tracker,
		Post:       p.loop.Post,
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
// those in progress have ended or the grace period is over.
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
	e.callers, err = listener.Listen(ctx, e.settings.callers.String(), e.entry.Handler())
	if err != nil {
		_ = e.internal.Close()
	}
	return err
}
