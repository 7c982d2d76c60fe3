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

// Faults are the faults that an emulator injects. An int field is the number of
// times that the fault still occurs; a negative value means always. An emulator
// ignores the faults that do not apply to its protocol.
type Faults struct {
	AnswersLost   int           `json:"answers_lost,omitempty"`   // changes applied, then the connection is closed without a response
	CorruptChunks int           `json:"corrupt_chunks,omitempty"` // responses with one byte altered
	CutStreams    int           `json:"cut_streams,omitempty"`    // token streams aborted in the middle of a line
	Delay         time.Duration `json:"-"`                        // added before each request is handled
	Down          bool          `json:"down,omitempty"`           // every request except to /faults is answered with status 503
	EmptyList     bool          `json:"empty_list,omitempty"`     // the list has no instances
	ListLag       time.Duration `json:"-"`                        // added to the lag of the list
	OldList       bool          `json:"old_list,omitempty"`       // the list is one revision behind
	RequestsLost  int           `json:"requests_lost,omitempty"`  // changes dropped by closing the connection
	StuckLoad     bool          `json:"stuck_load,omitempty"`     // the reported load does not change
}

// plainFaults is Faults without its JSON methods, to avoid recursion.
type plainFaults Faults

// A faultsDocument is the JSON form of Faults, with durations as text.
type faultsDocument struct {
	*plainFaults
	Delay   string `json:"delay,omitempty"`
	ListLag string `json:"list_lag,omitempty"`
}

// MarshalJSON implements json.Marshaler. Durations are strings like "1.5s".
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

// A FaultInjector holds the faults of an emulator and applies those common to
// all. PUT /faults replaces them; GET /faults returns the remaining ones.
type FaultInjector struct {
	clock gooseberrypass.Clock

	mu     sync.Mutex
	faults Faults
}

// Faults returns the remaining faults.
func (i *FaultInjector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// SetFaults replaces the faults.
func (i *FaultInjector) SetFaults(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// consume reports whether the fault selected by count occurs now, and uses up one
// occurrence of it.
func (i *FaultInjector) consume(count func(*Faults) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := count(&i.faults)
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

// withFaults wraps next with the faults common to all emulators and adds the
// /faults endpoint.
func (i *FaultInjector) withFaults(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, i.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if readJSON(w, r, maxAdminSize, &faults) {
			i.SetFaults(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { i.serve(w, r, next) })
	return mux
}

// serve applies the faults common to all emulators to a request. Lost requests
// and answers affect only requests that change state, that is, neither GET nor
// HEAD.
func (i *FaultInjector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	faults := i.Faults()
	if err := sleep(r.Context(), i.clock, faults.Delay); err != nil {
		panic(http.ErrAbortHandler)
	}
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	changes := r.Method != http.MethodGet && r.Method != http.MethodHead
	if changes && i.consume(requestsLost) {
		panic(http.ErrAbortHandler)
	}
	if changes && i.consume(answersLost) {
		next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// A discardWriter discards a response.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (w discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// sleep waits until d has passed on clock or ctx is done. It returns the error of
// ctx in the latter case.
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
