package listener_test

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// A caller that stopped in the middle of a body kept its connection after the time limit.
func TestConnectionClosesAfterABodyThatIsLate(t *testing.T) {
	l, stop := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err != nil {
			t.Error(err)
		}
		if _, err := io.ReadAll(r.Body); err == nil {
			t.Error("got half a body without an error")
		}
		panic(http.ErrAbortHandler)
	}))
	conn := dial(t, l.Address())
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	if err := conn.SetReadDeadline(time.Now().Add(testGrace)); err != nil { // the test hangs otherwise
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); err != nil {
		t.Errorf("got %q and %v, want the end of the connection", got, err)
	}
	if err := stop(); err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}
