package retrier_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// An answering transport gives each attempt some bytes as its answer, after
// the frames of a right one up to a number.
type answering struct {
	body  []byte
	right int
}

func (a answering) RoundTrip(r *http.Request) (*http.Response, error) {
	var body bytes.Buffer
	if r.URL.Path == "/attempts" {
		sent, err := io.ReadAll(r.Body)
		attempt := &wire.Attempt{}
		if err != nil || proto.Unmarshal(sent, attempt) != nil {
			return nil, errors.New("bad attempt")
		}
		for _, f := range answerTo(attempt)[:a.right] {
			_, _ = protodelim.MarshalTo(&body, f)
		}
	}
	body.Write(a.body)
	return &http.Response{Body: io.NopCloser(&body), Header: http.Header{}, Request: r, StatusCode: http.StatusOK}, nil
}

// Whatever bytes an agent answers with, the caller gets the right answer or a
// typed failure that promises nothing.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, 0)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f}, 3)
	f.Add([]byte{2, 8, 1}, 6)
	f.Fuzz(func(t *testing.T, body []byte, right int) {
		transport := answering{body: body, right: min(max(right, 0), 6)}
		r := newRetrier(t, members{newMember("w-0", "a")}, retrier.NewHTTPDispatcher(&http.Client{Transport: transport}), 1, 2)
		got := &caller{}
		err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), got)
		var failure *gooseberrypass.RequestError
		if err == nil && got.text == "answer to x." && got.ended {
			return
		}
		if !errors.As(err, &failure) || got.ended {
			t.Errorf("got %q, ended %v, error %v", got.text, got.ended, err)
		}
	})
}
