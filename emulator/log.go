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

// Limits of the log service.
const (
	maxBatchRecords = 1000
	maxBatchSize    = 8 << 20 // bytes
	maxLogWait      = time.Minute
	maxRecordSize   = 4 << 20 // bytes
	maxStreams      = 10000
)

// LogSettings are the limits of a Log. 0 means no limit.
type LogSettings struct {
	AppendRate float64       // appends per second to all streams together
	MaxAge     time.Duration // retention time of a record
	MaxRecords int           // records retained per stream
}

// A Log emulates the platform's log service.
type Log struct {
	FaultInjector
	handler  http.Handler
	limiter  *rate.Limiter
	settings LogSettings

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
		FaultInjector: FaultInjector{clock: clock},
		limiter:       rate.NewLimiter(limit, max(1, int(settings.AppendRate))),
		settings:      settings,
		streams:       map[gooseberrypass.Stream]*logStream{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /streams", l.list)
	mux.HandleFunc("GET /streams/{stream}/records", l.read)
	mux.HandleFunc("POST /streams/{stream}/records", l.append)
	l.handler = l.withFaults(mux)
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

// A logStream is one stream with its retained records, whose offsets are
// consecutive.
type logStream struct {
	changed chan struct{}         // closed at the next append
	first   gooseberrypass.Offset // offset of the oldest retained record, or of the next if there is none
	records []recordDocument
}

func newLogStream() *logStream {
	return &logStream{changed: make(chan struct{}), first: 1}
}

// next returns the offset of the next append.
func (s *logStream) next() gooseberrypass.Offset {
	return s.first + gooseberrypass.Offset(len(s.records))
}

// trim drops the records beyond the retention limits.
func (s *logStream) trim(now time.Time, settings LogSettings) {
	drop := 0
	if settings.MaxRecords > 0 {
		drop = max(0, len(s.records)-settings.MaxRecords)
	}
	for settings.MaxAge > 0 && drop < len(s.records) && now.Sub(s.records[drop].Time) > settings.MaxAge {
		drop++
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.first += gooseberrypass.Offset(drop)
}

// batch returns at most limit records from offset from on, within maxBatchSize
// unless the first record alone exceeds it.
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
	s.trim(now, l.settings)
	l.mu.Unlock()
	writeJSON(w, http.StatusCreated, recordDocument{Offset: offset, Time: now})
}

// stream returns the named stream, trimmed, and creates it if needed. It returns
// false if there are too many streams. l.mu must be held.
func (l *Log) stream(name gooseberrypass.Stream, now time.Time) (*logStream, bool) {
	s, ok := l.streams[name]
	if ok {
		s.trim(now, l.settings)
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
	l.waitForRecord(r.Context(), stream, gooseberrypass.Offset(from), min(wait, maxLogWait))
	l.respond(w, stream, max(1, gooseberrypass.Offset(from)), limit)
}

// waitForRecord waits until the stream has a record at offset from, for at most
// wait.
func (l *Log) waitForRecord(ctx context.Context, name gooseberrypass.Stream, from gooseberrypass.Offset, wait time.Duration) {
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

// respond answers a read with a batch, or with status 410 and the retained range
// if the records at offset from were trimmed.
func (l *Log) respond(w http.ResponseWriter, name gooseberrypass.Stream, from gooseberrypass.Offset, limit int) {
	if l.Faults().Down { // the fault may have been set while the reader waited
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

// list responds with the sorted names of the streams.
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
