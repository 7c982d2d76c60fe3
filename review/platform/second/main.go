//go:build review

// Command second plays the cases of the second review: it starts the programs under test
// between sound stand-ins of their platform and judges what callers and servers see.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	program    = flag.String("program", "target/gooseberrypass", "the program under test")
	recordPath = flag.String("record", "record.txt", "what was sent, answered and run")
	trouble    = flag.Bool("trouble", true, "whether the disruption comes")
)

// A recorder writes the record of a run.
type recorder struct {
	file  io.Writer
	mu    sync.Mutex
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict records the result of a case and prints it.
func (r *recorder) verdict(status int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	r.add("%s", text)
	fmt.Println(text)
	return status
}

func (r *recorder) notRun(err error) int { return r.verdict(exitNotRun, "not run: %v", err) }

func main() {
	flag.Parse()
	cases := map[string]func(*recorder, string) int{"crowd": runCrowd, "orders": runOrders, "versions": runVersions}
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "name a case: crowd, orders or versions")
		os.Exit(exitNotRun)
	}
	endWithSignals()
	os.Exit(play(run))
}

// play runs a case in a temporary folder, which it removes.
func play(run func(*recorder, string) int) int {
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return run(&recorder{file: file, start: time.Now()}, dir)
}
