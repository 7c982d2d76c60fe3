// Package runner reads the settings of the system's processes, creates their parts
// and runs them.
package runner

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// maxSettingsSize is the largest size of a settings file, in bytes.
const maxSettingsSize = 1 << 20

// The sections of a settings file.
const (
	sectionAgent    gooseberrypass.Kind = "agent"
	sectionEntry    gooseberrypass.Kind = "entry"
	sectionPlatform gooseberrypass.Kind = "platform"
	sectionProcess  gooseberrypass.Kind = "process"
)

// Settings are the settings of one process. They are read once, at its start.
type Settings struct {
	callers       netip.AddrPort
	engineURL     string
	grace         time.Duration
	listen        netip.AddrPort
	logLevel      string
	logURL        string
	listURL       string
	maxFiles      int   // of an entry, 0 for the limit of the process
	memory        int64 // of an entry, in bytes
	originURL     string
	retention     time.Duration
	seed          uint64
	self          gooseberrypass.ListedInstance
	serviceURL    string
	sharedKey     authenticator.Key
	storeURL      string
	weightsListen netip.AddrPort
}

// LogLevel returns the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Self returns the process in the form of an entry of the platform's instance list.
func (s *Settings) Self() gooseberrypass.ListedInstance { return s.self }

// SharedKey returns the key that authenticates calls between the system's processes.
func (s *Settings) SharedKey() authenticator.Key { return s.sharedKey }

// A FindingsError holds all findings in a settings file.
type FindingsError struct {
	Findings []parser.Finding
}

// Error implements error with a line for each finding.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// SettingsTable returns the sections and keys of the settings of a process.
func SettingsTable(role gooseberrypass.Role) *checker.Table {
	sections := []checker.SectionSpec{platformSpec(), processSpec()}
	if role == gooseberrypass.RoleAgent {
		return checker.NewTable(append(sections, agentSpec())...)
	}
	return checker.NewTable(append(sections, entrySpec())...)
}

func agentSpec() checker.SectionSpec {
	return checker.SectionSpec{
		Doc:  "Settings of an agent.",
		Kind: sectionAgent,
		Keys: []checker.Key{
			{Name: "engine", Type: checker.URL(), Doc: "URL of the model engine beside the agent."},
			{Name: "pool", Required: true, Type: checker.Word(), Doc: "Pool of the instance."},
			{Name: "service", Type: checker.URL(), Doc: "URL of the plain service beside the agent, in place of an engine."},
			{Name: "weights-listen", Type: checker.Address(), Default: "127.0.0.1:0", Doc: "Loopback address from which the engine reads weights."},
		},
	}
}

func entrySpec() checker.SectionSpec {
	return checker.SectionSpec{
		Doc:  "Settings of an entry.",
		Kind: sectionEntry,
		Keys: []checker.Key{
			{Name: "callers-listen", Required: true, Type: checker.Address(), Doc: "Listen address for callers."},
			{Name: "max-files", Type: checker.Int(0, 1<<30), Default: "0", Doc: "File descriptors that the process may use; 200 of them are not for callers' connections. 0 takes the limit of the process."},
			{Name: "memory", Type: checker.Size(128<<20, 1<<40), Default: "512MiB", Doc: "Memory that the process may use. A fifth of it is for bodies of requests, and a quarter limits callers' connections."},
		},
	}
}

func platformSpec() checker.SectionSpec {
	const month = 31 * 24 * time.Hour
	return checker.SectionSpec{
		Doc:  "URLs of the platform's services.",
		Kind: sectionPlatform,
		Keys: []checker.Key{
			{Name: "instance-list", Required: true, Type: checker.URL(), Doc: "URL of the list of instances."},
			{Name: "log", Required: true, Type: checker.URL(), Doc: "URL of the append-only log."},
			{Name: "log-retention", Type: checker.Duration(time.Minute, 12*month), Default: "168h", Doc: "How long the log keeps a record."},
			{Name: "origin", Type: checker.URL(), Doc: "URL of the origin of weights; required for an agent beside an engine."},
			{Name: "weight-store", Type: checker.URL(), Doc: "URL of the weight store."},
		},
	}
}

func processSpec() checker.SectionSpec {
	const longest = 24 * time.Hour
	return checker.SectionSpec{
		Doc:  "Identity of the process.",
		Kind: sectionProcess,
		Keys: []checker.Key{
			{Name: "failure-domain", Required: true, Type: checker.Word(), Doc: "Failure domain of the instance."},
			{Name: "grace", Type: checker.Duration(time.Second, longest), Default: "10m", Doc: "Time limit of a graceful shutdown for work in progress."},
			{Name: "instance", Required: true, Type: checker.Word(), Doc: "The instance's id in the platform's list."},
			{Name: "listen", Required: true, Type: checker.Address(), Doc: "Listen address for the system's other processes."},
			{Name: "log-level", Type: checker.Enum("debug", "error", "info", "warning"), Default: "info", Doc: "Least severe level that is logged."},
			{Name: "region", Required: true, Type: checker.Word(), Doc: "Region of the instance."},
			{Name: "seed", Type: checker.Int(0, 1<<30), Default: "0", Doc: "Seed of random choices; 0 takes one from the clock."},
			{Name: "shared-key-file", Type: checker.Text(), Doc: "File with the shared key, relative to the settings file."},
		},
	}
}

// ReadSettings reads the settings of a process from a file. All findings are
// reported in one *FindingsError. getenv looks up environment variables.
func ReadSettings(path string, role gooseberrypass.Role, getenv func(string) string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > maxSettingsSize {
		return nil, errors.Errorf("read settings: %s has %d bytes, at most %d", path, info.Size(), maxSettingsSize)
	}
	body, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, findings := parseSettings(path, role, body)
	if len(findings) > 0 {
		return nil, &FindingsError{Findings: findings}
	}
	s.sharedKey, err = authenticator.ReadKey(keyPath(path, s.sharedKeyFile), getenv)
	return s.Settings, err
}

// ParseSettings parses the settings of a process, with a shared key that is already
// known. All findings are reported in one *FindingsError, with name as the file's name.
func ParseSettings(name string, role gooseberrypass.Role, body []byte, key authenticator.Key) (*Settings, error) {
	s, findings := parseSettings(name, role, body)
	if len(findings) > 0 {
		return nil, &FindingsError{Findings: findings}
	}
	s.sharedKey = key
	return s.Settings, nil
}

// parsedSettings are settings whose shared key has not been read.
type parsedSettings struct {
	*Settings
	sharedKeyFile string
}

func parseSettings(path string, role gooseberrypass.Role, body []byte) (parsedSettings, []parser.Finding) {
	file, findings := parser.Parse(path, body)
	values, more := SettingsTable(role).Read(file)
	findings = append(findings, more...)
	s := newSettings(role, values)
	findings = append(findings, checkAgentSettings(path, role, s)...)
	return parsedSettings{
		Settings:      s,
		sharedKeyFile: checker.Get[string](values, sectionProcess, "shared-key-file"),
	}, parser.SortFindings(findings)
}

func newSettings(role gooseberrypass.Role, values *checker.Settings) *Settings {
	text := func(section gooseberrypass.Kind, key string) string {
		return checker.Get[string](values, section, key)
	}
	listen := checker.Get[netip.AddrPort](values, sectionProcess, "listen")
	var maxFiles int
	var memory int64
	if role == gooseberrypass.RoleEntry {
		maxFiles, memory = checker.Get[int](values, sectionEntry, "max-files"), checker.Get[int64](values, sectionEntry, "memory")
	}
	return &Settings{
		callers:   checker.Get[netip.AddrPort](values, sectionEntry, "callers-listen"),
		engineURL: text(sectionAgent, "engine"),
		grace:     checker.Get[time.Duration](values, sectionProcess, "grace"),
		listen:    listen,
		listURL:   text(sectionPlatform, "instance-list"),
		logLevel:  text(sectionProcess, "log-level"),
		logURL:    text(sectionPlatform, "log"),
		maxFiles:  maxFiles,
		memory:    memory,
		originURL: text(sectionPlatform, "origin"),
		retention: checker.Get[time.Duration](values, sectionPlatform, "log-retention"),
		seed:      uint64(checker.Get[int](values, sectionProcess, "seed")),
		self: gooseberrypass.ListedInstance{
			Address:       listen.String(),
			FailureDomain: gooseberrypass.FailureDomain(text(sectionProcess, "failure-domain")),
			ID:            gooseberrypass.ID(text(sectionProcess, "instance")),
			Pool:          gooseberrypass.Pool(text(sectionAgent, "pool")),
			Region:        gooseberrypass.Region(text(sectionProcess, "region")),
			Role:          role,
			State:         gooseberrypass.ListedLive,
		},
		serviceURL:    text(sectionAgent, "service"),
		storeURL:      text(sectionPlatform, "weight-store"),
		weightsListen: checker.Get[netip.AddrPort](values, sectionAgent, "weights-listen"),
	}
}

// checkAgentSettings returns findings on settings of an agent that are missing or
// exclude one another.
func checkAgentSettings(path string, role gooseberrypass.Role, s *Settings) []parser.Finding {
	if role != gooseberrypass.RoleAgent {
		return nil
	}
	var findings []parser.Finding
	if (s.engineURL == "") == (s.serviceURL == "") {
		findings = append(findings, parser.Finding{
			File:    path,
			Line:    1,
			Message: "set one of engine and service",
			Section: string(sectionAgent),
		})
	}
	if s.engineURL != "" && s.originURL == "" {
		findings = append(findings, parser.Finding{
			File:    path,
			Key:     "origin",
			Line:    1,
			Message: "an agent beside an engine needs the origin",
			Section: string(sectionPlatform),
		})
	}
	return findings
}

// keyPath returns the path of the key file named in the settings file at path.
func keyPath(path, keyFile string) string {
	if keyFile == "" || filepath.IsAbs(keyFile) {
		return keyFile
	}
	return filepath.Join(filepath.Dir(path), keyFile)
}
