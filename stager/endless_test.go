package stager_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The limits of what an agent takes from another one that sends without end.
const (
	maxTaken     = 2 * gooseberrypass.MaxManifestSize // with what the buffers of the sockets hold
	maxAllocated = 8 * gooseberrypass.MaxManifestSize // by a slice that grows to the longest manifest
	sentAtMost   = 16 * gooseberrypass.MaxManifestSize
)

// An agent that offers a manifest may send anything in its place, also without end. The
// read fails in its time, takes little memory, and the manifest is read from the origin.
func TestEndlessManifestOfAnotherAgentIsCut(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	junk := strings.Repeat(" ", 64<<10)
	for _, tt := range []struct {
		name, start, piece string
		pause              time.Duration
	}{
		{name: "no answer at all", piece: junk},
		{name: "header lines", start: ok, piece: strings.Repeat("X-Junk: 1\r\n", 400)},
		{name: "status line that trickles", start: "HTTP/1.1 200 ", piece: "x", pause: 20 * time.Millisecond},
		{name: "body", start: ok + "Connection: close\r\n\r\n", piece: junk},
		{name: "body that trickles", start: ok + "\r\n{", piece: " ", pause: 20 * time.Millisecond},
		{name: "document of another type", start: ok + "Content-Length: 2\r\n\r\n[]"},
		{name: "chunk extension", start: ok + "Transfer-Encoding: chunked\r\n\r\n4;", piece: junk},
		{name: "trailers", start: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", piece: strings.Repeat("X-Junk: 1\r\n", 400)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var asked, taken atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, tt.start)
				for err == nil && tt.piece != "" && taken.Load() < sentAtMost {
					var n int
					n, err = io.WriteString(conn, tt.piece)
					taken.Add(int64(n))
					time.Sleep(tt.pause)
				}
			}))
			defer server.Close()
			f := newFixture(t)
			// The offer arrives during a read of the origin, which then fails.
			f.origin.corrupt = 2
			offer := gossiper.Received{Message: gossiper.Message{
				Address: strings.TrimPrefix(server.URL, "http://"), From: "other", Manifests: []gooseberrypass.ModelTarget{{Model: "m", Version: 2}}, Role: gooseberrypass.RoleAgent,
			}}
			f.origin.onRead = func() { f.handle(offer); f.origin.onRead = nil }
			f.pool.holds[2] = true
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			f.nameVersions(materializer.Target{Since: f.now, Version: 2})
			f.advance(5 * time.Second)
			runtime.ReadMemStats(&after)
			f.wantLoaded(t, 2)
			if asked.Load() == 0 {
				t.Error("the other agent was not asked")
			}
			if got, most := taken.Load(), asked.Load()*maxTaken; got > most {
				t.Errorf("took %d bytes in %d reads, want at most %d", got, asked.Load(), most)
			}
			if got, most := int64(after.TotalAlloc-before.TotalAlloc), asked.Load()*maxAllocated; got > most {
				t.Errorf("allocated %d bytes in %d reads, want at most %d", got, asked.Load(), most)
			}
		})
	}
}
