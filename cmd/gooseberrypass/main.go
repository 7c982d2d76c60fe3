// Command gooseberrypass distributes model weights and routes requests to the
// instances that serve them.
package main

import (
	"os"

	"github.com/gooseberrypass/gooseberrypass/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
