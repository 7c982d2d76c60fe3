package fetcher

import (
	"cmp"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Want is a version that this instance needs completely.
type Want struct {
	Digest     gooseberrypass.Digest // digest of the manifest
	OriginName string                // name of the model at the origin
	Version    string                // name of the version at the origin
}

// Progress is the progress of fetching a version.
type Progress struct {
	Err      string                   // why it makes no progress, "" if it does
	Held     int                      // number of verified chunks
	Manifest *gooseberrypass.Manifest // nil until it is held
	Total    int                      // number of chunks, 0 until the manifest is held
	Waiting  bool                     // not fetched, as more urgent versions use the chunk memory
}

// Complete reports whether the version is complete: every chunk is verified and held.
func (p Progress) Complete() bool { return p.Manifest != nil && p.Err == "" && p.Held == p.Total }

// A version is the state of one wanted version.
type version struct {
	active    bool    // fits in chunk memory and is fetched
	err       string  // why its manifest can't be read
	first     int     // index in items before which none is missing
	items     []*item // the manifest, followed by the chunks in order once it is held
	manifest  *gooseberrypass.Manifest
	memoryErr string // why it does not fit in chunk memory even alone
	missing   int    // number of chunks that are not held
	total     int    // number of distinct chunks
	want      Want
}

func (v *version) progress() Progress {
	p := Progress{Err: cmp.Or(v.err, v.memoryErr), Manifest: v.manifest, Waiting: v.waiting()}
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

// waiting reports whether the version would fit in chunk memory, but not beside the more
// urgent versions.
func (v *version) waiting() bool { return !v.active && v.memoryErr == "" }

// memory returns the bytes of chunk memory that the version needs: alone, and in
// addition to the items in counted.
func (v *version) memory(counted map[gooseberrypass.Digest]struct{}) (int64, int64) {
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

// countMissing counts the chunks that are not held.
func (v *version) countMissing() {
	v.first, v.missing = 0, 0
	for _, it := range v.items {
		if !it.held && !it.Manifest {
			v.missing++
		}
	}
}

// An item is the state of one Item to be fetched. Versions that share a chunk share
// its item.
type item struct {
	Item
	busyAnswers    int
	demanded       bool   // requested by another instance
	err            string // why it can't be fetched, "" if it can
	held           bool
	inFlight       bool
	mismatches     int // reads from the origin that did not match the digest
	notHeldAnswers int
	originReads    int
	owner          gooseberrypass.Digest // manifest of a version that it belongs to
	probes         int
	retryAt        time.Time
	seederTries    int
	skipUntil      map[gooseberrypass.ID]time.Time // when a skipped peer may be asked again, by peer
	storeTried     bool
	waitingSince   time.Time // first fetch, or the last time a pending peer was skipped
	yielded        bool      // left to the next in rank because the budget is spent
}

// skip excludes a peer as a source of the item for some time.
func (it *item) skip(id gooseberrypass.ID, until time.Time) {
	if it.skipUntil == nil {
		it.skipUntil = map[gooseberrypass.ID]time.Time{}
	}
	it.skipUntil[id] = until
}
