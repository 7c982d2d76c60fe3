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

// readLimit is how many records one read asks for.
const readLimit = 1000

// MaxRecordSize is the most bytes of one record of the log.
const MaxRecordSize = 4 << 20

// A Log is the platform's log service.
type Log struct {
	client client
}

// NewLog returns the log at baseURL.
func NewLog(httpClient *http.Client, baseURL string) *Log {
	return &Log{client: newClient(httpClient, baseURL)}
}

type appendAnswer struct {
	Offset gooseberrypass.Offset `json:"offset"`
}

// Append implements gooseberrypass.Log.
func (l *Log) Append(ctx context.Context, stream gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	if len(body) > MaxRecordSize {
		return 0, errors.Errorf("append to %s: record of %d bytes, at most %d", stream, len(body), MaxRecordSize)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := l.client.newRequest(ctx, http.MethodPost, recordsPath(stream), body)
	if err != nil {
		return 0, err
	}
	var answer appendAnswer
	err = l.client.exchangeJSON(r, http.StatusCreated, maxStateSize, &answer)
	switch {
	case statusCode(err) == http.StatusTooManyRequests:
		return 0, errors.Wrapf(gooseberrypass.ErrLogOverloaded, "append to %s", stream)
	case err != nil:
		return 0, unavailable(err)
	case answer.Offset == 0:
		return 0, unavailable(errors.Wrap(ErrBadAnswer, "offset 0"))
	}
	return answer.Offset, nil
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
		"limit": {strconv.Itoa(readLimit)},
		"wait":  {wait.String()},
	}
	r, err := l.client.newRequest(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return gooseberrypass.Batch{}, err
	}
	body, err := l.client.exchange(r, http.StatusOK, maxBatchSize)
	if statusCode(err) == http.StatusGone {
		return gooseberrypass.Batch{}, trimmed(err)
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

type recordAnswer struct {
	Body   []byte                `json:"body"`
	Offset gooseberrypass.Offset `json:"offset"`
	Time   time.Time             `json:"time"`
}

type batchAnswer struct {
	First   gooseberrypass.Offset `json:"first"`
	Next    gooseberrypass.Offset `json:"next"`
	Records []recordAnswer        `json:"records"`
}

// DecodeBatch decodes the answer to a read from offset from. It returns
// ErrBadAnswer if the records are not dense or lie outside the batch's bounds.
func DecodeBatch(body []byte, from gooseberrypass.Offset) (gooseberrypass.Batch, error) {
	var answer batchAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return gooseberrypass.Batch{}, errors.Wrapf(ErrBadAnswer, "batch: %v", err)
	}
	batch := gooseberrypass.Batch{First: answer.First, Next: answer.Next}
	expected := max(from, 1)
	for _, r := range answer.Records {
		if r.Offset != expected || r.Offset >= answer.Next {
			return gooseberrypass.Batch{}, errors.Wrapf(ErrBadAnswer,
				"record %d where %d was due, next is %d", r.Offset, expected, answer.Next)
		}
		batch.Records = append(batch.Records, gooseberrypass.Record{Offset: r.Offset, Time: r.Time, Body: r.Body})
		expected++
	}
	return batch, nil
}

// trimmed returns the *TrimmedError that the body of a 410 describes.
func trimmed(err error) error {
	var status *StatusError
	if !errors.As(err, &status) {
		return unavailable(err)
	}
	var answer batchAnswer
	if jsonErr := json.Unmarshal([]byte(status.Detail), &answer); jsonErr != nil {
		return unavailable(errors.Wrapf(ErrBadAnswer, "trimmed: %v", jsonErr))
	}
	return &gooseberrypass.TrimmedError{First: answer.First, Next: answer.Next}
}

func recordsPath(stream gooseberrypass.Stream) string {
	return "/streams/" + url.PathEscape(string(stream)) + "/records"
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", gooseberrypass.ErrLogUnavailable, err)
}

var _ gooseberrypass.Log = (*Log)(nil)
