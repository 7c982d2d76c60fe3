package fetcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/keeper"
)

// headerRoom is added to the time that a peer may hold a request before it
// counts as silent.
const headerRoom = 2 * time.Second

// A Reader carries out fetches: it reads from one source, verifies and holds.
// It is safe for use by several goroutines.
type Reader struct {
	client *http.Client
	clock  gooseberrypass.Clock
	far    *farPacer
	keeper *keeper.Keeper
	origin gooseberrypass.Origin
	room   time.Duration // beyond the wait, before a peer counts as silent
	store  gooseberrypass.WeightStore
}

// NewReader returns a reader that asks peers through client. store may be nil.
func NewReader(
	client *http.Client,
	clock gooseberrypass.Clock,
	keeper *keeper.Keeper,
	origin gooseberrypass.Origin,
	store gooseberrypass.WeightStore,
) *Reader {
	return &Reader{client: client, clock: clock, far: newFarPacer(), keeper: keeper, origin: origin, room: headerRoom, store: store}
}

// SetHeaderRoom changes how long, beyond the time that it may hold a request, a
// peer may take to begin its answer. It must be called before the first Read.
func (r *Reader) SetHeaderRoom(d time.Duration) { r.room = d }

// SetRegionRate tells the bytes a second that all instances of this region
// together may take from each other region, and how many instances there are.
func (r *Reader) SetRegionRate(regionRate int64, instances int) {
	r.far.setRate(regionRate, instances)
}

// Read carries out one fetch.
func (r *Reader) Read(ctx context.Context, fetch Fetch) Done {
	ctx, cancel := context.WithTimeout(ctx, fetch.Limit)
	defer cancel()
	done := Done{ID: fetch.ID}
	start := r.clock.Now()
	var body []byte
	switch fetch.Kind {
	case SourceOrigin:
		body, done.Err = r.readOrigin(ctx, fetch.Item)
	case SourceStore:
		body, done.Err = r.store.Chunk(ctx, fetch.Item.Digest)
	default:
		body, start = r.readPeer(ctx, fetch, &done)
	}
	done.Took = r.clock.Since(start)
	done.Bytes = int64(len(body))
	if done.Err == nil {
		done.Err = r.hold(fetch.Item, body)
	}
	done.Result = resultOf(ctx, done.Err)
	return done
}

func (r *Reader) readOrigin(ctx context.Context, item Item) ([]byte, error) {
	if item.Manifest {
		return r.origin.Manifest(ctx, item.Model, item.Version)
	}
	return r.origin.ReadRange(ctx, item.Model, item.Version, item.Offset, item.Size)
}

// A pendingError tells that a peer waits for the chunk itself.
type pendingError struct{}

// Error implements error.
func (pendingError) Error() string { return "chunk on its way" }

// readPeer returns the body and the time at which its head came.
func (r *Reader) readPeer(ctx context.Context, fetch Fetch, done *Done) ([]byte, time.Time) {
	start := r.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(fetch.Wait+r.room, cancel)
	defer silence.Stop()
	address := url.URL{
		Scheme: "http", Host: fetch.Peer.Address, Path: "/chunks/" + fetch.Item.Digest.String(),
		RawQuery: url.Values{keeper.WaitParam: {fetch.Wait.String()}}.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		done.Err = err
		return nil, start
	}
	resp, err := r.client.Do(req)
	if err != nil {
		done.Err = silent(silence, err)
		return nil, start
	}
	defer func() { _ = resp.Body.Close() }()
	start = r.clock.Now()
	if !silence.Stop() {
		done.Err = context.DeadlineExceeded
		return nil, start
	}
	if done.Err = statusError(resp, done); done.Err != nil {
		return nil, start
	}
	if fetch.Kind == SourceFar {
		return r.readFar(ctx, resp, fetch, done)
	}
	body, err := readBody(resp.Body, resp.ContentLength, fetch.Item)
	done.Err = err
	return body, start
}

// readFar reads a body from another region, in its turn. It returns the body and
// the time at which its turn came.
func (r *Reader) readFar(ctx context.Context, resp *http.Response, fetch Fetch, done *Done) ([]byte, time.Time) {
	link := r.far.link(fetch.Peer.Region)
	end, err := link.begin(ctx)
	start := r.clock.Now()
	if err != nil {
		done.Err = err
		return nil, start
	}
	defer end()
	source := &pacedReader{body: resp.Body, ctx: ctx, limiter: link.limiter}
	body, err := readBody(source, resp.ContentLength, fetch.Item)
	done.Err = err
	return body, start
}

// silent tells a request that was given up for silence from one that failed.
func silent(silence *time.Timer, err error) error {
	if !silence.Stop() {
		return errors.Wrap(context.DeadlineExceeded, err.Error())
	}
	return err
}

func statusError(resp *http.Response, done *Done) error {
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		done.RetryAfter = time.Duration(min(seconds, int(defaultSourceMax/time.Second))) * time.Second
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return gooseberrypass.ErrChunkNotHeld
	case resp.Header.Get(keeper.StateHeader) == keeper.StatePending:
		return pendingError{}
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return gooseberrypass.ErrSourceBusy
	default:
		return errors.Errorf("peer answered %s", resp.Status)
	}
}

// readBody reads at most one byte more than an item may have. length is what
// the peer said the body has, negative if nothing.
func readBody(source io.Reader, length int64, item Item) ([]byte, error) {
	if item.Manifest {
		return io.ReadAll(io.LimitReader(source, item.Size+1))
	}
	body := make([]byte, item.Size+1)
	n, err := io.ReadFull(source, body)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	if err == nil && length >= 0 && int64(n) < min(length, item.Size) {
		err = io.ErrUnexpectedEOF
	}
	return body[:n:n], err
}

// hold verifies and holds the bytes read.
func (r *Reader) hold(item Item, body []byte) error {
	if !item.Manifest && int64(len(body)) != item.Size {
		return errors.Wrapf(keeper.ErrWrongDigest, "%d bytes, want %d", len(body), item.Size)
	}
	return r.keeper.Put(item.Digest, body)
}

func resultOf(ctx context.Context, err error) Result {
	var netErr net.Error
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, keeper.ErrWrongDigest):
		return ResultCorrupt
	case errors.Is(err, keeper.ErrFull):
		return ResultNoRoom
	case errors.Is(err, gooseberrypass.ErrChunkNotHeld):
		return ResultNotHeld
	case errors.Is(err, pendingError{}):
		return ResultPending
	case errors.Is(err, gooseberrypass.ErrSourceBusy):
		return ResultBusy
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return ResultTimeout
	case ctx.Err() != nil:
		return ResultCancelled
	default:
		return ResultUnreachable
	}
}
