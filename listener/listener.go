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

// unusedTimeout is how long a shutdown waits for the first request on a connection.
const unusedTimeout = time.Second

// A Server serves one handler on one address.
type Server struct {
	conns *connections
	http  *http.Server
	lis   *acceptor
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

// ListenLimited is Listen for callers that nobody controls.
func ListenLimited(ctx context.Context, address string, handler http.Handler, limits Limits) (*Server, error) {
	lis, err := Bind(ctx, address)
	if err != nil {
		return nil, err
	}
	return newServer(lis, handler, &limits), nil
}

// New returns a server for handler on lis. It takes ownership of lis.
func New(lis net.Listener, handler http.Handler) *Server { return newServer(lis, handler, nil) }

func newServer(lis net.Listener, handler http.Handler, limits *Limits) *Server {
	conns := newConnections(limits)
	s := &Server{conns: conns, lis: &acceptor{Listener: lis, conns: conns, limits: limits}}
	s.http = &http.Server{
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:         s.conns.observe,
		Handler:           s.claimConns(limitBodyTime(handler)),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return s
}

// claimConns wraps next so that a request is handled only if its connection will not be
// closed as idle.
func (s *Server) claimConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if !s.conns.claim(c) {
			panic(http.ErrAbortHandler)
		}
		ctx, ok := c.withHeadMemory(r.Context())
		if !ok {
			c.limits.Refused(ReasonHeadMemory)
			refuse(w)
			return
		}
		if ctx != r.Context() {
			r = r.WithContext(ctx)
		}
		next.ServeHTTP(w, r)
		if s.conns.isClosing() || w.Header().Get("Connection") == "close" {
			c.discard.Store(true)
		}
	})
}

// refuse refuses a request that was not handled and closes its connection.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Address returns the bound address.
func (s *Server) Address() string { return s.lis.Addr().String() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.conns.open() }

// Close releases the address of a server on which Run was not called.
func (s *Server) Close() error { return s.lis.Close() }

// Kill releases the address and closes all connections immediately.
func (s *Server) Kill() { _ = s.http.Close() }

// Run serves until ctx is done. It then stops accepting connections, closes those that
// are idle and waits up to grace for the requests in progress and those that arrive on
// other connections, before it closes their connections.
func (s *Server) Run(ctx context.Context, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.lis) }()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serve %s", s.Address())
	case <-ctx.Done():
	}
	return s.shutdown(context.WithoutCancel(ctx), grace, served)
}

// shutdown stops the server. served receives the result of Serve.
//
// Shutdown of net/http is not used: it drops requests that were read while it begins, and
// those on connections that were accepted shortly before.
func (s *Server) shutdown(ctx context.Context, grace time.Duration, served <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	s.conns.close()
	s.http.SetKeepAlivesEnabled(false) // it would close a connection whose request was just read, if close did not run before
	if err := s.lis.stop(); err != nil {
		return err
	}
	serveErr := <-served
	s.conns.wait(ctx, unusedTimeout)
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close connections of requests in progress")
	}
	if !errors.Is(serveErr, net.ErrClosed) && !errors.Is(serveErr, http.ErrServerClosed) {
		return errors.Wrap(serveErr, "serve")
	}
	return nil
}
