package logwriter_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass/logwriter"
)

// A goroutine that outlives the work of a process, such as a reload that a SIGHUP began
// during its stop, may log after the writer was closed. That must not end the process.
func TestLineAfterCloseDoesNotPanic(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out)
	if _, err := w.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{}, 4)
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for range cap(started) {
		writers.Go(func() {
			for first := true; ; first = false {
				if n, err := w.Write([]byte("late\n")); n != len("late\n") || err != nil {
					t.Errorf("got %d, %v, want the line taken", n, err)
				}
				if first {
					started <- struct{}{}
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	for range cap(started) {
		<-started
	}
	w.Close(time.Minute)
	// Lines of the flood may have been dropped and reported before the first line is written.
	got := out.Bytes()
	before, late := bytes.Index(got, []byte("before\n")), bytes.Index(got, []byte("late\n"))
	if before < 0 || late >= 0 && late < before {
		t.Errorf("got %.200q, want the line from before the close ahead of the late ones", got)
	}
	close(stop)
	writers.Wait()
	if _, err := w.Write([]byte("after\n")); err != nil {
		t.Errorf("got %v, want none", err)
	}
}
