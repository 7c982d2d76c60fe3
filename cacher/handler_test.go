package cacher_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
)

func newHandler(t *testing.T, c *cacher.Cacher, rate int64, pressure cacher.Pressure) (*cacher.Handler, *http.ServeMux) {
	t.Helper()
	h, err := cacher.NewHandler(c, cacher.NewPacer(func() int64 { return rate }, pressure), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(cacher.Pattern, h)
	mux.Handle(cacher.WeightsPattern, cacher.NewWeightsHandler(c))
	return h, mux
}

func get(mux *http.ServeMux, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	return w
}

func TestHandlerStatuses(t *testing.T) {
	held, wanted, other := []byte("held"), gooseberrypass.DigestOf([]byte("wanted")), gooseberrypass.DigestOf([]byte("other"))
	c := cacher.New(100)
	c.Pin(map[gooseberrypass.Digest]struct{}{wanted: {}})
	if err := c.Put(gooseberrypass.DigestOf(held), held); err != nil {
		t.Fatal(err)
	}
	h, mux := newHandler(t, c, 0, nil)
	heldPath := "/chunks/" + gooseberrypass.DigestOf(held).String()
	tests := []struct {
		name, path string
		status     int
		state      string
	}{
		{"held", heldPath, http.StatusOK, ""},
		{"wanted", "/chunks/" + wanted.String(), http.StatusServiceUnavailable, cacher.StatePending},
		{"wanted, with a wait", "/chunks/" + wanted.String() + "?wait=1ms", http.StatusServiceUnavailable, cacher.StatePending},
		{"neither", "/chunks/" + other.String(), http.StatusNotFound, ""},
		{"bad digest", "/chunks/x", http.StatusBadRequest, ""},
		{"bad wait", heldPath + "?wait=soon", http.StatusBadRequest, ""},
		{"weights not complete", "/weights/" + wanted.String(), http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := get(mux, tt.path)
			if got.Code != tt.status || got.Header().Get(cacher.StateHeader) != tt.state {
				t.Errorf("got %d %q, want %d %q", got.Code, got.Header().Get(cacher.StateHeader), tt.status, tt.state)
			}
			if tt.status == http.StatusServiceUnavailable && got.Header().Get("Retry-After") == "" {
				t.Error("got no Retry-After")
			}
		})
	}
	if err := h.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := get(mux, heldPath).Code; got != http.StatusServiceUnavailable {
		t.Errorf("got %d after the stop, want %d", got, http.StatusServiceUnavailable)
	}
}

type pressure float64

func (p pressure) Pressure() float64 { return float64(p) }

// TestPacingYieldsToLiveRequests sends 1 MiB at 256 KiB/s. The rate must fall with
// the pressure of live requests, to a tenth at most.
func TestPacingYieldsToLiveRequests(t *testing.T) {
	body := make([]byte, 1<<20)
	tests := []struct {
		name     string
		pressure cacher.Pressure
		lower    time.Duration
		upper    time.Duration
	}{
		{"none", nil, 3500 * time.Millisecond, 4 * time.Second},
		{"half", pressure(0.5), 7 * time.Second, 8 * time.Second},
		{"full", pressure(1), 35 * time.Second, 40 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := cacher.NewPacer(func() int64 { return 256 << 10 }, tt.pressure)
				start := time.Now()
				if _, err := p.Send(t.Context(), io.Discard, body); err != nil {
					t.Fatal(err)
				}
				if got := time.Since(start); got < tt.lower || got > tt.upper {
					t.Errorf("got %s, want %s to %s", got, tt.lower, tt.upper)
				}
			})
		})
	}
}

// A handler is stopped during a paced upload. The upload must complete, while a
// request that waits for a chunk must be answered at once.
func TestStopEndsUploadsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := make([]byte, 1<<20)
		wanted := gooseberrypass.DigestOf([]byte("wanted"))
		c := cacher.New(2 << 20)
		c.Pin(map[gooseberrypass.Digest]struct{}{wanted: {}})
		if err := c.Put(gooseberrypass.DigestOf(body), body); err != nil {
			t.Fatal(err)
		}
		h, mux := newHandler(t, c, 256<<10, nil)
		upload, wait := make(chan int, 1), make(chan int, 1)
		go func() { upload <- get(mux, "/chunks/"+gooseberrypass.DigestOf(body).String()).Body.Len() }()
		go func() { wait <- get(mux, "/chunks/"+wanted.String()+"?wait=1m").Code }()
		time.Sleep(time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := h.Stop(ctx); err == nil {
			t.Error("got no error though an upload is in progress")
		}
		if got := <-wait; got != http.StatusServiceUnavailable {
			t.Errorf("got %d for the waiting request, want %d", got, http.StatusServiceUnavailable)
		}
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		if got := <-upload; got != len(body) {
			t.Errorf("got %d bytes of the upload in progress, want %d", got, len(body))
		}
	})
}
