package connector_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
)

// Tokens that end with their connection are whole only with the last one.
func TestTokensCutAnywhereAreNotWhole(t *testing.T) {
	const whole = `{"index":0,"text":"a"}` + "\n" + `{"index":1,"text":"b","last":true}` + "\n"
	for cut := range len(whole) + 1 {
		tokens := connector.NewTokenStream(io.NopCloser(strings.NewReader(whole[:cut])))
		var err error
		for err == nil {
			_, err = tokens.Next()
		}
		want := io.ErrUnexpectedEOF
		if cut == len(whole) {
			want = io.EOF
		}
		if !errors.Is(err, want) {
			t.Errorf("cut after %d of %d bytes: got %v, want %v", cut, len(whole), err, want)
		}
	}
}

// The answer to a call may end with its connection, unless the connection is reset.
func TestCallAnswerThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		reset  bool
		want   gooseberrypass.Outcome
	}{
		"no length":        {answer: "HTTP/1.1 200 OK\r\n\r\nanswer", want: gooseberrypass.OutcomeAnswered},
		"1.0":              {answer: "HTTP/1.0 200 OK\r\n\r\nanswer", want: gooseberrypass.OutcomeAnswered},
		"no length, reset": {answer: "HTTP/1.1 200 OK\r\n\r\nans", reset: true, want: gooseberrypass.OutcomeUnknown},
		"short":            {answer: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans", want: gooseberrypass.OutcomeUnknown},
		"no last chunk":    {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n", want: gooseberrypass.OutcomeUnknown},
		"head":             {answer: "HTTP/1.1 200 OK\r\n", want: gooseberrypass.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, test.answer)
				if test.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}))
			body, err := connector.NewPlainService(newClient(t), url).Call(t.Context(), gooseberrypass.ServiceCall{AttemptID: "a", Call: "c"})
			if test.want == gooseberrypass.OutcomeAnswered {
				if got, want := string(body), "answer"; got != want || err != nil {
					t.Errorf("got %q, %v, want %q", got, err, want)
				}
				return
			}
			var failure *gooseberrypass.RequestError
			if !errors.As(err, &failure) || failure.Outcome != test.want {
				t.Errorf("got %q, %v, want outcome %s", body, err, test.want)
			}
		})
	}
}
