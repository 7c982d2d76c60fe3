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

// A fixedTransport answers each attempt with the first numCorrect frames of the
// correct answer, followed by body.
type fixedTransport struct {
	body       []byte
	numCorrect int
}

func (t fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body bytes.Buffer
	if r.URL.Path == "/attempts" {
		sent, err := io.ReadAll(r.Body)
		attempt := &wire.Attempt{}
		if err != nil || proto.Unmarshal(sent, attempt) != nil {
			return nil, errors.New("bad attempt")
		}
		for _, f := range correctFrames(attempt)[:t.numCorrect] {
			_, _ = protodelim.MarshalTo(&body, f)
		}
	}
	body.Write(t.body)
	return &http.Response{Body: io.NopCloser(&body), Header: http.Header{}, Request: r, StatusCode: http.StatusOK}, nil
}

// Whatever bytes an agent answers with, the caller must get the correct answer or a
// *RequestError, and must not see a wrong answer as complete.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, 0)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f}, 3)
	f.Add([]byte{2, 8, 1}, 6)
	f.Fuzz(func(t *testing.T, body []byte, numCorrect int) {
		transport := fixedTransport{body: body, numCorrect: min(max(numCorrect, 0), 6)}
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
