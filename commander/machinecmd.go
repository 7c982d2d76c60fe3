package commander

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/logwriter"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

const (
	// logFlushTimeout bounds the wait for buffered log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// entryGCPercent is the GC percentage of an entry: collections are rare because
	// it has little processor time for each request.
	entryGCPercent = 200
	// agentGCPercent is the GC percentage of an agent: collections are frequent
	// because it holds chunks in memory and uses little processor time.
	agentGCPercent = 40
	// memoryShare is the soft memory limit of the Go runtime as a share of the
	// process's memory.
	memoryShare = 0.6
)

// machineFlag is the settings file of a process on a machine that the platform
// prepares.
type machineFlag struct {
	Settings string `env:"GOOSEBERRYPASS_SETTINGS" help:"Settings file, INI." placeholder:"FILE" required:"" type:"path"`
}

// run reads the settings, creates a process and runs it until ctx is done. newProcess
// returns the function that runs it.
func (f machineFlag) run(ctx context.Context, role gooseberrypass.Role, std streams, newProcess func(*runner.MachineSettings, runner.Dependencies) (func(context.Context) error, error)) error {
	settings, err := f.read(role, std)
	if err != nil {
		return err
	}
	out := logwriter.New(std.stdout)
	defer out.Close(logFlushTimeout)
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(settings.LogLevel())
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	logger.SetLevel(level)
	if role == gooseberrypass.RoleAgent {
		debug.SetGCPercent(agentGCPercent)
	} else {
		debug.SetGCPercent(entryGCPercent)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory())))
	stopReload := f.reload(role, std, logger)
	defer stopReload()
	run, err := newProcess(settings, runner.Dependencies{Clock: clockwork.NewRealClock(), Logger: logger, Registry: prometheus.NewRegistry()})
	if err != nil {
		logger.WithError(err).Error("process start failed")
		return err
	}
	return run(ctx)
}

// read reads the settings. Findings are printed to stderr, one per line.
func (f machineFlag) read(role gooseberrypass.Role, std streams) (*runner.MachineSettings, error) {
	settings, err := runner.ReadMachineSettings(f.Settings, role)
	var findings *runner.FindingsError
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintln(std.stderr, findings)
		return nil, &ExitError{Status: ExitFailed}
	}
	if err != nil {
		return nil, &ExitError{Err: err, Status: ExitBadUsage}
	}
	return settings, nil
}

// reload starts to read the settings again at each SIGHUP and to set the log level
// until the returned function is called. Other settings take effect at the next
// start, when the platform starts a process with the current ones.
func (f machineFlag) reload(role gooseberrypass.Role, std streams, logger *logrus.Logger) func() {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-std.hangups:
			}
			settings, err := f.read(role, std)
			if err != nil {
				logger.WithError(err).Error("settings reload failed, previous settings stay in force")
				continue
			}
			if level, err := logrus.ParseLevel(settings.LogLevel()); err == nil {
				logger.SetLevel(level)
			}
			logger.Info("settings reloaded")
		}
	}()
	return func() { close(done) }
}

// machineHelp returns a list of the settings of a process on a prepared machine.
func machineHelp(role gooseberrypass.Role) string {
	return tableHelp(runner.MachineSettingsTable(role))
}
