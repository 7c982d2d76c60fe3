package dialer_test

import (
	"context"
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
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/spreader"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	callTimeout  = 2 * time.Second
	shortTimeout = 300 * time.Millisecond // of calls to peers that trickle
	chunkSize    = 1 << 20                // bytes
	maxTaken     = 128 << 20              // bytes: the longest response, and what buffers hold
	maxAllocated = 512 << 20              // bytes: a slice that grows to the longest response is allocated many times
	sentAtMost   = 512 << 20              // bytes
)

// A peer sends bytes without end in response to any request.
type peer struct {
	address string
	taken   atomic.Int64 // bytes
}

// newPeer returns a peer that sends start and then piece for ever, after a pause each
// time, up to sentAtMost bytes.
func newPeer(t *testing.T, start, piece string, pause time.Duration) *peer {
	t.Helper()
	p := &peer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, start)
		for err == nil && p.taken.Load() < sentAtMost {
			var n int
			n, err = io.WriteString(conn, piece)
			p.taken.Add(int64(n))
			time.Sleep(pause)
		}
	}))
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

// calls returns everything that a process reads from another one through a dialer.
func calls(t *testing.T) map[string]func(ctx context.Context, address string) error {
	t.Helper()
	d, err := dialer.New(authenticator.Key{}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	control, attempts := d.Client(dialer.ClassControl), retrier.NewHTTPDispatcher(d.Client(dialer.ClassAttempt))
	chunks := fetcher.NewReader(d.Client(dialer.ClassBulk), clockwork.NewRealClock(), cacher.New(4*chunkSize), nil, nil)
	listed := func(address string) gooseberrypass.ListedInstance {
		return gooseberrypass.ListedInstance{Address: address, ID: "peer", Region: "r"}
	}
	fetch := func(ctx context.Context, address string, item fetcher.Item, kind fetcher.SourceKind) error {
		out := chunks.Read(ctx, fetcher.Fetch{Item: item, Kind: kind, Peer: listed(address), Timeout: callTimeout})
		switch out.Result {
		case fetcher.ResultBusy, fetcher.ResultCorrupt, fetcher.ResultTimeout, fetcher.ResultUnreachable:
			return out.Err
		default:
			return nil // the planner would ask this peer again at once
		}
	}
	return map[string]func(ctx context.Context, address string) error{
		"configuration": func(ctx context.Context, address string) error {
			_, err := spreader.DialTwirp(control)(address).Exchange(ctx, &wire.ExchangeRequest{})
			return err
		},
		"status": func(ctx context.Context, address string) error {
			_, err := wire.NewAgentProtobufClient("http://"+address, control).Status(ctx, &wire.StatusRequest{})
			return err
		},
		"call": func(ctx context.Context, address string) error {
			_, err := attempts.Call(ctx, listed(address), &wire.CallRequest{})
			return err
		},
		"generation": func(ctx context.Context, address string) error {
			stream, err := attempts.Generate(ctx, listed(address), &wire.Attempt{})
			if err != nil {
				return err
			}
			defer func() { _ = stream.Close() }()
			_, err = stream.Next()
			return err
		},
		"chunk": func(ctx context.Context, address string) error {
			return fetch(ctx, address, fetcher.Item{Size: chunkSize}, fetcher.SourceSameRegion)
		},
		"chunk of another region": func(ctx context.Context, address string) error {
			return fetch(ctx, address, fetcher.Item{Size: chunkSize}, fetcher.SourceCrossRegion)
		},
		"manifest": func(ctx context.Context, address string) error {
			return fetch(ctx, address, fetcher.Item{Manifest: true, Size: gooseberrypass.MaxManifestSize}, fetcher.SourceSameRegion)
		},
	}
}

// A peer in trouble may send anything, also without end. Each call fails in its time and
// takes little memory.
func TestEndlessAnswersOfPeersAreCut(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		pause   = 20 * time.Millisecond
	)
	junk := strings.Repeat("\xff", 64<<10)
	for _, tt := range []struct {
		name, start, piece string
		pause              time.Duration
	}{
		{name: "no answer at all", piece: junk},
		{name: "status line", start: "HTTP/1.1 200 ", piece: junk},
		{name: "header lines", start: ok, piece: strings.Repeat("X-Junk: 1\r\n", 400)},
		{name: "one header line", start: ok + "X-Junk: ", piece: junk},
		{name: "informational", piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "status line that trickles", start: "HTTP/1.1 200 ", piece: "x", pause: pause},
		{name: "header lines that trickle", start: ok, piece: "X-Junk: 1\r\n", pause: pause},
		{name: "body", start: ok + "Connection: close\r\n\r\n", piece: junk},
		{name: "body of a refusal", start: "HTTP/1.1 503 Service Unavailable\r\n\r\n", piece: junk},
		{name: "body that trickles", start: ok + "\r\n", piece: "\xff", pause: pause},
		{name: "frame of 4 GiB", start: ok + "Connection: close\r\n\r\n\x80\x80\x80\x80\x10", piece: strings.Repeat("\x00", 64<<10)},
		{name: "length that is wrong", start: ok + "Content-Length: 9223372036854775807\r\n\r\n", piece: junk},
		{name: "chunk extension", start: chunked + "4;", piece: junk},
		{name: "one-byte chunks with extensions", start: chunked, piece: strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\nb\r\n", 4)},
		{name: "trailers", start: chunked + "4\r\nbody\r\n0\r\n", piece: strings.Repeat("X-Junk: 1\r\n", 400)},
	} {
		for name, call := range calls(t) {
			t.Run(tt.name+"/"+name, func(t *testing.T) {
				p := newPeer(t, tt.start, tt.piece, tt.pause)
				timeout := callTimeout
				if tt.pause > 0 {
					timeout = shortTimeout
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := call(ctx, p.address)
				runtime.ReadMemStats(&after)
				if err == nil {
					t.Error("got an answer, want an error")
				}
				if got := p.taken.Load(); got > maxTaken {
					t.Errorf("took %d bytes, want at most %d", got, maxTaken)
				}
				if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
					t.Errorf("allocated %d bytes, want at most %d", got, maxAllocated)
				}
			})
		}
	}
}
