package emulator

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Limits of the plain service.
const (
	maxCallSize = 16 << 20 // bytes
	maxRuns     = 1 << 20
)

// A CallRun is one execution of a call.
type CallRun struct {
	At        time.Time             `json:"at"`
	AttemptID string                `json:"attempt_id"`
	Body      gooseberrypass.Digest `json:"body"`
	Call      string                `json:"call"`
	Key       string                `json:"key"`
	Number    int                   `json:"number"` // counts all runs, from 1
}

// A PlainService emulates a service other than a model engine. It executes every
// call, even with an idempotency key that it has seen, and records each run.
type PlainService struct {
	FaultInjector
	duration time.Duration
	handler  http.Handler

	mu   sync.Mutex
	runs []CallRun
}

// NewPlainService returns a service that records a call at once and responds
// after duration.
func NewPlainService(clock gooseberrypass.Clock, duration time.Duration) *PlainService {
	s := &PlainService{FaultInjector: FaultInjector{clock: clock}, duration: duration}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.list)
	mux.HandleFunc("POST /calls/{call}", s.call)
	s.handler = s.withFaults(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Runs returns the runs so far, in order.
func (s *PlainService) Runs() []CallRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

func (s *PlainService) call(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxCallSize)
	if !ok {
		return
	}
	run, ok := s.record(r, body)
	if !ok {
		http.Error(w, "too many runs", http.StatusTooManyRequests)
		return
	}
	if err := sleep(r.Context(), s.clock, s.duration); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, run)
}

// record adds the run of a call. It returns false if there are too many runs.
func (s *PlainService) record(r *http.Request, body []byte) (CallRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= maxRuns {
		return CallRun{}, false
	}
	run := CallRun{
		At:        s.clock.Now(),
		AttemptID: r.Header.Get("Attempt-Id"),
		Body:      gooseberrypass.DigestOf(body),
		Call:      r.PathValue("call"),
		Key:       r.Header.Get("Idempotency-Key"),
		Number:    len(s.runs) + 1,
	}
	s.runs = append(s.runs, run)
	return run, true
}

func (s *PlainService) list(w http.ResponseWriter, r *http.Request) {
	runs := s.Runs()
	if key := r.URL.Query().Get("key"); key != "" {
		runs = slices.DeleteFunc(runs, func(run CallRun) bool { return run.Key != key })
	}
	writeJSON(w, http.StatusOK, runs)
}

var _ http.Handler = (*PlainService)(nil)
