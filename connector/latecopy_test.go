package connector_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
)

// serveWithCopies answers each request with one of the responses in turn, after a copy of the
// last response on the same connection. It returns the base URL.
func serveWithCopies(t *testing.T, responses ...string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	next := make(chan string, len(responses))
	for _, r := range responses {
		next <- r
	}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				late := ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, late)
					late = <-next
					_, _ = io.WriteString(conn, late)
				}
			}()
		}
	}()
	return "http://" + lis.Addr().String()
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// A late copy of an earlier refusal told the next caller that its call had not run, and a late
// copy of an answer was the answer to another call.
func TestLateCopyIsNoAnswerToTheNextCall(t *testing.T) {
	for name, first := range map[string]string{"refusal": response("429 Too Many Requests", "full"), "answer": response("200 OK", "other")} {
		t.Run(name, func(t *testing.T) {
			service := connector.NewPlainService(newClient(t), serveWithCopies(t, first, response("200 OK", "own")))
			_, _ = service.Call(t.Context(), gooseberrypass.ServiceCall{AttemptID: "1", Call: "c"})
			if got, err := service.Call(t.Context(), gooseberrypass.ServiceCall{AttemptID: "2", Call: "c"}); string(got) != "own" || err != nil {
				t.Errorf("got %q, %v, want its own answer", got, err)
			}
		})
	}
}

// The same at an engine, also for copies of reports.
func TestLateCopyIsNoAnswerToTheNextGeneration(t *testing.T) {
	const token = `{"index":0,"text":"a","last":true}` + "\n"
	for name, first := range map[string]string{"refusal": response("429 Too Many Requests", "full"), "not loaded": response("404 Not Found", "")} {
		t.Run(name, func(t *testing.T) {
			engine := connector.NewEngine(newClient(t), serveWithCopies(t, first, response("200 OK", token)))
			if name == "not loaded" {
				_, _ = engine.State(t.Context())
			} else {
				_, _ = engine.Generate(t.Context(), gooseberrypass.GenerateOrder{AttemptID: "1"})
			}
			tokens, err := engine.Generate(t.Context(), gooseberrypass.GenerateOrder{AttemptID: "2"})
			if err != nil {
				t.Fatalf("got %v, want a stream", err)
			}
			defer func() { _ = tokens.Close() }()
			if _, err := tokens.Next(); err != nil && !errors.Is(err, io.EOF) {
				t.Errorf("got %v, want a token", err)
			}
		})
	}
}
