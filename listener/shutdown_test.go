package listener_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass/listener"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// dial connects to a server.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send writes text to a connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readAnswer returns the body of the next answer, or the error that ends it, and whether
// the connection closes after it.
func readAnswer(r *bufio.Reader) (string, bool) {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err.Error(), true
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error(), true
	}
	return string(body), res.Close
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, "got "+string(body))
}

// Requests that reached the process in a planned stop were dropped without an answer.
func TestRequestThatArrivesInAStopIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after string // sent before the stop and in it
	}{
		{"on a new connection", "", plainRequest},
		{"with half of its head read", "GET / HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		{"with half of its body read", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy"},
		{"in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			entered, release := make(chan struct{}, 2), make(chan struct{})
			l, stop := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				entered <- struct{}{}
				if r.URL.Path == "/held" {
					<-release
				}
				echo(w, r)
			}))
			conn := dial(t, l.Address())
			send(t, conn, tt.before)
			held := dial(t, l.Address()) // accepted later than conn
			send(t, held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			stopped := make(chan error, 1)
			go func() { stopped <- stop() }()
			awaitClosedPort(l.Address())
			send(t, conn, tt.after)
			body, closes := readAnswer(bufio.NewReader(conn))
			want := "got "
			if tt.before != "" && tt.before[0] == 'P' {
				want += "body"
			}
			if body != want || !closes {
				t.Errorf("got answer %q (closes %t), want %q and Connection: close", body, closes, want)
			}
			close(release)
			if err := <-stopped; err != nil {
				t.Errorf("Run: got error %v, want none", err)
			}
		})
	}
}

// Connections that waited to be accepted were reset when a stop closed the address.
func TestConnectionInTheAcceptQueueIsServed(t *testing.T) {
	l, err := listener.Listen(t.Context(), "127.0.0.1:0", http.HandlerFunc(echo))
	if err != nil {
		t.Fatal(err)
	}
	conn := dial(t, l.Address())
	send(t, conn, plainRequest)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Run(ctx, testGrace); err != nil {
		t.Fatal(err)
	}
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "got " {
		t.Errorf("got answer %q, want %q", body, "got ")
	}
}

// A pipelined request that a stop leaves unread must not reset the connection while the
// answer before it is on its way.
func TestUnreadRequestDoesNotCutTheAnswerBeforeIt(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 8<<20)
	entered, release := make(chan struct{}), make(chan struct{})
	l, stop := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		w.Header().Set("Connection", "close")
		_, _ = w.Write(answer)
	}))
	conn := dial(t, l.Address())
	send(t, conn, plainRequest)
	<-entered
	send(t, conn, plainRequest+plainRequest)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	awaitClosedPort(l.Address())
	close(release)
	if body, _ := readAnswer(bufio.NewReader(conn)); body != string(answer) {
		t.Errorf("got an answer of %d bytes (%.80s), want %d", len(body), body, len(answer))
	}
	_ = conn.Close()
	if err := <-stopped; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}

// A kept connection without a request must not hold up a stop.
func TestIdleConnectionIsClosedInAStop(t *testing.T) {
	l, stop := startServer(t, http.HandlerFunc(echo))
	conn := dial(t, l.Address())
	send(t, conn, plainRequest)
	r := bufio.NewReader(conn)
	if body, closes := readAnswer(r); body != "got " || closes {
		t.Fatalf("got answer %q (closes %t), want %q on a kept connection", body, closes, "got ")
	}
	if err := stop(); err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("got bytes on an idle connection, want it closed")
	}
}

// awaitClosedPort returns when an address accepts no connections.
func awaitClosedPort(address string) {
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond) // a packet that crosses the close is repeated after a second
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// Requests in progress at the end of a grace period were cut without an answer.
func TestCanceledRequestIsAnswered(t *testing.T) {
	expired, expire := context.WithCancel(t.Context())
	entered := make(chan struct{})
	l, stop := startServer(t, listener.CancelRequests(expired, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		_, _ = io.WriteString(w, "unknown")
	})))
	conn := dial(t, l.Address())
	send(t, conn, plainRequest)
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	expire()
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "unknown" {
		t.Errorf("got answer %q, want %q", body, "unknown")
	}
	_ = conn.Close()
	if err := <-stopped; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}
