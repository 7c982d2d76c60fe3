//go:build review

// Command standin plays the platform, the workers and the clients of one case of the review
// against the project's own programs, and checks one rule. It exits with 1 if the rule was
// broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is wrapped by the errors of a case that could not run.
var errNotRun = errors.New("the case could not run")

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases returns the cases by name.
func cases() map[string]func(*stage) (verdict, error) {
	return map[string]func(*stage) (verdict, error){
		"joined":  playJoined,
		"keys":    playKeys,
		"endless": playEndless,
		"poison":  playPoison,
		"refused": playRefused,
	}
}

func main() { os.Exit(playCase()) }

func playCase() int {
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases()[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitNotRun
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newStage(absolute, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(exitNotRun)
	}()
	v, err := play(s)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case v.broken:
		rec.note("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return exitBroken
	default:
		rec.note("held: %s", v.text)
		fmt.Println("held:", v.text)
		return exitHeld
	}
}

// A record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// note writes a line with the seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
