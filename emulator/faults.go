package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// Faults are the faults of a stand-in. A count is of the next occasions on
// which the fault shows; a negative count is of all. Each stand-in has the
// faults that its protocol has a place for.
type Faults struct {
	AnswersLost   int           `json:"answers_lost,omitempty"`   // connection closed after the effect
	CorruptChunks int           `json:"corrupt_chunks,omitempty"` // a byte of the body differs
	CutStreams    int           `json:"cut_streams,omitempty"`    // token stream broken off in a line
	Delay         time.Duration `json:"-"`                        // before each request
	Down          bool          `json:"down,omitempty"`           // 503
	EmptyList     bool          `json:"empty_list,omitempty"`     // no instance listed
	ListLag       time.Duration `json:"-"`                        // further lag of the list
	OldList       bool          `json:"old_list,omitempty"`       // the revision before
	RequestsLost  int           `json:"requests_lost,omitempty"`  // connection closed before the effect
	StuckLoad     bool          `json:"stuck_load,omitempty"`     // reported load does not change
}

type plainFaults Faults

type faultsDocument struct {
	*plainFaults
	Delay   string `json:"delay,omitempty"`
	ListLag string `json:"list_lag,omitempty"`
}

// MarshalJSON implements json.Marshaler. Durations are text, as "1.5s".
func (f Faults) MarshalJSON() ([]byte, error) {
	plain := plainFaults(f)
	return json.Marshal(faultsDocument{
		plainFaults: &plain,
		Delay:       f.Delay.String(),
		ListLag:     f.ListLag.String(),
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Faults) UnmarshalJSON(text []byte) error {
	var plain plainFaults
	doc := faultsDocument{plainFaults: &plain}
	if err := json.Unmarshal(text, &doc); err != nil {
		return errors.Wrap(err, "faults")
	}
	var err error
	if plain.Delay, err = parseDuration(doc.Delay); err != nil {
		return errors.Wrap(err, "delay")
	}
	if plain.ListLag, err = parseDuration(doc.ListLag); err != nil {
		return errors.Wrap(err, "list_lag")
	}
	*f = Faults(plain)
	return nil
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// A FaultSwitch holds the faults of a stand-in. PUT /faults sets all of them,
// GET /faults shows those that are left.
type FaultSwitch struct {
	clock gooseberrypass.Clock

	mu     sync.Mutex
	faults Faults
}

// Faults returns the faults that are left.
func (s *FaultSwitch) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *FaultSwitch) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// take reports whether the fault that count points at shows now.
func (s *FaultSwitch) take(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func answersLost(f *Faults) *int   { return &f.AnswersLost }
func corruptChunks(f *Faults) *int { return &f.CorruptChunks }
func cutStreams(f *Faults) *int    { return &f.CutStreams }
func requestsLost(f *Faults) *int  { return &f.RequestsLost }

// wrap returns next behind the faults that all stand-ins share, with the admin
// path beside it.
func (s *FaultSwitch) wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if readJSON(w, r, maxAdminSize, &faults) {
			s.SetFaults(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, next) })
	return mux
}

func (s *FaultSwitch) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	faults := s.Faults()
	if err := sleep(r.Context(), s.clock, faults.Delay); err != nil {
		panic(http.ErrAbortHandler)
	}
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	changes := r.Method != http.MethodGet && r.Method != http.MethodHead
	if changes && s.take(requestsLost) {
		panic(http.ErrAbortHandler)
	}
	if changes && s.take(answersLost) {
		next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// A discardWriter loses an answer.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (w discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// sleep waits for d on the clock, or until ctx is done.
func sleep(ctx context.Context, clock gooseberrypass.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}
