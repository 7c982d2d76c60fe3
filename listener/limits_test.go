package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// startLimited serves handler with limits until the test ends. The channel receives the
// reasons for which connections are closed.
func startLimited(t *testing.T, handler http.Handler, conns int, head listener.HeadLimits, onFull func() bool) (*listener.Server, <-chan string) {
	t.Helper()
	reasons := make(chan string, 10)
	return startWithLimits(t, handler, listener.Limits{
		Head: func() listener.HeadLimits { return head }, MaxConns: conns, OnFull: onFull, Refused: func(reason string) { reasons <- reason },
	}), reasons
}

// startWithLimits serves handler with limits, without a log, until the test ends.
func startWithLimits(t *testing.T, handler http.Handler, limits listener.Limits) *listener.Server {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	limits.Logger = logger
	l, err := listener.ListenLimited(t.Context(), "127.0.0.1:0", handler, limits)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, testGrace) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: got error %v, want none", err)
		}
	})
	return l
}

// Connections that send nothing or a part of a head must not shut out ordinary callers.
func TestStuckConnectionMakesRoom(t *testing.T) {
	l, reasons := startLimited(t, http.HandlerFunc(echo), 2, listener.HeadLimits{}, func() bool { return false })
	silent := dial(t, l.Address())
	awaitConnections(l, 1)
	used := dial(t, l.Address())
	send(t, used, plainRequest)
	usedReader := bufio.NewReader(used)
	if body, _ := readAnswer(usedReader); body != "got " {
		t.Fatalf("got %q, want an answer", body)
	}
	time.Sleep(1100 * time.Millisecond) // an unused connection is preferred after a second
	conn := dial(t, l.Address())
	send(t, conn, plainRequest)
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "got " {
		t.Errorf("new connection: got %q, want an answer", body)
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("got bytes on the connection that sent nothing, want it closed")
	}
	send(t, used, plainRequest)
	if body, _ := readAnswer(usedReader); body != "got " {
		t.Errorf("kept connection: got %q, want an answer", body)
	}
	if got := <-reasons; got != listener.ReasonConnEvicted {
		t.Errorf("got reason %s, want %s", got, listener.ReasonConnEvicted)
	}
}

// Callers that come again at once pushed out those that had just connected, although a body
// could be given up.
func TestNewConnectionStaysIfABodyIsGivenUp(t *testing.T) {
	l, _ := startLimited(t, http.HandlerFunc(echo), 1, listener.HeadLimits{}, func() bool { return true })
	first := dial(t, l.Address())
	awaitConnections(l, 1)
	second := dial(t, l.Address())
	for name, conn := range map[string]net.Conn{"next": second, "first": first} {
		send(t, conn, plainRequest)
		if body, _ := readAnswer(bufio.NewReader(conn)); body != "got " {
			t.Errorf("%s connection: got %q, want an answer", name, body)
		}
	}
}

// A connection whose body will not end in time makes room before one that is idle between
// requests.
func TestIdleConnectionStaysIfABodyIsLate(t *testing.T) {
	l := startWithLimits(t, http.HandlerFunc(echo), listener.Limits{
		GiveUpLate: func() bool { return true }, Head: func() listener.HeadLimits { return listener.HeadLimits{} }, MaxConns: 1,
		OnFull: func() bool { return false }, Refused: func(string) {},
	})
	kept := dial(t, l.Address())
	keptReader := bufio.NewReader(kept)
	ask := func(conn net.Conn, r *bufio.Reader) {
		t.Helper()
		send(t, conn, plainRequest)
		if body, _ := readAnswer(r); body != "got " {
			t.Errorf("got %q, want an answer", body)
		}
	}
	ask(kept, keptReader)
	next := dial(t, l.Address())
	ask(next, bufio.NewReader(next))
	ask(kept, keptReader)
}

// Callers that come faster than those that were given up leave must not use up the file
// descriptors.
func TestConnectionsThatLeaveAreBounded(t *testing.T) {
	const conns = 8
	release := make(chan struct{})
	entered := make(chan struct{}, 2*conns)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		echo(w, r)
	})
	l, _ := startLimited(t, handler, conns, listener.HeadLimits{}, func() bool { return true })
	defer close(release)
	limit := conns + reserver.MaxLeaving(conns)
	for range limit {
		send(t, dial(t, l.Address()), plainRequest)
		<-entered
	}
	checkTurnedAway(t, dial(t, l.Address()))
	if got := l.Connections(); got != limit {
		t.Errorf("got %d connections, want %d", got, limit)
	}
}

// checkTurnedAway checks that a connection is refused without a request on it.
func checkTurnedAway(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testGrace)); err != nil { // the test hangs otherwise
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want a refusal", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", res.StatusCode, http.StatusServiceUnavailable)
	}
}

// A connection that has just been opened was closed for the next one while others were about to
// leave: an ordinary caller lost its request without an answer.
func TestNewConnectionStaysWhileOthersLeave(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			entered <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	l, _ := startLimited(t, handler, 1, listener.HeadLimits{}, func() bool { return true })
	defer close(release)
	send(t, dial(t, l.Address()), "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-entered
	conn := dial(t, l.Address())
	awaitConnections(l, 2)
	checkTurnedAway(t, dial(t, l.Address()))
	send(t, conn, plainRequest)
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "got " {
		t.Errorf("new connection: got %q, want an answer", body)
	}
}

// A caller that was refused and goes on sending makes room for the next one.
func TestConnectionThatDoesNotLeaveMakesRoom(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			echo(w, r)
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestTimeout)
	})
	l, _ := startLimited(t, refuse, 1, listener.HeadLimits{}, func() bool { return true })
	for range 20 { // each stays for 500 ms
		conn := dial(t, l.Address())
		send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")
		r := bufio.NewReader(conn)
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusRequestTimeout {
			t.Fatalf("got status %d, want %d", res.StatusCode, http.StatusRequestTimeout)
		}
		if _, err := r.ReadByte(); err != io.EOF { // the server has closed its side
			t.Fatalf("got error %v, want %v", err, io.EOF)
		}
	}
}

// awaitConnections returns once a server has n connections.
func awaitConnections(l *listener.Server, n int) {
	for l.Connections() < n {
		time.Sleep(time.Millisecond)
	}
}

// A request in progress must not be cut for a new connection.
func TestNewConnectionIsTurnedAwayIfAllAreBusy(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		echo(w, r)
	})
	stalled := false // whether a body may be given up
	l, reasons := startLimited(t, handler, 1, listener.HeadLimits{}, func() bool { return stalled })
	busy := dial(t, l.Address())
	send(t, busy, plainRequest)
	<-entered
	res, err := http.ReadResponse(bufio.NewReader(dial(t, l.Address())), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d (closes %t), want %d, Retry-After and a close", res.StatusCode, res.Close, http.StatusServiceUnavailable)
	}
	if got := <-reasons; got != listener.ReasonConnRefused {
		t.Errorf("got reason %s, want %s", got, listener.ReasonConnRefused)
	}
	close(release)
	if body, _ := readAnswer(bufio.NewReader(busy)); body != "got " {
		t.Errorf("busy connection: got %q, want an answer", body)
	}
}

// The operator's limits of the head hold where they are tighter than the server's, also for
// the second request of a connection.
func TestHeadLimits(t *testing.T) {
	for _, tt := range []struct {
		name, sent, want string
		limits           listener.HeadLimits
	}{
		{"time", "GET / HTTP/1.1\r\nHo", listener.ReasonHeadTimeout, listener.HeadLimits{Time: 50 * time.Millisecond}},
		{"size", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 16<<10), listener.ReasonHeadTooLarge, listener.HeadLimits{Bytes: 1 << 10}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, reasons := startLimited(t, http.HandlerFunc(echo), 10, tt.limits, func() bool { return false })
			conn := dial(t, l.Address())
			r := bufio.NewReader(conn)
			for range 2 {
				send(t, conn, plainRequest)
				if body, _ := readAnswer(r); body != "got " {
					t.Fatalf("got %q, want an answer", body)
				}
				time.Sleep(100 * time.Millisecond) // idle for longer than a head may take
			}
			send(t, conn, tt.sent)
			if got := <-reasons; got != tt.want {
				t.Errorf("got reason %s, want %s", got, tt.want)
			}
		})
	}
}

// The deadline of a head must not cut off the body and the answer behind it.
func TestHeadTimeEndsWithTheHead(t *testing.T) {
	l, _ := startLimited(t, http.HandlerFunc(echo), 10, listener.HeadLimits{Time: 50 * time.Millisecond}, func() bool { return false })
	conn := dial(t, l.Address())
	send(t, conn, "POST / HTTP/1.1\r\nHo")
	time.Sleep(10 * time.Millisecond) // the rest is read with the deadline of the head
	send(t, conn, "st: h\r\nContent-Length: 4\r\n\r\nbo")
	time.Sleep(150 * time.Millisecond)
	send(t, conn, "dy")
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "got body" {
		t.Errorf("got %q, want %q", body, "got body")
	}
}
