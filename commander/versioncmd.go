package commander

import (
	"fmt"
	"runtime/debug"
)

// A versionCmd prints the version the program was built from.
type versionCmd struct{}

func (c *versionCmd) Run(std streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(std.stdout, "gooseberrypass", version)
	return err
}
