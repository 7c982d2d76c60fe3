//go:build review

// Command third plays the cases of the third review: it starts gateways and sidecars of the
// project as separate processes on loopback addresses, with a store, workers and clients of
// its own around them, and judges what those have seen.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

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
