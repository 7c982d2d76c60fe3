// Package listener serves HTTP with the timeouts and limits common to all servers
// of the system, and shuts down gracefully.
package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Limits of each server.
const (
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10 // bytes
	readHeaderTimeout = 10 * time.Second
)

// A Server serves one handler on one address.
type Server struct {
	http *http.Server
	lis  net.Listener
}

// Bind listens on a TCP address.
func Bind(ctx context.Context, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(ctx, "tcp", address)
	return lis, errors.Wrapf(err, "listen on %s", address)
}

// Listen binds a TCP address and returns a server for handler on it.
func Listen(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	lis, err := Bind(ctx, address)
	if err != nil {
		return nil, err
	}
	return New(lis, handler), nil
}

// New returns a server for handler on lis. It takes ownership of lis.
func New(lis net.Listener, handler http.Handler) *Server {
	return &Server{lis: lis, http: &http.Server{
		Handler:           limitBodyTime(handler),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}}
}

// Address returns the bound address.
func (s *Server) Address() string { return s.lis.Addr().String() }

// Close releases the address of a server on which Run was not called.
func (s *Server) Close() error { return s.lis.Close() }

// Kill releases the address and closes all connections immediately.
func (s *Server) Kill() { _ = s.http.Close() }

// Run serves until ctx is done. It then stops accepting connections and waits up
// to grace for the requests in progress before it closes their connections.
func (s *Server) Run(ctx context.Context, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.lis) }()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serve %s", s.Address())
	case <-ctx.Done():
	}
	return shutdown(context.WithoutCancel(ctx), s.http, grace, served)
}

// shutdown stops server and waits for the result of Serve on served.
func shutdown(ctx context.Context, server *http.Server, grace time.Duration, served <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		err = errors.Wrap(server.Close(), "close connections of requests in progress")
	}
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		return errors.Wrap(serveErr, "serve")
	}
	return err
}
