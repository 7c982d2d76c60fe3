package reserver

import (
	"math"
	"time"
)

// paceTime is the shortest time over which the pace of a body counts, once it has arrived for so
// long. A body that was fast and trickles now is told after twice this time.
const paceTime = time.Second

// A mark is what had arrived of a body at some time.
type mark struct {
	at    time.Time
	bytes int64
}

// A pace is how fast a body arrives, and when it has to be there.
type pace struct {
	announced int64 // length of the body, -1 if unknown
	began     time.Time
	bytes     int64     // arrived
	due       time.Time // zero for no limit
	last      mark      // at least paceTime after prev
	limit     int64     // most bytes of the body, 0 if unknown
	prev      mark
}

// newPace returns the pace of a body that may take so long, 0 for any time.
func newPace(now time.Time, most time.Duration) pace {
	p := pace{announced: -1, began: now, last: mark{at: now}, prev: mark{at: now}}
	if most > 0 {
		p.due = now.Add(most)
	}
	return p
}

// arrive records that n bytes have arrived.
func (p *pace) arrive(now time.Time, n int64) {
	p.bytes += n
	if now.Sub(p.last.at) >= paceTime {
		p.prev, p.last = p.last, mark{at: now, bytes: p.bytes}
	}
}

// resume records the end of a wait for which the caller is not to blame.
func (p *pace) resume(now time.Time, waited time.Duration) {
	p.began = p.began.Add(waited)
	p.last = mark{at: now, bytes: p.bytes}
	p.prev = p.last
}

// left returns how much longer the body is expected to need at its pace, and 0 if that was not
// watched for least. A body of unknown length is expected to need as long again as so far.
func (p *pace) left(now time.Time, least time.Duration) time.Duration {
	watched := now.Sub(p.prev.at)
	if watched < least {
		return 0
	}
	age := now.Sub(p.began)
	if p.limit == 0 {
		return age
	}
	length := p.announced
	if length < 0 {
		length = p.limit
	}
	if length <= p.bytes {
		return 0
	}
	need := time.Duration(math.MaxInt64)
	if d := float64(watched) * float64(length-p.bytes) / float64(p.bytes-p.prev.bytes); d < math.MaxInt64 {
		need = time.Duration(d)
	}
	if p.announced < 0 && p.bytes > p.prev.bytes {
		need = min(need, age)
	}
	return need
}

// late reports whether a body that needs so much longer ends after its time.
func (p *pace) late(now time.Time, left time.Duration) bool {
	return !p.due.IsZero() && left > p.due.Sub(now)
}
