package answerer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass/answerer"
	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// Bodies that stop short of their end filled the memory of an entry. The one without progress
// must get an answer that says that it has not run, and the next request its memory.
func TestBodyWithoutProgressGivesWay(t *testing.T) {
	refused := make(chan string, 10)
	memory := reserver.New(clockwork.NewRealClock(), reserver.Settings{SmallBody: 1, Stall: time.Millisecond, Total: 64 << 10, Wait: 10 * time.Second}, nil)
	_, url := startStoppingEntry(t, t.Context(), newLog(), members{}, func(d *answerer.Dependencies) {
		d.Memory, d.Refused = memory, func(reason string) { refused <- reason }
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const size = 30 << 10
	if _, err := fmt.Fprintf(conn, "POST /v1/generate HTTP/1.1\r\nHost: h\r\nClient-Account: radio\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", size-1)); err != nil {
		t.Fatal(err)
	}
	for memory.Usage().Used < size {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Millisecond) // longer than Stall
	res, err := http.Post(url+"/v1/generate", "application/json", strings.NewReader(strings.Repeat(" ", 20<<10)))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusBadRequest { // it was read and decoded
		t.Errorf("next request: got status %d, want %d", res.StatusCode, http.StatusBadRequest)
	}
	res, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(body), `"outcome":"not run"`) || !res.Close || res.Header.Get("Retry-After") == "" {
		t.Errorf("stalled body: got %d %s (closes %t), want %d, not run, Retry-After and a close", res.StatusCode, body, res.Close, http.StatusRequestTimeout)
	}
	if got := <-refused; got != reserver.ReasonBodyStalled {
		t.Errorf("got reason %s, want %s", got, reserver.ReasonBodyStalled)
	}
	for deadline := time.Now().Add(10 * time.Second); memory.Usage().Used != 0; time.Sleep(time.Millisecond) { // an answer arrives before its handler ends
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes reserved after the end, want 0", memory.Usage().Used)
		}
	}
}

// A request that waits for memory when a planned stop ends is a sound one: it must be refused
// for retry, not as malformed.
func TestStopWhileABodyWaitsForMemory(t *testing.T) {
	stop, expire := context.WithCancel(t.Context())
	memory := reserver.New(clockwork.NewRealClock(), reserver.Settings{SmallBody: 1, Stall: time.Minute, Total: 64 << 10, Wait: time.Minute}, nil)
	held := memory.Open(nil)
	if err := held.Reserve(t.Context(), 64<<10); err != nil {
		t.Fatal(err)
	}
	_, url := startStoppingEntry(t, stop, newLog(), members{}, func(d *answerer.Dependencies) {
		d.Memory, d.Refused = memory, func(string) {}
	})
	go func() {
		for memory.Usage().Bodies < 2 {
			time.Sleep(time.Millisecond)
		}
		expire()
	}()
	res, err := http.Post(url+"/v1/generate", "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"outcome":"not run"`) {
		t.Errorf("got %d %s, want %d, not run", res.StatusCode, body, http.StatusServiceUnavailable)
	}
}
