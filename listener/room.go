package listener

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// fullTime is the time without a connection at the limit after which the limit no longer counts
// as reached. It bounds the log lines.
const fullTime = 5 * time.Second

func beginRequest(c net.Conn) {
	if limited, ok := c.(*conn); ok {
		limited.begin()
	}
}

func endRequest(c net.Conn) {
	if limited, ok := c.(*conn); ok {
		limited.end()
	}
}

// open returns the number of open connections.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states) - c.closed
}

// makeRoom makes room for a new connection at the limit. It closes one without a request or
// makes a busy one end. It returns false if there is none.
func (c *connections) makeRoom() bool {
	if c.limits == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.states)-c.closed < c.limits.MaxConns {
		if c.full && now.Sub(c.fullAt) >= fullTime {
			c.setFull(false)
		}
		return true
	}
	c.fullAt = now
	if !c.full {
		c.setFull(true)
	}
	if c.evict(now) {
		c.limits.Refused(ReasonConnEvicted)
		return true
	}
	if c.limits.OnFull() {
		return true
	}
	c.limits.Refused(ReasonConnRefused)
	return false
}

// evict closes a connection without a request. It returns false if there is none.
func (c *connections) evict(now time.Time) bool {
	conns := make([]net.Conn, 0, len(c.states))
	states := make([]reserver.ConnState, 0, len(c.states))
	for open, s := range c.states {
		if s.closed {
			continue
		}
		state := reserver.ConnState{Busy: s.busy, Since: s.since, Used: s.used}
		if limited, ok := open.(*conn); ok {
			if at := limited.headAt.Load(); at != nil {
				state.Since, state.Used = *at, false
			}
		}
		conns, states = append(conns, open), append(states, state)
	}
	i := reserver.ChooseConn(now, states)
	if i < 0 {
		return false
	}
	c.closeConn(conns[i], c.states[conns[i]])
	return true
}

// setFull records and logs whether the limit is reached. The caller holds c.mu.
func (c *connections) setFull(full bool) {
	c.full = full
	log := c.limits.Logger.WithFields(logrus.Fields{"connections": len(c.states) - c.closed, "limit": c.limits.MaxConns})
	if full {
		log.Warn("limit of callers' connections reached")
	} else {
		log.Info("callers' connections below their limit again")
	}
}
