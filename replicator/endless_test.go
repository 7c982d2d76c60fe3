package replicator_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// The limits of what a process takes from a peer that sends without end: a pull, what the
// buffers of the two sockets hold, and what decoding allocates.
const (
	maxTaken     = 32 << 20
	maxAllocated = 192 << 20
	sentAtMost   = 128 << 20
)

// A document has the fields of the responses to pulls that the tests set.
type document struct {
	Complete bool
	Next     gooseberrypass.Offset
	Records  []agedRecord
	Targets  []gooseberrypass.AgedTarget
}

type agedRecord struct {
	Age    time.Duration
	Record gooseberrypass.KeyedRecord
}

// encode returns a value as the response to a pull.
func encode(tb testing.TB, v any) []byte {
	tb.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := gob.NewEncoder(z).Encode(v); err != nil {
		tb.Fatal(err)
	}
	if err := z.Close(); err != nil {
		tb.Fatal(err)
	}
	return b.Bytes()
}

// expanding returns the start of a compressed body without an end, and a piece that may
// follow any number of times. Each expands to 32 MiB.
func expanding(t *testing.T) (string, string) {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	write := func() string {
		defer b.Reset()
		if _, err := z.Write(make([]byte, 32<<20)); err != nil {
			t.Fatal(err)
		}
		if err := z.Flush(); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	return write(), write()
}

// serveEndless answers each request with start and then, unless piece is "", with piece
// for ever, up to sentAtMost bytes, after a pause each time. It returns the address and
// the number of bytes taken.
func serveEndless(t *testing.T, start, piece string, pause time.Duration) (string, *atomic.Int64) {
	t.Helper()
	var taken atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, start)
		for err == nil && piece != "" && taken.Load() < sentAtMost {
			var n int
			n, err = io.WriteString(conn, piece)
			taken.Add(int64(n))
			time.Sleep(pause)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &taken
}

// A peer in trouble may send anything in response to a pull, also without end. The pull
// fails in its time, takes little memory, and the next peer is asked.
func TestEndlessPullIsCut(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	body := func(b []byte) string { return ok + "Connection: close\r\n\r\n" + string(b) }
	junk := strings.Repeat("x", 4096)
	start, piece := expanding(t)
	for _, tt := range []struct {
		name, start, piece string
		pause              time.Duration
	}{
		{name: "no answer at all", piece: junk},
		{name: "status line", start: "HTTP/1.1 200 ", piece: junk},
		{name: "header lines", start: ok, piece: strings.Repeat("X-Junk: 1\r\n", 400)},
		{name: "one header line", start: ok + "X-Junk: ", piece: junk},
		{name: "informational", piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "status line that trickles", start: "HTTP/1.1 200 ", piece: "x", pause: 20 * time.Millisecond},
		{name: "header lines that trickle", start: ok, piece: "X-Junk: 1\r\n", pause: 20 * time.Millisecond},
		{name: "body that is not compressed", start: body(nil), piece: junk},
		{name: "body that expands", start: body([]byte(start)), piece: piece},
		{name: "body that trickles", start: body(encode(t, document{Next: nextOffset})[:20]), piece: "\x00", pause: 20 * time.Millisecond},
		{name: "document of another type", start: body(encode(t, []string{"a"}))},
		{name: "document with other fields", start: body(encode(t, struct{ Chunks []string }{Chunks: []string{"a"}}))},
		{name: "field of another type", start: body(encode(t, struct{ Records string }{Records: "a"}))},
		{name: "empty records", start: body(encode(t, struct{ Records []struct{ Age time.Duration } }{make([]struct{ Age time.Duration }, 4<<20)}))},
		{name: "empty versions", start: body(encode(t, document{Next: nextOffset, Targets: make([]gooseberrypass.AgedTarget, 4<<20)}))},
		{name: "one large value", start: body(encode(t, document{Next: nextOffset, Records: []agedRecord{{Record: gooseberrypass.KeyedRecord{Key: "config", Value: make([]byte, 64<<20)}}}}))},
		{name: "chunk extension", start: ok + "Transfer-Encoding: chunked\r\n\r\n4;", piece: junk},
		{name: "one-byte chunks with extensions", start: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\nb\r\n", 4)},
		{name: "no document, then trailers", start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: strings.Repeat("X-Junk: 1\r\n", 400)},
		{name: "length that is wrong", start: ok + "Content-Length: 9223372036854775807\r\n\r\n", piece: junk},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address, taken := serveEndless(t, tt.start, tt.piece, tt.pause)
			p := newProcess("a", gooseberrypass.RoleAgent)
			effects := p.replicator.Handle(now, messageFromAhead(address))
			if len(effects) != 1 {
				t.Fatalf("got %d effects, want a pull", len(effects))
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			done := effects[0].Run(context.Background())
			runtime.ReadMemStats(&after)
			if got := taken.Load(); got > maxTaken {
				t.Errorf("took %d bytes, want at most %d", got, maxTaken)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
				t.Errorf("allocated %d bytes, want at most %d", got, maxAllocated)
			}
			p.handle(done)
			if got := p.materializer.NextOffset(gooseberrypass.TopicOperator); got != 0 {
				t.Errorf("next: got %d, want 0", got)
			}
			from := newProcess("b", gooseberrypass.RoleEntry)
			from.handle(configChanged())
			p.handle(messageFromAhead(from.serve(t)))
			if p.materializer.Deployment() == nil {
				t.Error("no deployment after a message of the next peer")
			}
		})
	}
}

// A probe is an event that the controller of the same type passes on to a channel.
type probe struct{}

func (probe) EventName() string { return "probe" }

type probes chan struct{}

func (c probes) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if _, ok := event.(probe); ok {
		c <- struct{}{}
	}
	return nil
}

// The control loop goes on while a pull waits for a peer that does not end its response.
func TestLoopGoesOnDuringAnEndlessPull(t *testing.T) {
	loop, err := looper.New(clockwork.NewRealClock(), prometheus.NewRegistry(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	p, handled := newProcessWith("a", gooseberrypass.RoleAgent, nil, replicator.Settings{PullTimeout: time.Hour}), make(probes, 1)
	loop.Add(p.materializer, p.answerer, p.replicator, handled)
	asked := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(asked)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	loop.Post(messageFromAhead(strings.TrimPrefix(server.URL, "http://")))
	<-asked
	loop.Post(probe{})
	<-handled
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
