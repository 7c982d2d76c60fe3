package retrier_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Frames that end with their connection within a frame have been broken off.
func TestFramesCutAnywhereAreNotWhole(t *testing.T) {
	var whole bytes.Buffer
	ends := map[int]bool{0: true}
	for _, frame := range []*wire.Frame{
		{AttemptId: "a", Kind: &wire.Frame_Started{Started: &wire.Started{}}},
		{AttemptId: "a", Kind: &wire.Frame_Piece{Piece: &wire.Piece{Text: []byte(strings.Repeat("x", 200))}}}, // whose length has two bytes
	} {
		if _, err := protodelim.MarshalTo(&whole, frame); err != nil {
			t.Fatal(err)
		}
		ends[whole.Len()] = true
	}
	cut := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+whole.String()[:cut])
		_ = conn.Close()
	}))
	defer s.Close()
	to := gooseberrypass.ListedInstance{Address: strings.TrimPrefix(s.URL, "http://")}
	for cut = range whole.Len() + 1 {
		frames, err := retrier.NewHTTPDispatcher(s.Client()).Generate(t.Context(), to, &wire.Attempt{AttemptId: "a"})
		for err == nil {
			_, err = frames.Next()
		}
		if got := errors.Is(err, io.EOF); got != ends[cut] {
			t.Errorf("cut after %d of %d bytes: got %v, want the end of a frame %t", cut, whole.Len(), err, ends[cut])
		}
	}
}
