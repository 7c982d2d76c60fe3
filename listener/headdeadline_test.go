package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/listener"
)

// A deadlineListener records the last read deadline of its connections.
type deadlineListener struct {
	net.Listener
	last      atomic.Pointer[time.Time]
	timeOfDay atomic.Int64 // deadlines in the future that a step of the clock would move
}

type deadlineConn struct {
	net.Conn
	lis *deadlineListener
}

func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: c, lis: l}, nil
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.lis.last.Store(&t)
	if t.After(time.Now()) && !strings.Contains(t.String(), "m=") { // without a monotonic reading
		c.lis.timeOfDay.Add(1)
	}
	return c.Conn.SetReadDeadline(t)
}

// serveWithDeadlines serves handler with a limit of 5 s for heads until the test ends.
func serveWithDeadlines(t *testing.T, handler http.Handler) *deadlineListener {
	t.Helper()
	bound, err := listener.Bind(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	lis := &deadlineListener{Listener: bound}
	l := listener.NewLimited(lis, handler, listener.Limits{
		Head: func() listener.HeadLimits { return listener.HeadLimits{Time: 5 * time.Second} }, Logger: logger, MaxConns: 10, OnFull: func() bool { return false }, Refused: func(string) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, testGrace) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: got error %v, want none", err)
		}
	})
	return lis
}

// A step of the clock must neither cut off a head nor give it more time.
func TestHeadDeadlineDoesNotFollowTheTimeOfDay(t *testing.T) {
	lis := serveWithDeadlines(t, http.HandlerFunc(echo))
	conn := dial(t, lis.Addr().String())
	send(t, conn, "GET / HTTP/1.1\r\nHo")
	time.Sleep(10 * time.Millisecond) // the rest is read with the deadline of the head
	send(t, conn, "st: h\r\n\r\n")
	if body, _ := readAnswer(bufio.NewReader(conn)); body != "got " {
		t.Fatalf("got %q, want an answer", body)
	}
	if got := lis.timeOfDay.Load(); got != 0 {
		t.Errorf("got %d deadlines by the time of day, want none", got)
	}
}

// net/http reads on a connection while a request without a body is handled, and may begin
// before the server knows that the request is in progress. The deadline of the head ended
// such a read, and with it the request.
func TestHeadDeadlineEndsBeforeTheRequestIsHandled(t *testing.T) {
	late := make(chan time.Time, 1)
	var lis *deadlineListener
	lis = serveWithDeadlines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond) // lets the read of net/http begin
		if last := lis.last.Load(); last != nil && !last.IsZero() {
			select {
			case late <- *last:
			default:
			}
		}
		echo(w, r)
	}))
	conn := dial(t, lis.Addr().String())
	r := bufio.NewReader(conn)
	for range 1000 {
		send(t, conn, plainRequest)
		if body, _ := readAnswer(r); body != "got " {
			t.Fatalf("got %q, want an answer", body)
		}
	}
	select {
	case at := <-late:
		t.Errorf("got the read deadline %v in a request, want none", at)
	default:
	}
}
