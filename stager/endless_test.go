package stager_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/stager"
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

// maxReadAtOnce is the most that an agent holds of the staged chunks that it reads back.
const maxReadAtOnce = 8 << 20

// endlessAnswers answers each request without end and counts what is read.
type endlessAnswers struct {
	onAnswer func() // called for each answer, may be nil

	mu       sync.Mutex
	answers  int
	longest  int64 // bytes read of one answer
	most     int64 // bytes read of the answers that were open at once
	open     int64 // bytes read of the answers that are open now
	openNow  int
	openMost int
}

func (a *endlessAnswers) RoundTrip(req *http.Request) (*http.Response, error) {
	if a.onAnswer != nil {
		a.onAnswer()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers++
	a.openNow++
	a.openMost = max(a.openMost, a.openNow)
	return &http.Response{Body: &endlessBody{answers: a}, ContentLength: -1, Header: http.Header{}, Request: req, StatusCode: http.StatusOK}, nil
}

type endlessBody struct {
	answers *endlessAnswers
	closed  bool
	read    int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	a := b.answers
	a.mu.Lock()
	if b.closed || b.read >= sentAtMost {
		a.mu.Unlock()
		return 0, io.EOF
	}
	b.read += int64(len(p))
	a.open += int64(len(p))
	a.longest, a.most = max(a.longest, b.read), max(a.most, a.open)
	a.mu.Unlock()
	time.Sleep(time.Millisecond) // lets the other readers come as far
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.answers.mu.Lock()
	defer b.answers.mu.Unlock()
	if !b.closed {
		b.closed = true
		b.answers.open -= b.read
		b.answers.openNow--
	}
	return nil
}

// An endlessEngine is sound, but for the staged chunks, which another one reads.
type endlessEngine struct {
	gooseberrypass.StagedEngine
	sound *engine
}

// Hearing implements gooseberrypass.AdvisedEngine. The engine has nothing to say.
func (e *endlessEngine) Hearing(func(gooseberrypass.Advisory)) gooseberrypass.StagedEngine { return e }

func (e *endlessEngine) ListStaged(ctx context.Context, model string) ([]int, error) {
	return e.sound.ListStaged(ctx, model)
}

func (e *endlessEngine) Report(ctx context.Context) (gooseberrypass.EngineReport, error) {
	return e.sound.Report(ctx)
}

func (e *endlessEngine) Stage(ctx context.Context, model string, index int, body []byte) error {
	return e.sound.Stage(ctx, model, index, body)
}

func (e *endlessEngine) StartLoad(ctx context.Context, order gooseberrypass.StartOrder) (gooseberrypass.StartResult, error) {
	return e.sound.StartLoad(ctx, order)
}

// A sizedOrigin returns manifests whose chunks have a size of their own.
type sizedOrigin struct {
	origin
	size int64
}

func (o *sizedOrigin) Manifest(ctx context.Context, model, version string) ([]byte, error) {
	encoded, err := o.origin.Manifest(ctx, model, version)
	if err != nil {
		return nil, err
	}
	m, err := gooseberrypass.ParseManifest(encoded)
	if err != nil {
		return nil, err
	}
	chunks := make([]gooseberrypass.Chunk, 0, m.Len())
	for i := range m.Len() {
		chunks = append(chunks, gooseberrypass.Chunk{Digest: m.Chunk(i).Digest, Size: o.size})
	}
	if m, err = gooseberrypass.NewManifest(model, version, gooseberrypass.Digest{}, chunks); err != nil {
		return nil, err
	}
	return m.Encoded(), nil
}

// An engine returned staged chunks without end. The agent read 8 MiB in place of each, of
// several at once, until its machine had no memory left.
func TestEndlessStagedChunksAreCut(t *testing.T) {
	for name, size := range map[string]int64{"small": chunkSize, "large": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				answers := &endlessAnswers{}
				// The first pass before the order takes too long, so that the next one reads several
				// chunks at once.
				standStill := sync.OnceFunc(func() { f.clock.Advance(5 * time.Second) })
				answers.onAnswer = func() {
					if last := chunkCount - 1; bytes.Equal(f.engine.stage[last], chunkBody(2, last)) {
						standStill()
					}
				}
				reader := platform.NewEngine(&http.Client{Transport: answers}, "engine")
				f.stager = f.newStagerBeside(&endlessEngine{StagedEngine: reader, sound: f.engine}, f.pool.chunks, f.pool, &sizedOrigin{size: size}, fixtureSettings())
				f.pool.holds[2] = true
				f.nameVersions(materializer.Target{Since: f.now, Version: 2})
				f.advance(5 * time.Second)
				f.wantLoaded(t, 2)
				if answers.openMost < 2 {
					t.Errorf("got %d chunks read at once, want several", answers.openMost)
				}
				if got, most := answers.longest, size+1; got > most {
					t.Errorf("read %d bytes in place of a chunk, want at most %d", got, most)
				}
				if got := answers.most; got > maxReadAtOnce {
					t.Errorf("held %d bytes of %d chunks at once, want at most %d", got, answers.openMost, maxReadAtOnce)
				}
			})
		})
	}
}

// Another agent returned a manifest without end. 16 MiB were read in place of one of four chunks,
// and decoding them takes a multiple of it.
func TestEndlessManifestIsReadUpToItsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		answers := &endlessAnswers{}
		f.manifests = stager.NewManifests(&http.Client{Transport: answers})
		f.stager = f.newStager(f.pool.chunks, f.pool, f.origin, fixtureSettings())
		f.origin.corrupt = 2
		f.origin.onRead = func() {
			f.origin.onRead = nil
			f.handle(gossiper.Received{Message: gossiper.Message{
				Address: "peer", From: "other", Manifests: []gooseberrypass.ModelTarget{{Model: "m", Version: 2}}, Role: gooseberrypass.RoleAgent,
			}})
		}
		f.pool.holds[2] = true
		f.nameVersions(materializer.Target{Since: f.now, Version: 2})
		f.advance(5 * time.Second)
		f.wantLoaded(t, 2)
		if answers.answers == 0 {
			t.Error("the other agent was not asked")
		}
		if got, most := answers.longest, int64(8<<10); got > most {
			t.Errorf("read %d bytes in place of a manifest of %d chunks, want at most %d", got, chunkCount, most)
		}
	})
}
