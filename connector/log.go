package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxReadRecords is the most records that one read requests.
const maxReadRecords = 1000

// MaxRecordSize is the size limit of a record in bytes.
const MaxRecordSize = 4 << 20

// A Log is the client of the platform's log service.
type Log struct {
	client client
}

// NewLog returns a client of the log at baseURL.
func NewLog(httpClient *http.Client, baseURL string) *Log {
	return &Log{client: newClient(httpClient, baseURL)}
}

type appendResponse struct {
	Offset gooseberrypass.Offset `json:"offset"`
}

// Append implements gooseberrypass.Log. A body of more than MaxRecordSize bytes is
// an error and is not sent.
func (l *Log) Append(ctx context.Context, stream gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	if len(body) > MaxRecordSize {
		return 0, errors.Errorf("append to %s: record has %d bytes, limit is %d", stream, len(body), MaxRecordSize)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := l.client.newRequest(ctx, http.MethodPost, recordsPath(stream), body)
	if err != nil {
		return 0, err
	}
	var resp appendResponse
	err = l.client.exchangeJSON(r, http.StatusCreated, maxStateSize, &resp)
	switch {
	case statusCode(err) == http.StatusTooManyRequests:
		return 0, errors.Wrapf(gooseberrypass.ErrLogOverloaded, "append to %s", stream)
	case err != nil:
		return 0, unavailable(err)
	case resp.Offset == 0:
		return 0, unavailable(errors.Wrap(ErrInvalidResponse, "offset 0"))
	}
	return resp.Offset, nil
}

// Read implements gooseberrypass.Log.
func (l *Log) Read(
	ctx context.Context,
	stream gooseberrypass.Stream,
	from gooseberrypass.Offset,
	wait time.Duration,
) (gooseberrypass.Batch, error) {
	wait = max(wait, 0)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(maxReadRecords)},
		"wait":  {wait.String()},
	}
	r, err := l.client.newRequest(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return gooseberrypass.Batch{}, err
	}
	body, err := l.client.exchange(r, http.StatusOK, maxBatchSize)
	if statusCode(err) == http.StatusGone {
		return gooseberrypass.Batch{}, trimmedError(err)
	}
	if err != nil {
		return gooseberrypass.Batch{}, unavailable(err)
	}
	batch, err := DecodeBatch(body, from)
	if err != nil {
		return gooseberrypass.Batch{}, unavailable(err)
	}
	return batch, nil
}

type recordDocument struct {
	Body   []byte                `json:"body"`
	Offset gooseberrypass.Offset `json:"offset"`
	Time   time.Time             `json:"time"`
}

type batchDocument struct {
	First   gooseberrypass.Offset `json:"first"`
	Next    gooseberrypass.Offset `json:"next"`
	Records []recordDocument      `json:"records"`
}

// DecodeBatch decodes the response to a read from offset from. It returns
// ErrInvalidResponse unless the offsets are consecutive, start at from, or at 1 if
// from is 0, and stay below the next offset of the log.
func DecodeBatch(body []byte, from gooseberrypass.Offset) (gooseberrypass.Batch, error) {
	var doc batchDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return gooseberrypass.Batch{}, errors.Wrapf(ErrInvalidResponse, "batch: %v", err)
	}
	batch := gooseberrypass.Batch{First: doc.First, Next: doc.Next}
	expected := max(from, 1)
	for _, r := range doc.Records {
		if r.Offset != expected || r.Offset >= doc.Next {
			return gooseberrypass.Batch{}, errors.Wrapf(ErrInvalidResponse,
				"record %d where %d was due, next is %d", r.Offset, expected, doc.Next)
		}
		batch.Records = append(batch.Records, gooseberrypass.Record{Offset: r.Offset, Time: r.Time, Body: r.Body})
		expected++
	}
	return batch, nil
}

// trimmedError returns the *TrimmedError that the body of a 410 response
// describes.
func trimmedError(err error) error {
	var status *StatusError
	if !errors.As(err, &status) {
		return unavailable(err)
	}
	var doc batchDocument
	if jsonErr := json.Unmarshal([]byte(status.Detail), &doc); jsonErr != nil {
		return unavailable(errors.Wrapf(ErrInvalidResponse, "trimmed: %v", jsonErr))
	}
	return &gooseberrypass.TrimmedError{First: doc.First, Next: doc.Next}
}

func recordsPath(stream gooseberrypass.Stream) string {
	return "/streams/" + url.PathEscape(string(stream)) + "/records"
}

// unavailable wraps err in gooseberrypass.ErrLogUnavailable.
func unavailable(err error) error {
	return fmt.Errorf("%w: %w", gooseberrypass.ErrLogUnavailable, err)
}

var _ gooseberrypass.Log = (*Log)(nil)
