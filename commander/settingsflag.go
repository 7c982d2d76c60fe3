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

// gcPercent is the GC percentage of a process. It is low because an instance has
// little memory to spare and collections cost little.
const gcPercent = 40

// settingsFlag is the settings file of a process.
type settingsFlag struct {
	Settings string `help:"Settings file, INI." placeholder:"FILE" required:"" type:"path"`
}

// read returns the settings and the dependencies of a process, and sets the GC
// percentage unless GOGC does. Findings are printed to stderr, one per line.
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

// settingsHelp returns a list of the settings of a role's processes.
func settingsHelp(role gooseberrypass.Role) string {
	return tableHelp(runner.SettingsTable(role))
}

// tableHelp returns a list of the sections and keys of a table of settings.
func tableHelp(table *checker.Table) string {
	var b strings.Builder
	b.WriteString("The settings file has these sections and keys:\n\n")
	for _, s := range table.Sections() {
		fmt.Fprintf(&b, "  [%s]  %s\n", s.Kind, s.Doc)
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "    %s: %s %s%s\n", k.Name, k.Type.Description(), requirement(k.Required, k.Default), k.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// requirement returns, in parentheses, whether a key is required or optional, or its
// default.
func requirement(required bool, fallback string) string {
	switch {
	case required:
		return "(required). "
	case fallback != "":
		return "(default " + fallback + "). "
	default:
		return "(optional). "
	}
}
