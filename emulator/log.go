package emulator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of the log.
const (
	maxBatchRecords = 1000
	maxBatchSize    = 8 << 20 // bytes
	maxLogWait      = time.Minute
	maxRecordSize   = 4 << 20 // bytes
	maxStreams      = 10000
)

// LogSettings are the limits of a Log. 0 stands for no limit.
type LogSettings struct {
	AppendRate float64       // appends a second, over all streams
	MaxAge     time.Duration // records are kept for
	MaxRecords int           // records kept in each stream
}

// A Log stands in for the platform's log service.
type Log struct {
	FaultSwitch
	handler http.Handler
	limiter *rate.Limiter
	set     LogSettings

	mu      sync.Mutex
	streams map[gooseberrypass.Stream]*logStream
}

// NewLog returns an empty log.
func NewLog(clock gooseberrypass.Clock, settings LogSettings) *Log {
	limit := rate.Inf
	if settings.AppendRate > 0 {
		limit = rate.Limit(settings.AppendRate)
	}
	l := &Log{
		FaultSwitch: FaultSwitch{clock: clock},
		limiter:     rate.NewLimiter(limit, max(1, int(settings.AppendRate))),
		set:         settings,
		streams:     map[gooseberrypass.Stream]*logStream{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /streams", l.list)
	mux.HandleFunc("GET /streams/{stream}/records", l.read)
	mux.HandleFunc("POST /streams/{stream}/records", l.append)
	l.handler = l.wrap(mux)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

type recordDocument struct {
	Body   []byte                `json:"body"`
	Offset gooseberrypass.Offset `json:"offset"`
	Time   time.Time             `json:"time"`
}

type batchDocument struct {
	First   gooseberrypass.Offset `json:"first"`
	Next    gooseberrypass.Offset `json:"next"`
	Records []recordDocument      `json:"records"`
}

// A logStream is one stream: the records kept, which are dense.
type logStream struct {
	changed chan struct{} // closed by the next append
	first   gooseberrypass.Offset
	records []recordDocument
}

func newLogStream() *logStream {
	return &logStream{changed: make(chan struct{}), first: 1}
}

func (s *logStream) next() gooseberrypass.Offset {
	return s.first + gooseberrypass.Offset(len(s.records))
}

// trim drops the records that are too old or too many.
func (s *logStream) trim(now time.Time, set LogSettings) {
	drop := 0
	if set.MaxRecords > 0 {
		drop = max(0, len(s.records)-set.MaxRecords)
	}
	for set.MaxAge > 0 && drop < len(s.records) && now.Sub(s.records[drop].Time) > set.MaxAge {
		drop++
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.first += gooseberrypass.Offset(drop)
}

// batch returns the records from offset from on, within the limits of a batch.
func (s *logStream) batch(from gooseberrypass.Offset, limit int) batchDocument {
	b := batchDocument{First: s.first, Next: s.next(), Records: []recordDocument{}}
	size := 0
	for i := int(min(from, s.next()) - s.first); i < len(s.records) && len(b.Records) < limit; i++ {
		size += len(s.records[i].Body)
		if len(b.Records) > 0 && size > maxBatchSize {
			break
		}
		b.Records = append(b.Records, s.records[i])
	}
	return b
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxRecordSize)
	if !ok {
		return
	}
	now := l.clock.Now()
	if !l.limiter.AllowN(now, 1) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	l.mu.Lock()
	s, ok := l.stream(gooseberrypass.Stream(r.PathValue("stream")), now)
	if !ok {
		l.mu.Unlock()
		http.Error(w, "too many streams", http.StatusInsufficientStorage)
		return
	}
	offset := s.next()
	s.records = append(s.records, recordDocument{Body: body, Offset: offset, Time: now})
	close(s.changed)
	s.changed = make(chan struct{})
	s.trim(now, l.set)
	l.mu.Unlock()
	writeJSON(w, http.StatusCreated, recordDocument{Offset: offset, Time: now})
}

// stream returns the trimmed stream of a name and makes it if it is new. The
// caller holds the lock.
func (l *Log) stream(name gooseberrypass.Stream, now time.Time) (*logStream, bool) {
	s, ok := l.streams[name]
	if ok {
		s.trim(now, l.set)
		return s, true
	}
	if len(l.streams) >= maxStreams {
		return nil, false
	}
	s = newLogStream()
	l.streams[name] = s
	return s, true
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "bad from", http.StatusBadRequest)
		return
	}
	wait, err := parseDuration(query.Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxBatchRecords {
		limit = maxBatchRecords
	}
	stream := gooseberrypass.Stream(r.PathValue("stream"))
	l.await(r.Context(), stream, gooseberrypass.Offset(from), min(wait, maxLogWait))
	l.answer(w, stream, max(1, gooseberrypass.Offset(from)), limit)
}

// await waits for a record at offset from.
func (l *Log) await(ctx context.Context, name gooseberrypass.Stream, from gooseberrypass.Offset, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		s, ok := l.stream(name, l.clock.Now())
		if !ok || s.next() > from {
			l.mu.Unlock()
			return
		}
		changed := s.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-timer.Chan():
			return
		}
	}
}

func (l *Log) answer(w http.ResponseWriter, name gooseberrypass.Stream, from gooseberrypass.Offset, limit int) {
	if l.Faults().Down { // it went down while the reader waited
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	s, ok := l.stream(name, l.clock.Now())
	if !ok {
		s = newLogStream()
	}
	if from < s.first {
		b := batchDocument{First: s.first, Next: s.next(), Records: []recordDocument{}}
		l.mu.Unlock()
		writeJSON(w, http.StatusGone, b)
		return
	}
	b := s.batch(from, limit)
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

// list answers with the names of the streams in order.
func (l *Log) list(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	names := make([]gooseberrypass.Stream, 0, len(l.streams))
	for name := range l.streams {
		names = append(names, name)
	}
	l.mu.Unlock()
	slices.Sort(names)
	writeJSON(w, http.StatusOK, names)
}

var _ http.Handler = (*Log)(nil)
