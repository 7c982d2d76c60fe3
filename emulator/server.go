// Package emulator emulates the services of the platform in memory, for tests and
// experiments: the log, the origin, the weight store, the instance list, the model
// engine and plain services. Each emulator is an http.Handler for the protocol of
// docs/PLATFORM.md, and injects faults that can be changed while it runs.
package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// maxAdminSize bounds the body of a request to an administrative endpoint, in
// bytes.
const maxAdminSize = 1 << 20

// A Server serves one emulator on one address.
type Server struct {
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
	http   *http.Server
}

// Serve listens on addr, an IP address and a port, where port 0 selects a free
// one, and serves handler until Close.
func Serve(addr string, handler http.Handler) (*Server, error) {
	var cfg net.ListenConfig
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	s := &Server{
		addr:   listener.Addr().String(),
		cancel: cancel,
		done:   make(chan struct{}),
		http: &http.Server{
			BaseContext:       func(net.Listener) context.Context { return ctx },
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Close aborts the requests in progress and stops listening.
func (s *Server) Close() error {
	s.cancel()
	err := s.http.Close()
	<-s.done
	return errors.WithStack(err)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes a request body of at most limit bytes. If that fails, it
// responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// readBody reads a request body of at most limit bytes. If that fails, it
// responds with status 413 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}
