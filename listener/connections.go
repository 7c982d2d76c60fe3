package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// A connState is what a server knows of one connection.
type connState struct {
	busy   bool      // a request is being handled
	closed bool      // closed by the server while it was not busy
	since  time.Time // when it was opened or became idle
	used   bool      // a request has been handled
}

// connections tracks the connections of a server. In a shutdown it closes those that
// are idle, and never one whose request is handled.
type connections struct {
	changed chan struct{}        // receives after a connection ended
	closed  int                  // connections in states that the server has closed
	closing bool                 // idle connections are closed
	choices []reserver.ConnState // of conns
	conns   []net.Conn           // buffer of choose
	full    bool                 // the limit of connections was reached
	fullAt  time.Time            // when it was last reached
	limits  *Limits              // nil for none
	mu      sync.Mutex
	states  map[net.Conn]*connState
}

func newConnections(limits *Limits) *connections {
	return &connections{changed: make(chan struct{}, 1), limits: limits, states: map[net.Conn]*connState{}}
}

// observe implements http.Server.ConnState.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.states[conn] = &connState{since: time.Now()}
	case http.StateIdle:
		if s, ok := c.states[conn]; ok {
			s.busy, s.since = false, time.Now()
			endRequest(conn)
			c.closeIdle(conn, s)
		}
	case http.StateClosed, http.StateHijacked:
		if s, ok := c.states[conn]; ok && s.closed {
			c.closed--
		}
		delete(c.states, conn)
		select {
		case c.changed <- struct{}{}:
		default:
		}
	case http.StateActive:
	}
}

// claim marks a connection as busy. It returns false if the connection was closed
// before: its request must not be handled.
func (c *connections) claim(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[conn]
	if !ok || s.closed {
		return false
	}
	s.busy, s.used = true, true
	beginRequest(conn)
	return true
}

// isClosing reports whether connections are closed after their answers.
func (c *connections) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// close closes the connections that are idle, now and later.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn, s := range c.states {
		c.closeIdle(conn, s)
	}
}

// closeUnused closes the connections on which no request has arrived.
func (c *connections) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		s.used = true
		c.closeIdle(conn, s)
	}
}

// closeIdle closes a connection that is idle during a shutdown.
func (c *connections) closeIdle(conn net.Conn, s *connState) {
	if !c.closing || s.busy || !s.used || s.closed {
		return
	}
	c.closeConn(conn, s)
}

// closeConn closes a connection that is not busy.
func (c *connections) closeConn(conn net.Conn, s *connState) {
	s.closed = true
	c.closed++
	_ = conn.Close()
}

// wait returns when all connections have ended or ctx is done. Connections that stay
// without a request for unusedTimeout are closed.
func (c *connections) wait(ctx context.Context, unusedTimeout time.Duration) {
	unused := time.NewTimer(unusedTimeout)
	defer unused.Stop()
	for {
		c.mu.Lock()
		left := len(c.states)
		c.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		case <-unused.C:
			c.closeUnused()
		}
	}
}
