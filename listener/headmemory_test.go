package listener_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/reserver"
)

const (
	manyFields    = 2000
	headsMemory   = 4 << 20
	leastOfAField = 64 // bytes that a field takes at least in the map of headers
)

// headOfManyFields returns a legal head of 14 KB with fields of seven bytes.
func headOfManyFields(rest string) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: h\r\n")
	for i := range manyFields {
		fmt.Fprintf(&b, "%c%c%c:1\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
	}
	return b.String() + rest + "\r\n"
}

// startWithMemory serves the handler that wrap returns with a bound of the memory.
func startWithMemory(t *testing.T, wrap func(*reserver.Budget) http.Handler) *listener.Server {
	t.Helper()
	budget := reserver.New(clockwork.NewRealClock(), reserver.Settings{
		Small: headsMemory / 4, SmallBody: 64 << 10, Stall: 20 * time.Millisecond, Total: headsMemory, Wait: 100 * time.Millisecond,
	}, nil)
	return startWithLimits(t, wrap(budget), listener.Limits{
		Head: func() listener.HeadLimits { return listener.HeadLimits{} }, MaxConns: 100, Memory: budget, OnFull: budget.GiveUpStalled, Refused: func(string) {},
	})
}

// Callers with legal heads of many short fields took a process over its memory: only bodies
// were counted, and a parsed field takes many times its text.
func TestHeadsOfManyFieldsStayWithinTheMemory(t *testing.T) {
	const callers = 60
	release := make(chan struct{})
	var handled atomic.Int64
	l := startWithMemory(t, func(*reserver.Budget) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if len(r.Header) >= manyFields {
				handled.Add(1)
				<-release
			}
			echo(w, r)
		})
	})
	refused := make(chan struct{}, callers)
	var ended sync.WaitGroup
	for range callers {
		conn := dial(t, l.Address())
		send(t, conn, headOfManyFields(""))
		ended.Go(func() {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("got error %v, want an answer", err)
				refused <- struct{}{}
				return
			}
			_ = res.Body.Close()
			switch {
			case res.StatusCode == http.StatusOK:
				return
			case res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "":
				t.Errorf("got status %d, want %d or a refusal that says when to return", res.StatusCode, http.StatusOK)
			}
			refused <- struct{}{}
		})
	}
	for len(refused)+int(handled.Load()) < callers {
		time.Sleep(time.Millisecond)
	}
	const most = headsMemory / (manyFields * leastOfAField)
	if got := handled.Load(); got > most || got == 0 {
		t.Errorf("got %d requests with many fields at once, want 1 to %d", got, most)
	}
	ordinary := dial(t, l.Address())
	send(t, ordinary, plainRequest)
	if body, _ := readAnswer(bufio.NewReader(ordinary)); body != "got " {
		t.Errorf("ordinary request: got %q, want an answer", body)
	}
	close(release)
	ended.Wait()
}

// A caller that stops within its body holds the memory of its head too, and gives it up to
// others.
func TestStalledBodyGivesUpTheMemoryOfItsHead(t *testing.T) {
	l := startWithMemory(t, func(budget *reserver.Budget) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			memory := budget.OpenBody(r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
			defer memory.Close()
			body, err := memory.ReadBody(r.Context(), r.Body, r.ContentLength, 1<<20)
			if err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			_, _ = w.Write(append([]byte("got "), body...))
		})
	})
	stalled := make([]net.Conn, 0, 20)
	for range cap(stalled) {
		conn := dial(t, l.Address())
		send(t, conn, headOfManyFields("Content-Length: 4\r\n")+"bod")
		stalled = append(stalled, conn)
	}
	last := dial(t, l.Address())
	send(t, last, headOfManyFields("Content-Length: 4\r\n")+"body")
	if body, _ := readAnswer(bufio.NewReader(last)); body != "got body" {
		t.Errorf("got %q beside %d stalled callers, want the answer", body, len(stalled))
	}
}
