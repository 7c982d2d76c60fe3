package connector_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

func TestOrigin(t *testing.T) {
	service := emulator.NewOrigin(clockwork.NewRealClock(), 0)
	weights := emulator.MakeWeights(1, 200_000)
	service.Put("a/b", "v1", []byte("manifest"), weights)
	origin := connector.NewOrigin(newClient(t), serve(t, service))
	if got, err := origin.Manifest(t.Context(), "a/b", "v1"); err != nil || string(got) != "manifest" {
		t.Errorf("got manifest %q, error %v", got, err)
	}
	got, err := origin.ReadRange(t.Context(), "a/b", "v1", 1000, 150_000)
	if err != nil || !bytes.Equal(got, weights[1000:151_000]) {
		t.Errorf("got %d bytes, error %v, want the bytes of the range", len(got), err)
	}
	if got := service.ServedBytes("a/b", "v1"); got != 150_000 {
		t.Errorf("got %d bytes served, want 150000", got)
	}
	service.SetFaults(emulator.Faults{CorruptChunks: 1})
	got, err = origin.ReadRange(t.Context(), "a/b", "v1", 0, 10)
	if err != nil || bytes.Equal(got, weights[:10]) {
		t.Errorf("got correct bytes or error %v, want corrupt bytes", err)
	}
	for name, test := range map[string]struct {
		faults       emulator.Faults
		version      string
		offset, size int64
		want         error
	}{
		"busy":        {faults: emulator.Faults{Down: true}, version: "v1", size: 1, want: gooseberrypass.ErrSourceBusy},
		"not held":    {version: "v2", size: 1, want: gooseberrypass.ErrChunkNotHeld},
		"past end":    {version: "v1", offset: 199_999, size: 2},
		"whole range": {version: "v1", size: gooseberrypass.MaxChunkSize + 1},
	} {
		t.Run(name, func(t *testing.T) {
			service.SetFaults(test.faults)
			_, err := origin.ReadRange(t.Context(), "a/b", test.version, test.offset, test.size)
			if err == nil || (test.want != nil && !errors.Is(err, test.want)) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestReadRangeVerifiesLength(t *testing.T) {
	for name, test := range map[string]struct {
		contentRange string
		size         int
		status       int
		want         error
	}{
		"other range": {"bytes 5-14/100", 10, http.StatusPartialContent, connector.ErrInvalidResponse},
		"over-long":   {"bytes 0-9/100", 11, http.StatusPartialContent, connector.ErrInvalidResponse},
		"right":       {"bytes 0-9/100", 10, http.StatusPartialContent, nil},
		"short":       {"bytes 0-9/100", 9, http.StatusPartialContent, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Range", test.contentRange)
				w.WriteHeader(test.status)
				_, _ = fmt.Fprintf(w, "%*d", test.size, 0)
			}))
			_, got := connector.NewOrigin(newClient(t), url).ReadRange(t.Context(), "m", "v", 0, 10)
			if !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestWeightStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := emulator.NewWeightStore(clock, emulator.WeightStoreSettings{Burst: 1000, ByteRate: 10, MaxBytes: 1000})
	store := connector.NewWeightStore(newClient(t), serve(t, service))
	body := make([]byte, 900) // leaves 100 of the 1000 bytes that the rate limit allows at once
	digest := gooseberrypass.DigestOf(body)
	if _, err := store.Chunk(t.Context(), digest); !errors.Is(err, gooseberrypass.ErrChunkNotHeld) {
		t.Errorf("got %v, want %v", err, gooseberrypass.ErrChunkNotHeld)
	}
	if err := store.PutChunk(t.Context(), digest, body); err != nil {
		t.Fatal(err)
	}
	_, err := store.Chunk(t.Context(), digest)
	var status *connector.StatusError
	if !errors.Is(err, gooseberrypass.ErrSourceBusy) || !errors.As(err, &status) || status.RetryAfter <= 0 {
		t.Errorf("got %v, want %v with a retry delay", err, gooseberrypass.ErrSourceBusy)
	}
	clock.Advance(status.RetryAfter)
	if got, err := store.Chunk(t.Context(), digest); err != nil || !bytes.Equal(got, body) {
		t.Errorf("got %d bytes and error %v, want the chunk", len(got), err)
	}
}

func TestInstanceListUnderFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := emulator.NewInstanceList(clock, time.Second)
	list := connector.NewInstanceList(newClient(t), serve(t, service))
	service.Put(gooseberrypass.ListedInstance{ID: "i1", State: gooseberrypass.ListedLive})
	clock.Advance(10 * time.Second)
	service.Put(gooseberrypass.ListedInstance{ID: "i1", State: gooseberrypass.ListedLeaving})
	clock.Advance(2 * time.Second)
	for name, test := range map[string]struct {
		faults emulator.Faults
		want   string
	}{
		"empty":   {emulator.Faults{EmptyList: true}, "{0 [] 2}"},
		"lagging": {emulator.Faults{ListLag: 5 * time.Second}, "{0 [{  i1    live}] 1}"},
		"none":    {emulator.Faults{}, "{0 [{  i1    leaving}] 2}"},
		"older":   {emulator.Faults{OldList: true}, "{0 [{  i1    live}] 1}"},
	} {
		t.Run(name, func(t *testing.T) {
			service.SetFaults(test.faults)
			listing, err := list.List(t.Context())
			listing.TransferBytes = 0
			if got := fmt.Sprint(listing); err != nil || got != test.want {
				t.Errorf("got %s and error %v, want %s", got, err, test.want)
			}
		})
	}
}
