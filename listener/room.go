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
	if c.replace(now) {
		return true
	}
	c.limits.Refused(ReasonConnRefused)
	return false
}

// replace closes a connection without a request or makes a busy one end: one that is stuck in its
// head, whose body will not end in its time, that is idle, whose body is stalled or slow, or one
// that is new, in this order. It returns false if there is none, or if it would be a new one only
// because too many others are about to end.
func (c *connections) replace(now time.Time) bool {
	chosen, state := c.choose(now)
	if chosen != nil && state.Stuck(now) {
		c.evict(chosen)
		return true
	}
	crowded := c.crowded()
	switch {
	case !crowded && c.limits.GiveUpLate != nil && c.limits.GiveUpLate():
		return true
	case chosen != nil && !state.New(now):
	case !crowded && c.limits.OnFull():
		return true
	case chosen == nil || crowded:
		return false
	}
	c.evict(chosen)
	return true
}

// evict closes a connection without a request.
func (c *connections) evict(conn net.Conn) {
	c.closeConn(conn, c.states[conn])
	c.limits.Refused(ReasonConnEvicted)
}

// choose returns the connection without a request that is to close first, nil if there is none.
func (c *connections) choose(now time.Time) (net.Conn, reserver.ConnState) {
	conns, states := c.conns[:0], c.choices[:0]
	for open, s := range c.states {
		if s.closed || s.busy {
			continue
		}
		state := reserver.ConnState{Since: s.since, Used: s.used}
		if limited, ok := open.(*conn); ok {
			if at := limited.headAt.Load(); at != nil {
				state.Since, state.Used = *at, false
			}
		}
		conns, states = append(conns, open), append(states, state)
	}
	defer clear(conns) // so that none is kept
	c.conns, c.choices = conns, states
	i := reserver.ChooseConn(now, states)
	if i < 0 {
		return nil, reserver.ConnState{}
	}
	return conns[i], states[i]
}

// crowded reports whether too many connections are about to end. One that takes its time to read
// its refusal has to make room.
func (c *connections) crowded() bool {
	leaving := len(c.states) - c.closed - c.limits.MaxConns
	return leaving >= reserver.MaxLeaving(c.limits.MaxConns) && !c.endDiscard()
}

// endDiscard closes the connection whose input has been discarded for longest. It returns false
// if there is none.
func (c *connections) endDiscard() bool {
	var oldest *conn
	var oldestAt time.Time
	for open, s := range c.states {
		limited, ok := open.(*conn)
		if !ok || s.closed {
			continue
		}
		if at := limited.discardAt.Load(); at != nil && (oldest == nil || at.Before(oldestAt)) {
			oldest, oldestAt = limited, *at
		}
	}
	if oldest == nil {
		return false
	}
	oldest.discardAt.Store(nil)
	return oldest.SetReadDeadline(time.Now()) == nil
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
