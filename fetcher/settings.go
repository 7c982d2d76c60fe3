package fetcher

import (
	"math/bits"
	"time"
)

// Settings configure a Planner. A field that is zero has its default value, unless
// its comment gives a meaning of 0.
type Settings struct {
	CrossRegionInFlight int           // maximum concurrent reads from other regions
	Fanout              int           // number of instances of its region that an instance sends a chunk to
	InitialTimeout      time.Duration // timeout of a transfer before any was measured
	InitialWindow       int           // window until transfers prove to be fast; 0 starts with the full window
	MaxTimeout          time.Duration // maximum timeout of a transfer
	MinTimeout          time.Duration // minimum timeout of a transfer
	MismatchBackoffBase time.Duration // pause after the second read of an item from the origin that does not match the digest; doubled each time
	MismatchBackoffMax  time.Duration // maximum pause after such a read
	OriginInFlight      int           // maximum concurrent reads from the origin
	PeerBackoffBase     time.Duration // backoff of a peer after its first failure; doubled each time
	PeerBackoffMax      time.Duration // maximum backoff of a peer
	PendingPause        time.Duration // how long a peer is skipped after too many ResultPending; 0 means as long as it was waited for
	SkipPause           time.Duration // how long one peer is skipped for one item
	SlowTransfer        time.Duration // duration of a transfer above which the window is reduced; 0 never reduces it
	SourceBackoffBase   time.Duration // backoff of the weight store or the origin after its first failure; doubled each time
	SourceBackoffMax    time.Duration // maximum backoff of the weight store or the origin
	StoreInFlight       int           // maximum concurrent reads from the weight store
	Wait                time.Duration // how long a peer may delay its response until it holds the item
	Window              int           // number of missing items considered at once; 0 grows with the number of instances
}

const (
	defaultFanout              = 2
	defaultInFlight            = 4
	defaultInitialTimeout      = time.Minute
	defaultMaxTimeout          = 5 * time.Minute
	defaultMinTimeout          = 2 * time.Second
	defaultMismatchBackoffBase = 30 * time.Second
	defaultMismatchBackoffMax  = 10 * time.Minute
	defaultPeerBackoffBase     = 5 * time.Second
	defaultPeerBackoffMax      = 2 * time.Minute
	defaultSkipPause           = 10 * time.Second
	defaultSourceBackoffBase   = 500 * time.Millisecond
	defaultSourceBackoffMax    = time.Minute
	defaultWait                = 5 * time.Second
	windowBase                 = 16 // items
	windowPerDoubling          = 6  // items added each time the number of instances doubles
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.CrossRegionInFlight, defaultInFlight)
	setDefault(&s.Fanout, defaultFanout)
	setDefault(&s.InitialTimeout, defaultInitialTimeout)
	setDefault(&s.MaxTimeout, defaultMaxTimeout)
	setDefault(&s.MinTimeout, defaultMinTimeout)
	setDefault(&s.MismatchBackoffBase, defaultMismatchBackoffBase)
	setDefault(&s.MismatchBackoffMax, defaultMismatchBackoffMax)
	setDefault(&s.OriginInFlight, defaultInFlight)
	setDefault(&s.PeerBackoffBase, defaultPeerBackoffBase)
	setDefault(&s.PeerBackoffMax, defaultPeerBackoffMax)
	setDefault(&s.SkipPause, defaultSkipPause)
	setDefault(&s.SourceBackoffBase, defaultSourceBackoffBase)
	setDefault(&s.SourceBackoffMax, defaultSourceBackoffMax)
	setDefault(&s.StoreInFlight, defaultInFlight)
	setDefault(&s.Wait, defaultWait)
	return s
}

// setDefault sets v to value if v is zero.
func setDefault[T ~int | ~int64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// window returns how many missing items are considered at once in a pool of n
// instances. It grows with the depth of the distribution tree, as does the time
// until a chunk arrives.
func (s Settings) window(n int) int {
	if s.Window > 0 {
		return s.Window
	}
	return windowBase + windowPerDoubling*bits.Len(uint(n))
}
