// Package logwriter writes log lines without ever blocking who logs.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// capacity bounds the lines that wait to be written.
const capacity = 2048

// A Writer hands lines to a goroutine that writes them. Lines that find no room
// are left out and counted in a line of their own.
type Writer struct {
	done    chan struct{}
	dropped atomic.Uint64
	lines   chan []byte
	out     io.Writer
}

// New returns a writer to out, which runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{done: make(chan struct{}), lines: make(chan []byte, capacity), out: out}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the goroutine, within limit. Write must not
// be called after it.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n) // nobody reads the error
		}
		_, _ = w.out.Write(line) // a log that cannot be written has nowhere to tell of it
	}
}
