// Package commander implements the command line of gooseberrypass.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// The exit statuses.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitBadUsage = 2
)

const description = `Distributes model weights to instances and routes requests to them.

Operators edit a folder of small INI files and publish it; see docs/OPERATIONS.md.`

// commandLine is the structure that kong parses, with one field for each command.
type commandLine struct {
	Agent              agentCmd                     `cmd:"" help:"Run the process beside an endpoint."`
	Burn               burnCmd                      `cmd:"" help:"Report how fast the service-level error budgets burn."`
	Check              checkCmd                     `cmd:"" help:"Check a folder of INI files."`
	Demo               demoCmd                      `cmd:"" help:"Run the main job on stand-ins and measure it."`
	Emulator           emulatorCmd                  `cmd:"" help:"Run stand-ins of the platform for trials and tests."`
	Entry              entryCmd                     `cmd:"" help:"Run a process for callers."`
	Gateway            gatewayCmd                   `cmd:"" help:"Run a process for callers on a prepared machine."`
	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print the line that adds completions to your shell."`
	Merge              mergeCmd                     `cmd:"" help:"Print the merge of a folder, with the place of each value."`
	Pack               packCmd                      `cmd:"" help:"Make the manifest of a weights file."`
	Precheck           precheckCmd                  `cmd:"" help:"Check a configuration of prepared machines before it is sent."`
	Publish            publishCmd                   `cmd:"" help:"Publish a folder of INI files."`
	Pull               pullCmd                      `cmd:"" help:"Write the accepted files to a folder."`
	Sidecar            sidecarCmd                   `cmd:"" help:"Run the process beside an engine on a prepared machine."`
	Status             statusCmd                    `cmd:"" help:"Show what each instance serves and how far a rollout is."`
	Version            versionCmd                   `cmd:"" help:"Print the version."`
}

// streams are the standard streams of a command.
type streams struct {
	hangups <-chan os.Signal // SIGHUP, for commands that reload their settings; never ready for others
	stderr  io.Writer
	stdin   io.Reader
	stdout  io.Writer
}

// An ExitError ends the program with an exit status. If Err is nil, the command has
// already printed its errors.
type ExitError struct {
	Err    error
	Status int
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit status %d", e.Status)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs the program and returns its exit status. args are the arguments without
// the program's name.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	hangups := notifyHangups(args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cli commandLine
	parser, err := kong.New(&cli,
		kong.Name("gooseberrypass"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { panic(exitPanic(status)) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(streams{hangups: hangups, stderr: stderr, stdin: stdin, stdout: stdout}),
		kong.UsageOnError(),
		kong.Vars{"crash_mark": emulator.DefaultCrashMark},
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gooseberrypass:", err)
		return ExitBadUsage
	}
	return run(parser, args, stderr)
}

// notifyHangups returns a channel that receives SIGHUP if the command reloads its
// settings. Main calls it first and never undoes it, because the signal ends the
// process while no channel is registered.
func notifyHangups(args []string) <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	if len(args) > 0 && slices.Contains([]string{"gateway", "sidecar"}, args[0]) {
		signal.Notify(hangups, syscall.SIGHUP)
	}
	return hangups
}

// An exitPanic is the panic value with which kong's exit function, called for example
// after --help, leaves the parser. It is the exit status.
type exitPanic int

// run parses the arguments, runs the command and returns the exit status.
func run(parser *kong.Kong, args []string, stderr io.Writer) (status int) { //nolint:nonamedreturns // set by the recovery
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	exit := func(status int) { panic(exitPanic(status)) }
	kongplete.Complete(parser, kongplete.WithExitFunc(exit)) // exits after printing completions if a shell requests them
	kctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gooseberrypass:", err)
		return ExitBadUsage
	}
	return exitStatus(kctx.Run(), stderr)
}

// exitStatus prints a command's error and returns the exit status.
func exitStatus(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var exit *ExitError
	if !errors.As(err, &exit) {
		_, _ = fmt.Fprintln(stderr, "gooseberrypass:", err)
		return ExitFailed
	}
	if exit.Err != nil {
		_, _ = fmt.Fprintln(stderr, "gooseberrypass:", exit.Err)
	}
	return exit.Status
}
