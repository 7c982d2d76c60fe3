package commander

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version of the module that the program was built from.
type versionCmd struct{}

// Run prints the version, "unknown" if the build does not record it.
func (c *versionCmd) Run(std streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(std.stdout, "gooseberrypass", version)
	return err
}
