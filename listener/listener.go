// Package listener serves HTTP with the limits that every listener of the
// system keeps, and stops gracefully.
package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// The limits of each listener.
const (
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10 // bytes
	readHeaderTimeout = 10 * time.Second
)

// A Listener serves one handler on one address.
type Listener struct {
	lis    net.Listener
	server *http.Server
}

// Bind binds address.
func Bind(ctx context.Context, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(ctx, "tcp", address)
	return lis, errors.Wrapf(err, "listen on %s", address)
}

// Listen binds address and returns a listener for handler.
func Listen(ctx context.Context, address string, handler http.Handler) (*Listener, error) {
	lis, err := Bind(ctx, address)
	if err != nil {
		return nil, err
	}
	return New(lis, handler), nil
}

// New returns a listener for handler on lis, which it owns.
func New(lis net.Listener, handler http.Handler) *Listener {
	return &Listener{lis: lis, server: &http.Server{
		Handler:           limitBodyTime(handler),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}}
}

// Address returns the address that is bound.
func (l *Listener) Address() string { return l.lis.Addr().String() }

// Close gives up the address of a listener that does not run.
func (l *Listener) Close() error { return l.lis.Close() }

// Kill gives up the address and cuts all connections.
func (l *Listener) Kill() { _ = l.server.Close() }

// Run serves until ctx is done. Then it takes no new connection, and waits up
// to grace for the requests in progress before it cuts them.
func (l *Listener) Run(ctx context.Context, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- l.server.Serve(l.lis) }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s", l.Address())
	case <-ctx.Done():
	}
	return stop(context.WithoutCancel(ctx), l.server, grace, failed)
}

func stop(ctx context.Context, server *http.Server, grace time.Duration, failed <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		err = errors.Wrap(server.Close(), "cut requests in progress")
	}
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		return errors.Wrap(served, "serve")
	}
	return err
}
