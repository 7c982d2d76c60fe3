package emulator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// A checkingWriter calls check with the bytes sent so far before each write ends.
type checkingWriter struct {
	*httptest.ResponseRecorder
	check func(sent int64)
	sent  int64
}

func (w *checkingWriter) Write(p []byte) (int, error) {
	w.sent += int64(len(p))
	w.check(w.sent)
	return w.ResponseRecorder.Write(p)
}

// A client that has all bytes may ask at once how many were served.
func TestOriginCountsBytesBeforeTheClientHasThem(t *testing.T) {
	service := emulator.NewOrigin(clockwork.NewRealClock(), 0)
	service.Put("m", "v1", []byte("manifest"), emulator.MakeWeights(1, 200_000))
	w := &checkingWriter{ResponseRecorder: httptest.NewRecorder(), check: func(sent int64) {
		if got := service.ServedBytes("m", "v1"); got < sent {
			t.Errorf("got %d bytes served when the client had %d", got, sent)
		}
	}}
	req := httptest.NewRequest(http.MethodGet, "/models/m/versions/v1/weights", http.NoBody)
	req.Header.Set("Range", "bytes=1000-150999")
	service.ServeHTTP(w, req)
	if got := service.ServedBytes("m", "v1"); got != 150_000 || w.sent != 150_000 {
		t.Errorf("got %d bytes served, %d sent, want 150000", got, w.sent)
	}
}
