//go:build review

// Command third plays the cases of the third review: it starts gateways and sidecars of the
// project as separate processes on loopback addresses, with a store, workers and clients of
// its own around them, and judges what those have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay is the time after which a play is ended.
const longestPlay = 118 * time.Second

func main() {
	cases := map[string]func(*play) error{
		"blame":   playBlame,
		"endless": playEndless,
		"foreign": playForeign,
		"lost":    playLostAnswer,
		"slow":    playSlowPost,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(exitNotRun)
	}
	p, err := newPlay(os.Args[2], os.Getenv("TROUBLE") != "0")
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() { // also when the play is ended from outside, no process of it remains
		select {
		case <-stopped:
		case <-time.After(longestPlay):
		}
		p.note("the play is ended before its time")
		p.close()
		os.Exit(exitNotRun)
	}()
	if err == nil {
		err = cases[os.Args[1]](p)
	}
	p.close()
	if err != nil {
		p.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	if len(p.broken) > 0 {
		fmt.Println("broken:", p.broken[0])
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
