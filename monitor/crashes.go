package monitor

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	crashRetention = 10 * time.Minute
	maxCrashes     = 16
	maxSuspects    = 256 // requests per crash
)

// A crashTracker detects crashes of the endpoint and keeps the recent ones. Lost
// connections alone are no crash: the endpoint crashed if it is unreachable
// afterwards or has another boot ID.
type crashTracker struct {
	count           int
	firstDisconnect time.Time // first lost connection since the endpoint was last seen alive
	instance        gooseberrypass.ID
	lastDisconnect  time.Time
	open            bool   // further suspects belong to the last crash
	openBoot        string // boot ID in the last crash
	openID          string // ID of the last crash
	recorded        []gooseberrypass.Crash
	suspects        []gooseberrypass.Digest // requests with lost connections that belong to no crash yet
}

func newCrashTracker(instance gooseberrypass.ID) *crashTracker {
	return &crashTracker{instance: instance}
}

// alive handles a successful poll that started at start and found the boot ID
// unchanged. Connections lost before it were no crash, and neither was an
// endpoint that could not be polled for a while, so an open crash is removed. A
// plain service has no boot ID to prove this, so its crash is kept.
func (c *crashTracker) alive(start time.Time, boot string) {
	if !start.Before(c.lastDisconnect) {
		c.suspects, c.firstDisconnect = nil, time.Time{}
	}
	if c.open && boot != "" {
		c.recorded = slices.DeleteFunc(c.recorded, func(k gooseberrypass.Crash) bool { return k.ID == c.openID })
	}
	c.open = false
}

// disconnected handles requests whose connections to the endpoint were lost.
func (c *crashTracker) disconnected(now time.Time, boot string, requests []RunningRequest) {
	for _, r := range requests {
		if len(c.suspects) < maxSuspects && !c.startedAfterDisconnect(r) {
			c.suspects = append(c.suspects, r.Request)
		}
	}
	c.lastDisconnect = now
	if c.open && c.openBoot == boot {
		c.record(now, boot)
	}
}

// startedAfterDisconnect reports whether a request started after connections of
// others had been lost. Such a request reached a crashed endpoint and can't have
// caused the crash.
func (c *crashTracker) startedAfterDisconnect(r RunningRequest) bool {
	if r.DisconnectedAt.IsZero() {
		return false
	}
	if c.firstDisconnect.IsZero() || r.DisconnectedAt.Before(c.firstDisconnect) {
		c.firstDisconnect = r.DisconnectedAt
	}
	return r.StartedAt.After(c.firstDisconnect)
}

func (c *crashTracker) hasSuspects() bool { return len(c.suspects) > 0 }

// recent returns the crashes within crashRetention, oldest first.
func (c *crashTracker) recent(now time.Time) []gooseberrypass.Crash {
	c.recorded = slices.DeleteFunc(c.recorded, func(k gooseberrypass.Crash) bool {
		return now.Sub(k.At) > crashRetention
	})
	return slices.Clone(c.recorded)
}

// restarted handles an endpoint whose boot ID is no longer boot. requests are those
// that were in flight on the old boot.
func (c *crashTracker) restarted(now time.Time, boot string, requests []RunningRequest) {
	for _, r := range requests {
		c.suspects = append(c.suspects, r.Request)
	}
	c.record(now, boot)
	c.open, c.firstDisconnect = false, time.Time{}
}

// unreachable handles an endpoint that can't be polled.
func (c *crashTracker) unreachable(now time.Time, boot string) {
	if !c.hasSuspects() {
		return
	}
	c.record(now, boot)
	c.open, c.openBoot = true, boot
}

// record moves the suspects to the open crash of boot, or to a new crash if there
// is none. A new crash without suspects is only counted.
func (c *crashTracker) record(now time.Time, boot string) {
	i := len(c.recorded) - 1
	if !c.open || c.openBoot != boot || i < 0 {
		c.count++
		if len(c.suspects) == 0 {
			return
		}
		c.openID = fmt.Sprintf("%s/%s/%d", c.instance, boot, now.UnixNano())
		c.recorded = append(c.recorded, gooseberrypass.Crash{At: now, ID: c.openID})
		c.recorded = c.recorded[max(len(c.recorded)-maxCrashes, 0):]
		i = len(c.recorded) - 1
	}
	requests := slices.Clone(c.recorded[i].Requests)
	for _, d := range c.suspects {
		if len(requests) < maxSuspects && !slices.Contains(requests, d) {
			requests = append(requests, d)
		}
	}
	c.recorded[i].Requests = requests
	c.suspects = nil
}
