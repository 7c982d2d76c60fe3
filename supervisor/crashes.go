package supervisor

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	crashLife   = 10 * time.Minute
	maxCrashes  = 16
	maxSuspects = 256
)

// crashes finds crashes of the endpoint and keeps the last ones. Cut
// connections are only suspicious; the endpoint crashed if it is unreachable
// after them, or has another boot id.
type crashes struct {
	count    int
	cuts     []gooseberrypass.Digest
	cutAt    time.Time // of the last cut
	firstCut time.Time // since the endpoint was last seen alive
	instance gooseberrypass.ID
	list     []gooseberrypass.Crash
	open     bool   // further cuts belong to the last crash
	openBoot string // boot of that crash
	openID   string
}

func newCrashes(instance gooseberrypass.ID) *crashes {
	return &crashes{instance: instance}
}

// alive tells that a reading begun at start found the same boot: cuts before it
// were no crash, nor was it one that the endpoint could not be read. A plain
// service has no boot id, so its crash stands.
func (c *crashes) alive(start time.Time, boot string) {
	if !start.Before(c.cutAt) {
		c.cuts, c.firstCut = nil, time.Time{}
	}
	if c.open && boot != "" {
		c.list = slices.DeleteFunc(c.list, func(k gooseberrypass.Crash) bool { return k.ID == c.openID })
	}
	c.open = false
}

// cut tells that connections of the endpoint were cut.
func (c *crashes) cut(now time.Time, boot string, flights []Flight) {
	for _, f := range flights {
		if len(c.cuts) < maxSuspects && !c.cameAfter(f) {
			c.cuts = append(c.cuts, f.Request)
		}
	}
	c.cutAt = now
	if c.open && c.openBoot == boot {
		c.record(now, boot)
	}
}

// cameAfter reports whether a request began when the endpoint had cut others
// already: it met a dead endpoint and had no part in its death.
func (c *crashes) cameAfter(f Flight) bool {
	if f.Cut.IsZero() {
		return false
	}
	if c.firstCut.IsZero() || f.Cut.Before(c.firstCut) {
		c.firstCut = f.Cut
	}
	return f.Started.After(c.firstCut)
}

func (c *crashes) cutting() bool { return len(c.cuts) > 0 }

// recent returns the crashes kept, the oldest first.
func (c *crashes) recent(now time.Time) []gooseberrypass.Crash {
	c.list = slices.DeleteFunc(c.list, func(k gooseberrypass.Crash) bool {
		return now.Sub(k.At) > crashLife
	})
	return slices.Clone(c.list)
}

// restart tells that the endpoint has another boot id than boot.
func (c *crashes) restart(now time.Time, boot string, flights []Flight) {
	for _, f := range flights {
		c.cuts = append(c.cuts, f.Request)
	}
	c.record(now, boot)
	c.open, c.firstCut = false, time.Time{}
}

// unreachable tells that the endpoint can't be read.
func (c *crashes) unreachable(now time.Time, boot string) {
	if !c.cutting() {
		return
	}
	c.record(now, boot)
	c.open, c.openBoot = true, boot
}

// record adds the cut requests to the crash of boot, which may be a new one. A
// crash without requests is counted only.
func (c *crashes) record(now time.Time, boot string) {
	i := len(c.list) - 1
	if !c.open || c.openBoot != boot || i < 0 {
		c.count++
		if len(c.cuts) == 0 {
			return
		}
		c.openID = fmt.Sprintf("%s/%s/%d", c.instance, boot, now.UnixNano())
		c.list = append(c.list, gooseberrypass.Crash{At: now, ID: c.openID})
		c.list = c.list[max(len(c.list)-maxCrashes, 0):]
		i = len(c.list) - 1
	}
	requests := slices.Clone(c.list[i].Requests)
	for _, d := range c.cuts {
		if len(requests) < maxSuspects && !slices.Contains(requests, d) {
			requests = append(requests, d)
		}
	}
	c.list[i].Requests = requests
	c.cuts = nil
}
