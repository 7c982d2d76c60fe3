// Package logwriter writes log lines without blocking the goroutines that log.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueSize is the number of lines that can wait to be written.
const queueSize = 2048

// A Writer queues lines for a goroutine that writes them. It drops lines while the
// queue is full, and writes a line with their number once there is room.
type Writer struct {
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64 // lines dropped since the last report
	lines   chan []byte
	out     io.Writer
}

// New returns a writer to out. The caller must call Close to stop its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{closing: make(chan struct{}), done: make(chan struct{}), lines: make(chan []byte, queueSize), out: out}
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

// Close writes the queued lines and stops the goroutine. It returns after limit at
// the latest. Lines that are written later are dropped.
func (w *Writer) Close(limit time.Duration) {
	close(w.closing)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the lines that are queued now.
func (w *Writer) flush() {
	for range len(w.lines) {
		w.emit(<-w.lines)
	}
}

// emit writes one line after a report of those dropped before it.
func (w *Writer) emit(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped because the queue was full\",\"lines\":%d}\n", n) // a write error cannot be reported
	}
	_, _ = w.out.Write(line) // a write error cannot be reported
}
