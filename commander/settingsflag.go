package commander

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// gcPercent is how far the heap of a process may grow before it is collected, in
// percent. An instance has little memory to spare and collecting costs little.
const gcPercent = 40

// A settingsFlag names the settings file of a process.
type settingsFlag struct {
	Settings string `help:"Settings file, INI." placeholder:"FILE" required:"" type:"path"`
}

// read returns the settings and the surroundings of a process. Findings are
// printed, one on a line.
func (f settingsFlag) read(role gooseberrypass.Role, std streams) (*runner.Settings, runner.Dependencies, error) {
	settings, err := runner.ReadSettings(f.Settings, role, os.Getenv)
	var findings *runner.FindingsError
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintln(std.stderr, findings)
		return nil, runner.Dependencies{}, &ExitError{Status: ExitFailed}
	}
	if err != nil {
		return nil, runner.Dependencies{}, &ExitError{Err: err, Status: ExitBadUsage}
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	logger := logrus.New()
	logger.SetOutput(std.stderr)
	level, err := logrus.ParseLevel(settings.LogLevel())
	if err != nil {
		return nil, runner.Dependencies{}, errors.Wrap(err, "log level")
	}
	logger.SetLevel(level)
	return settings, runner.Dependencies{
		Clock:    clockwork.NewRealClock(),
		Logger:   logger,
		Registry: prometheus.NewRegistry(),
	}, nil
}

// settingsHelp lists the keys of the settings of a role.
func settingsHelp(role gooseberrypass.Role) string {
	return tableHelp(runner.SettingsTable(role))
}

// tableHelp lists the keys of a table of settings.
func tableHelp(table *checker.Table) string {
	var b strings.Builder
	b.WriteString("The settings file has these sections and keys:\n\n")
	for _, s := range table.Sections() {
		fmt.Fprintf(&b, "  [%s]  %s\n", s.Kind, s.Doc)
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "    %s: %s %s%s\n", k.Name, k.Type.Description(), needOf(k.Required, k.Default), k.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// needOf tells in brackets whether a key is required, or what its default is.
func needOf(required bool, fallback string) string {
	switch {
	case required:
		return "(required). "
	case fallback != "":
		return "(default " + fallback + "). "
	default:
		return "(optional). "
	}
}
