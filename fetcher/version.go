package fetcher

import (
	"cmp"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Want is a version that this instance needs whole.
type Want struct {
	Digest     gooseberrypass.Digest // of the manifest
	OriginName string
	Version    string
}

// A Progress tells how far a wanted version is.
type Progress struct {
	Err      string // why it does not go on, "" if it does
	Held     int    // verified chunks
	Manifest *gooseberrypass.Manifest
	Total    int // chunks, 0 until the manifest is here
}

// Whole reports whether every chunk is verified and held.
func (p Progress) Whole() bool { return p.Manifest != nil && p.Err == "" && p.Held == p.Total }

// A version is the state of one wanted version.
type version struct {
	active   bool // has room in memory
	err      string
	items    []*item // in the order of the version; the manifest alone until it is here
	first    int     // no item before this index is missing
	manifest *gooseberrypass.Manifest
	missing  int
	noRoom   string // why it does not fit in memory
	total    int
	want     Want
}

func (v *version) progress() Progress {
	p := Progress{Err: cmp.Or(v.err, v.noRoom), Manifest: v.manifest}
	if v.manifest != nil {
		p.Held, p.Total = v.total-v.missing, v.total
	}
	for _, it := range v.items[v.first:] {
		if p.Err == "" && !it.held {
			p.Err = it.err
		}
	}
	return p
}

// need returns the bytes of memory that the version needs, alone and beside the
// items counted already.
func (v *version) need(counted map[gooseberrypass.Digest]struct{}) (int64, int64) {
	alone := int64(len(v.manifest.Encoded()))
	beside := alone
	for _, it := range v.items[1:] {
		alone += it.Size
		if _, ok := counted[it.Digest]; !ok {
			beside += it.Size
		}
	}
	return alone, beside
}

// An item is the state of one thing to be fetched. Versions that share a chunk
// share its item.
type item struct {
	Item
	asked       time.Time // first try since the last change of plan
	busies      int
	demanded    bool
	err         string
	flying      bool
	held        bool
	holderTries int
	mismatches  int
	originReads int
	owner       gooseberrypass.Digest // manifest of a version it belongs to
	passed      map[gooseberrypass.ID]time.Time
	probes      int
	refusals    int
	resigned    bool // left to the next in rank for want of budget
	retryAt     time.Time
	storeTried  bool
}

func (it *item) pass(id gooseberrypass.ID, until time.Time) {
	if it.passed == nil {
		it.passed = map[gooseberrypass.ID]time.Time{}
	}
	it.passed[id] = until
}
