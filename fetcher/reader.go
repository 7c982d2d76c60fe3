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
	"github.com/gooseberrypass/gooseberrypass/cacher"
)

// defaultHeaderTimeout is how long a peer may take for its response header, in
// addition to Fetch.Wait.
const defaultHeaderTimeout = 2 * time.Second

// A Reader executes fetches: it reads an item from one source, verifies it and
// puts it into the cacher. It is safe for concurrent use.
type Reader struct {
	cacher        *cacher.Cacher
	client        *http.Client
	clock         gooseberrypass.Clock
	headerTimeout time.Duration // timeout of the response header, in addition to Fetch.Wait
	origin        gooseberrypass.Origin
	regions       *regionPacer
	store         gooseberrypass.WeightStore
}

// NewReader returns a reader that requests items of peers through client. store
// may be nil.
func NewReader(
	client *http.Client,
	clock gooseberrypass.Clock,
	cacher *cacher.Cacher,
	origin gooseberrypass.Origin,
	store gooseberrypass.WeightStore,
) *Reader {
	return &Reader{cacher: cacher, client: client, clock: clock, headerTimeout: defaultHeaderTimeout, origin: origin, regions: newRegionPacer(), store: store}
}

// SetHeaderTimeout sets how long a peer may take for its response header, in addition
// to Fetch.Wait. It must be called before the first Read.
func (r *Reader) SetHeaderTimeout(d time.Duration) { r.headerTimeout = d }

// SetRegionRate sets how many bytes a second the instances of this region together
// may read from each other region, and how many instances these are. A rate of 0
// means no limit.
func (r *Reader) SetRegionRate(regionRate int64, instances int) {
	r.regions.setRate(regionRate, instances)
}

// Read executes one fetch.
func (r *Reader) Read(ctx context.Context, fetch Fetch) Outcome {
	ctx, cancel := context.WithTimeout(ctx, fetch.Timeout)
	defer cancel()
	out := Outcome{ID: fetch.ID}
	start := r.clock.Now()
	var body []byte
	switch fetch.Kind {
	case SourceOrigin:
		body, out.Err = r.readOrigin(ctx, fetch.Item)
	case SourceStore:
		body, out.Err = r.store.Chunk(ctx, fetch.Item.Digest)
	default:
		body, start = r.readPeer(ctx, fetch, &out)
	}
	out.Took = r.clock.Since(start)
	out.Bytes = int64(len(body))
	if out.Err == nil {
		out.Err = r.verify(fetch.Item, body)
	}
	out.Result = resultOf(ctx, out.Err)
	return out
}

func (r *Reader) readOrigin(ctx context.Context, item Item) ([]byte, error) {
	if item.Manifest {
		return r.origin.Manifest(ctx, item.Model, item.Version)
	}
	return r.origin.ReadRange(ctx, item.Model, item.Version, item.Offset, item.Size)
}

// A pendingError is returned if a peer does not hold the chunk yet but is about to
// fetch it.
type pendingError struct{}

// Error implements error.
func (pendingError) Error() string { return "peer does not hold the chunk yet" }

// readPeer returns the body and the time at which its header arrived.
func (r *Reader) readPeer(ctx context.Context, fetch Fetch, out *Outcome) ([]byte, time.Time) {
	start := r.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(fetch.Wait+r.headerTimeout, cancel)
	defer timer.Stop()
	address := url.URL{
		Scheme: "http", Host: fetch.Peer.Address, Path: "/chunks/" + fetch.Item.Digest.String(),
		RawQuery: url.Values{cacher.WaitParam: {fetch.Wait.String()}}.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		out.Err = err
		return nil, start
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.Err = headerError(timer, err)
		return nil, start
	}
	defer func() { _ = resp.Body.Close() }()
	start = r.clock.Now()
	if !timer.Stop() {
		out.Err = context.DeadlineExceeded
		return nil, start
	}
	if out.Err = statusError(resp, out); out.Err != nil {
		return nil, start
	}
	if fetch.Kind == SourceCrossRegion {
		return r.readCrossRegion(ctx, resp, fetch, out)
	}
	body, err := readBody(resp.Body, resp.ContentLength, fetch.Item)
	out.Err = err
	return body, start
}

// readCrossRegion reads a body from another region under its rate limit. It returns
// the body and the time at which the read started.
func (r *Reader) readCrossRegion(ctx context.Context, resp *http.Response, fetch Fetch, out *Outcome) ([]byte, time.Time) {
	link := r.regions.link(fetch.Peer.Region)
	release, err := link.acquire(ctx)
	start := r.clock.Now()
	if err != nil {
		out.Err = err
		return nil, start
	}
	defer release()
	source := &pacedReader{body: resp.Body, ctx: ctx, limiter: link.limiter}
	body, err := readBody(source, resp.ContentLength, fetch.Item)
	out.Err = err
	return body, start
}

// headerError returns the error of a request that failed before its header
// arrived: context.DeadlineExceeded if timer has fired, else err.
func headerError(timer *time.Timer, err error) error {
	if !timer.Stop() {
		return errors.Wrap(context.DeadlineExceeded, err.Error())
	}
	return err
}

// statusError returns the error for the status of a peer's response. It sets
// RetryAfter from the response header.
func statusError(resp *http.Response, out *Outcome) error {
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(min(seconds, int(defaultSourceBackoffMax/time.Second))) * time.Second
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return gooseberrypass.ErrChunkNotHeld
	case resp.Header.Get(cacher.StateHeader) == cacher.StatePending:
		return pendingError{}
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return gooseberrypass.ErrSourceBusy
	default:
		return errors.Errorf("peer returned status %s", resp.Status)
	}
}

// readBody reads at most one byte more than the size of the item, so that a longer
// body does not pass as correct. length is the Content-Length of the response,
// negative if unknown; a shorter body is an error.
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

// verify checks the bytes read against the item and puts them into the cacher.
func (r *Reader) verify(item Item, body []byte) error {
	if !item.Manifest && int64(len(body)) != item.Size {
		return errors.Wrapf(cacher.ErrWrongDigest, "%d bytes, want %d", len(body), item.Size)
	}
	return r.cacher.Put(item.Digest, body)
}

func resultOf(ctx context.Context, err error) Result {
	var netErr net.Error
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, cacher.ErrWrongDigest):
		return ResultCorrupt
	case errors.Is(err, cacher.ErrFull):
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
