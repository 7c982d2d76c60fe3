package attributor

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what is remembered of parts.
const (
	frequencyWindow = 10 * time.Second // requests are counted for one to two of these
	maxPromptParts  = 256              // parts of one prompt
	maxParts        = 1 << 14
)

// A part identifies a part of prompts at one service.
type part uint64

func newPart(service gooseberrypass.ID, name string) part {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return part(h.Sum64())
}

// A windowedCount counts in the current and the previous window.
type windowedCount struct{ current, previous int }

func (c windowedCount) sum() int { return c.current + c.previous }

// A partRecord is what is known of one part.
type partRecord struct {
	lastAnswer time.Time // last content of an answer to a prompt with the part, at any entry
	name       string    // as callers send it, "" if this entry received none
	requests   windowedCount
	total      int // requests since the record was made
}

// A serviceRecord is what is known of the requests to one service.
type serviceRecord struct {
	answers  int // begun since the start
	requests windowedCount
	total    int // requests since the start
}

// totals are counts of this entry that only grow.
type totals struct {
	answers  int // begun by the service
	requests int // to the service
	with     int // requests with a part
}

// A partTable has how often parts were requested of late, and when endpoints last
// began an answer on them.
type partTable struct {
	records     map[part]*partRecord
	services    map[gooseberrypass.ID]*serviceRecord
	windowStart time.Time
}

func newPartTable() *partTable {
	return &partTable{records: map[part]*partRecord{}, services: map[gooseberrypass.ID]*serviceRecord{}}
}

// record returns the record of a part, and creates it if there is room. It returns nil
// otherwise.
func (t *partTable) record(key part) *partRecord {
	r, ok := t.records[key]
	if !ok && len(t.records) < maxParts {
		r = &partRecord{}
		t.records[key] = r
	}
	return r
}

func (t *partTable) count(key part, name string) {
	if r := t.record(key); r != nil {
		r.name = name
		r.requests.current++
		r.total++
	}
}

func (t *partTable) countRequest(service gooseberrypass.ID) {
	r := t.service(service)
	r.requests.current++
	r.total++
}

// countAnswer counts an answer that an endpoint of a service began.
func (t *partTable) countAnswer(service gooseberrypass.ID) { t.service(service).answers++ }

// service returns the record of a service, and creates it if there is none.
func (t *partTable) service(id gooseberrypass.ID) *serviceRecord {
	r, ok := t.services[id]
	if !ok {
		r = &serviceRecord{}
		t.services[id] = r
	}
	return r
}

// totals returns the counts of a part at a service.
func (t *partTable) totals(service gooseberrypass.ID, key part) totals {
	var n totals
	if r, ok := t.services[service]; ok {
		n.answers, n.requests = r.answers, r.total
	}
	if r, ok := t.records[key]; ok {
		n.with = r.total
	}
	return n
}

func (t *partTable) answered(key part, at time.Time) {
	if r := t.record(key); r != nil && at.After(r.lastAnswer) {
		r.lastAnswer = at
	}
}

// lastAnswer returns when an endpoint last began an answer on a part, zero if never.
func (t *partTable) lastAnswer(key part) time.Time {
	if r, ok := t.records[key]; ok {
		return r.lastAnswer
	}
	return time.Time{}
}

// name returns the name of a part for logs.
func (t *partTable) name(key part) string {
	if r, ok := t.records[key]; ok && r.name != "" {
		return r.name
	}
	return "#" + strconv.FormatUint(uint64(key), 16)
}

// Log fields of parts of prompts.
const (
	fieldPart   = "part"
	fieldRivals = "rivals" // parts that cannot be told apart from it
)

// names returns the names of parts for logs, of the first few of them.
func (a *Attributor) names(parts []part) []string {
	const most = 8
	names := make([]string, 0, most)
	for _, key := range parts[:min(len(parts), most)] {
		names = append(names, a.parts.name(key))
	}
	return names
}

// requests returns the number of recent requests to a service.
func (t *partTable) requests(service gooseberrypass.ID) int {
	if r, ok := t.services[service]; ok {
		return r.requests.sum()
	}
	return 0
}

// requestsWith returns the number of recent requests with a part.
func (t *partTable) requestsWith(key part) int {
	if r, ok := t.records[key]; ok {
		return r.requests.sum()
	}
	return 0
}

// tracks reports whether a part has a record. The others cannot be cleared.
func (t *partTable) tracks(key part) bool {
	_, ok := t.records[key]
	return ok
}

// rotate starts a new window if the current one is over, and drops the parts that
// neither requests of late nor crashes have.
func (t *partTable) rotate(now time.Time, crashes []*crash) {
	if now.Sub(t.windowStart) < frequencyWindow {
		return
	}
	stale := now.Sub(t.windowStart) >= 2*frequencyWindow
	t.windowStart = now
	suspected := map[part]bool{}
	for _, c := range crashes {
		for _, s := range c.interruptions {
			for _, key := range s.parts {
				suspected[key] = true
			}
		}
	}
	for _, r := range t.services {
		r.requests = r.requests.next(stale)
	}
	for key, r := range t.records {
		r.requests = r.requests.next(stale)
		if r.requests.sum() == 0 && !suspected[key] {
			delete(t.records, key)
		}
	}
}

// next returns the count for a new window. stale drops what was counted in the last one.
func (c windowedCount) next(stale bool) windowedCount {
	if stale {
		return windowedCount{}
	}
	return windowedCount{previous: c.current}
}
