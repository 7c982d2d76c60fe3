package runner

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/replicator"
	"github.com/gooseberrypass/gooseberrypass/stager"
)

// The sections of the settings of a process on a prepared machine.
const (
	sectionBounds  gooseberrypass.Kind = "bounds"
	sectionForward gooseberrypass.Kind = "forward"
	sectionMachine gooseberrypass.Kind = "machine"
	sectionWeights gooseberrypass.Kind = "weights"
)

// Defaults that several settings share.
const (
	default100ms  = "100ms"
	default500ms  = "500ms"
	default2500ms = "2500ms"
	default300ms  = "300ms"
	defaultHalf   = "0.5"
)

// defaultMarginShare is the default of margin-share, on which entries and agents
// must agree.
const defaultMarginShare = "0.1"

// MachineSettings are the settings of a process on a machine that the platform
// prepares; it renders them from the templates of the deploy folder.
type MachineSettings struct {
	role   gooseberrypass.Role
	values *checker.Settings
}

// MachineSettingsTable returns the sections and keys of the settings of a process on a
// prepared machine.
func MachineSettingsTable(role gooseberrypass.Role) *checker.Table {
	if role == gooseberrypass.RoleAgent {
		return checker.NewTable(machineSpec(agentKeys()...), boundsSpec(), weightsSpec())
	}
	return checker.NewTable(machineSpec(entryKeys()...), boundsSpec(), forwardSpec())
}

func machineSpec(extra ...checker.Key) checker.SectionSpec {
	return checker.SectionSpec{
		Doc:  "Identity of the process and address of the platform's store.",
		Kind: sectionMachine,
		Keys: append([]checker.Key{
			{Name: "failure-domain", Required: true, Type: checker.Word(), Doc: "Failure domain of the instance."},
			{Name: "instance", Required: true, Type: checker.Word(), Doc: "The instance's name."},
			{Name: "listen", Required: true, Type: checker.Address(), Doc: "Listen address for the system's other processes."},
			{Name: "log-level", Type: checker.Enum("debug", "error", "info", "warning"), Default: "info", Doc: "Least severe level that is logged."},
			{Name: "memory", Type: checker.Size(1<<20, 1<<40), Default: "128MiB", Doc: "Memory that the process may use. In an entry, a fifth of it is for bodies of requests and answers, and a quarter limits callers' connections."},
			{Name: "metrics-listen", Required: true, Type: checker.Address(), Doc: "Listen address for reads of the metrics."},
			{Name: "region", Required: true, Type: checker.Word(), Doc: "Region of the instance."},
			{Name: "regions", Required: true, Type: checker.Pairs(), Doc: "Region of each failure domain."},
			{Name: "seed", Type: checker.Int(0, 1<<30), Default: "0", Doc: "Seed of random choices; 0 takes one from the clock."},
			{Name: "store", Required: true, Type: checker.Address(), Doc: "Address of the platform's store."},
		}, extra...),
	}
}

func entryKeys() []checker.Key {
	return []checker.Key{
		{Name: "callers-listen", Required: true, Type: checker.Address(), Doc: "Listen address for callers."},
		{Name: "max-files", Type: checker.Int(0, 1<<30), Default: "0", Doc: "File descriptors that the process may use; 200 of them are not for callers' connections. 0 takes the limit of the process."},
		{Name: "ready-listen", Required: true, Type: checker.Address(), Doc: "Listen address for the platform's readiness checks."},
	}
}

func agentKeys() []checker.Key {
	return []checker.Key{
		{Name: "engine", Required: true, Type: checker.Address(), Doc: "Address of the engine beside the agent."},
		{Name: "link", Required: true, Type: checker.Float(0.001, 1e6), Doc: "Rate of the instance's link, in Mbit/s."},
		{Name: "service", Required: true, Type: checker.Word(), Doc: "Name of the service that the engine belongs to."},
	}
}

func boundsSpec() checker.SectionSpec {
	const longest = time.Hour
	return checker.SectionSpec{
		Doc:  "The bounds that the platform's operator sets.",
		Kind: sectionBounds,
		Keys: []checker.Key{
			{Name: "cold-overshoot", Type: checker.Float(1, 1000), Doc: "Most requests that may reach a cold endpoint in a second, as a multiple of the rate that it sustains; without it nothing limits them."},
			{Name: "cold-slack", Type: checker.Float(0, 1e6), Doc: "Requests that may reach a cold endpoint in a second beyond cold-overshoot."},
			{Name: "grace", Required: true, Type: checker.Duration(time.Second, longest), Doc: "Time between SIGTERM and SIGKILL."},
			{Name: "heartbeat", Type: checker.Duration(time.Millisecond, longest), Default: "1200ms", Doc: "Interval at which endpoints renew their records; a record expires after three without a renewal."},
			{Name: "lapse", Type: checker.Duration(0, longest), Default: default2500ms, Doc: "Time after an outage of the store for which endpoints that expired in it are kept; 2 s by the platform's contract and a margin for a read."},
			{Name: "retry-ratio", Required: true, Type: checker.Float(0, 10), Doc: "Retries that a service may get in the window, as a ratio of its requests."},
			{Name: "retry-slack", Required: true, Type: checker.Float(0, 1e6), Doc: "Retries beyond the ratio in the window, by all entries together."},
			{Name: "retry-window", Required: true, Type: checker.Duration(time.Second, longest), Doc: "Window in which requests and retries are counted."},
			{Name: "stable", Required: true, Type: checker.Duration(0, longest), Doc: "Time after its start, or after its path to the store was disrupted, for which a process is exempt from the bounds."},
			{Name: "version", Required: true, Type: checker.Duration(time.Second, longest), Doc: "Time after a version is named until the last request may begin on an older one."},
		},
	}
}

func weightsSpec() checker.SectionSpec {
	const longest = time.Minute
	return checker.SectionSpec{
		Doc:  "How versions are fetched and loaded.",
		Kind: sectionWeights,
		Keys: []checker.Key{
			{Name: "announce", Type: checker.Duration(0, longest), Default: "150ms", Doc: "Time before a load order for which entries send no requests; the delivery of a message and a tick."},
			{Name: "drain", Type: checker.Duration(0, longest), Default: "1200ms", Doc: "Time before a load is due for which entries send only requests that end by then; the duration of a usual answer."},
			{Name: "earliest-share", Type: checker.Float(0, 1), Default: "0.44", Doc: "Share of the version bound that must pass after a version is named before an engine in service loads it: engines that serve nothing fetch first."},
			{Name: "far-period", Type: checker.Duration(time.Millisecond, longest), Default: "3s", Doc: "Interval of messages to entries of other regions when nothing changes; they send few requests to the engine."},
			{Name: "first-window", Type: checker.Int(1, 10000), Default: "6", Doc: "As window, until transfers prove fast; on a throttled link each further piece delays the engine's requests by a fifth of a second."},
			{Name: "least-use", Type: checker.Duration(0, longest), Default: "1500ms", Doc: "Shortest remaining use for which an older version is still loaded before a newer one; the time that a load takes an engine out of service."},
			{Name: "link-share", Type: checker.Float(0.01, 1), Default: "0.75", Doc: "Share of the link's rate for weights; the rest is for the engine's answers."},
			{Name: "margin-share", Type: checker.Float(0, 1), Default: defaultMarginShare, Doc: "Share of the version bound before its end from which entries use only the new version."},
			{Name: "patience", Type: checker.Duration(0, longest), Default: default300ms, Doc: "Longest wait for the first report of the engine when the agent starts; a report takes a few milliseconds."},
			{Name: "period", Type: checker.Duration(time.Millisecond, longest), Default: "1s", Doc: "Interval of messages to entries of the region when nothing changes."},
			{Name: "poll", Type: checker.Duration(time.Millisecond, longest), Default: "200ms", Doc: "Interval of reads of the engine's report, which lags by as much."},
			{Name: "retry", Type: checker.Duration(time.Millisecond, longest), Default: default300ms, Doc: "Delay after a step that failed."},
			{Name: "skip-share", Type: checker.Float(0, 1), Default: "0.31", Doc: "Longest time between the naming of two versions at which the older one is skipped, as a share of the version bound; the rest is for the fetch of the newer one."},
			{Name: "spread-share", Type: checker.Float(0, 1), Default: "0.41", Doc: "Share of the version bound over which the engines in service load a version, one after another."},
			{Name: "uploads", Type: checker.Int(1, 100), Default: "2", Doc: "Pieces sent at once; more would wait longer in the link's queue, and answers behind them."},
			{Name: "verify-age", Type: checker.Duration(time.Millisecond, longest), Default: "2s", Doc: "Longest time from the verification of the staged pieces until the engine accepts the order to load them. A load that took longer is verified again before the engine serves it."},
			{Name: "wait", Type: checker.Duration(time.Millisecond, longest), Default: "1s", Doc: "Longest time for which another agent may hold a request for a piece that it does not have yet."},
			{Name: "window", Type: checker.Int(1, 10000), Default: "16", Doc: "Missing pieces requested at once. The origin serves requests in parallel: with more, each piece takes longer than other agents wait for it."},
		},
	}
}

// ReadMachineSettings reads the settings of a process on a prepared machine.
// All findings are reported in one *FindingsError.
func ReadMachineSettings(path string, role gooseberrypass.Role) (*MachineSettings, error) {
	body, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if len(body) > maxSettingsSize {
		return nil, errors.Errorf("read settings: %s has %d bytes, at most %d", path, len(body), maxSettingsSize)
	}
	return ParseMachineSettings(path, role, body)
}

// ParseMachineSettings parses the settings of a process on a prepared machine;
// name is the file's name in findings.
func ParseMachineSettings(name string, role gooseberrypass.Role, body []byte) (*MachineSettings, error) {
	file, findings := parser.Parse(name, body)
	values, more := MachineSettingsTable(role).Read(file)
	if findings = append(findings, more...); len(findings) > 0 {
		return nil, &FindingsError{Findings: parser.SortFindings(findings)}
	}
	return &MachineSettings{role: role, values: values}, nil
}

// LogLevel returns the least severe level that is logged.
func (s *MachineSettings) LogLevel() string { return s.text("log-level") }

// Memory returns the memory that the process may use, in bytes.
func (s *MachineSettings) Memory() int64 {
	return checker.Get[int64](s.values, sectionMachine, "memory")
}

func (s *MachineSettings) text(key string) string {
	return checker.Get[string](s.values, sectionMachine, key)
}

func (s *MachineSettings) address(key string) string {
	return checker.Get[netip.AddrPort](s.values, sectionMachine, key).String()
}

func (s *MachineSettings) duration(section gooseberrypass.Kind, key string) time.Duration {
	return checker.Get[time.Duration](s.values, section, key)
}

func (s *MachineSettings) float(section gooseberrypass.Kind, key string) float64 {
	return checker.Get[float64](s.values, section, key)
}

func (s *MachineSettings) forwardDuration(key string) time.Duration {
	return s.duration(sectionForward, key)
}

// shareOfVersion returns a share of the version bound.
func (s *MachineSettings) shareOfVersion(section gooseberrypass.Kind, key string) time.Duration {
	return time.Duration(s.float(section, key) * float64(s.duration(sectionBounds, "version")))
}

func (s *MachineSettings) region() gooseberrypass.Region {
	return gooseberrypass.Region(s.text("region"))
}

// regionOf returns the region of a failure domain.
func (s *MachineSettings) regionOf(domain gooseberrypass.FailureDomain) gooseberrypass.Region {
	return gooseberrypass.Region(checker.Get[map[string]string](s.values, sectionMachine, "regions")[string(domain)])
}

// self returns the registration of the process.
func (s *MachineSettings) self() materializer.Process {
	p := materializer.Process{
		Address:       s.address("listen"),
		FailureDomain: gooseberrypass.FailureDomain(s.text("failure-domain")),
		ID:            gooseberrypass.ID(s.text("instance")),
		Region:        s.region(),
		Role:          s.role,
	}
	if s.role == gooseberrypass.RoleAgent {
		p.Endpoint = s.address("engine")
		p.Service = gooseberrypass.ID(s.text("service"))
	}
	return p
}

// listLagReads is the longest time from the writing of an endpoint's record until a process
// knows it, as a multiple of the pause between two reads of the list; one more for the read.
const listLagReads = 2

func (s *MachineSettings) balancerSettings() balancer.Settings {
	return balancer.Settings{
		ColdOvershoot:   s.float(sectionBounds, "cold-overshoot"),
		ColdSlack:       s.float(sectionBounds, "cold-slack"),
		Ejection:        s.forwardDuration("ejection"),
		MaxEjection:     s.forwardDuration("ejection-most"),
		EnginePenalty:   s.float(sectionForward, "engine-penalty"),
		Fill:            s.float(sectionForward, "fill"),
		FirstEventShare: s.float(sectionForward, "first-share"),
		AdvisoryTTL:     s.forwardDuration("advisory-life"),
		ListLag:         listLagReads * s.forwardDuration("servers-pause"),
		RefusalBackoff:  s.forwardDuration("full-pause"),
		RemoteFill:      s.float(sectionForward, "remote-fill"),
		ReportTTL:       s.forwardDuration("notice-life"),
		PaceTTL:         s.forwardDuration("pace-life"),
		PaceWeight:      s.float(sectionForward, "pace-weight"),
		PassShare:       s.float(sectionForward, "pass-share"),
		PlainFill:       s.float(sectionForward, "plain-fill"),
		PlainPenalty:    s.float(sectionForward, "plain-penalty"),
		ResumeFill:      s.float(sectionForward, "resume-fill"),
		RetryFill:       s.float(sectionForward, "return-fill"),
		SampleFactor:    s.float(sectionForward, "sample"),
		SlowTolerance:   s.float(sectionForward, "slow-tolerance"),
		StatusTTL:       s.forwardDuration("status-life"),
		StallTimeout:    s.forwardDuration("stall"),
		StallFactor:     s.float(sectionForward, "stall-times"),
		VersionCutoff:   s.shareOfVersion(sectionForward, "cutoff-share"),
		VersionMargin:   s.shareOfVersion(sectionForward, "margin-share"),
		VersionTimeout:  s.duration(sectionBounds, "version"),
	}
}

func (s *MachineSettings) forwarderSettings() forwarder.Settings {
	return forwarder.Settings{
		DeadlineGrace:      s.forwardDuration("cut-after"),
		HeadTimeoutFactor:  s.float(sectionForward, "first-waits"),
		EventTimeoutFactor: s.float(sectionForward, "gap-waits"),
		LossPoll:           s.forwardDuration("loss-poll"),
		MaxBufferedAnswer:  checker.Get[int64](s.values, sectionForward, "max-answer"),
		MoveShare:          s.float(sectionForward, "move-share"),
		MoveWaitFactor:     s.float(sectionForward, "move-wait"),
		QuarantineCrashes:  checker.Get[int](s.values, sectionForward, "poison-breaks"),
		QuarantineTime:     s.forwardDuration("poison-time"),
		QueuePoll:          s.forwardDuration("queue-poll"),
		QueueWaitShare:     s.float(sectionForward, "queue-share"),
		ResumePoll:         s.forwardDuration("resume-poll"),
		ResumeWait:         s.forwardDuration("resume-wait"),
		RetryAfter:         s.forwardDuration("retry-after"),
		RetryRatio:         s.float(sectionBounds, "retry-ratio"),
		RetryEntryFactor:   s.float(sectionForward, "retry-share"),
		RetrySlack:         s.float(sectionBounds, "retry-slack"),
		RetryWindow:        s.duration(sectionBounds, "retry-window"),
		StartingRetryAfter: s.forwardDuration("starting-wait"),
	}
}

func (s *MachineSettings) attributorSettings() attributor.Settings {
	return attributor.Settings{QuarantineTime: s.forwardDuration("poison-time")}
}

func (s *MachineSettings) transportLimits() platform.TransportLimits {
	return platform.TransportLimits{
		ConnectTimeout: s.forwardDuration("connect"),
		IdleTimeout:    s.forwardDuration("idle"),
		MaxIdle:        checker.Get[int](s.values, sectionForward, "kept"),
		ProbeInterval:  s.forwardDuration("probe"),
	}
}

func (s *MachineSettings) materializerSettings() materializer.Settings {
	version, stable := s.duration(sectionBounds, "version"), s.duration(sectionBounds, "stable")
	return materializer.Settings{AssumedAge: max(version-stable, 0), Exemption: stable, MaxListAge: maxListAge, Lease: leaseTime(s.duration(sectionBounds, "heartbeat")), Retention: s.duration(sectionBounds, "lapse")}
}

// The lease of an endpoint's record in the store, and the time that its expiry takes to
// reach a process.
const (
	leaseHeartbeats = 3
	leaseMargin     = time.Second
)

func leaseTime(heartbeat time.Duration) time.Duration { return leaseHeartbeats*heartbeat + leaseMargin }

// pullTimeout is the time limit of a pull of records from another process, and how
// long an entry's own reads of the endpoint list may lag behind those of another
// process before it pulls. Both must be a fraction of the bounds for a new
// configuration.
const pullTimeout = 800 * time.Millisecond

// pullDelay is how long an entry that is told of a new configuration waits for its
// own read before it pulls: the store answers within a few milliseconds, and answers
// a long poll as soon as the record is there.
const pullDelay = 150 * time.Millisecond

// The limits after which another entry replaces the one that reads the log for its
// region. Together with a read they are below the shortest bound within which records
// that the store has acknowledged must take effect.
const (
	maxListAge    = 1100 * time.Millisecond // age of the last read of the endpoint list; two reads, at two a second
	readerTimeout = 450 * time.Millisecond  // time without a message; four message intervals
)

// The delay between two short reads beside a long poll. The store may lose the answer to a
// poll, and to one of these reads too, until the end of a disruption; a third one must
// succeed within the time for which a process is exempt from the bounds after it.
const (
	maxCheckPeriod = time.Second
	minCheckPeriod = followRetryDelay
	checksInStable = 3
)

func (s *MachineSettings) topicCheckPeriod() time.Duration {
	return min(max(s.duration(sectionBounds, "stable")/checksInStable, minCheckPeriod), maxCheckPeriod)
}

// announceFanout is the number of other agents to which an agent announces a change.
// With 4, a share of e^-4 of the agents is told by no other agent.
const announceFanout = 4

// versionLifeFactor is the age up to which entries tell one another of a version, as a
// multiple of its bound: an entry that reads it late would count the bound once more.
const versionLifeFactor = 2

func (s *MachineSettings) replicatorSettings() replicator.Settings {
	repl := replicator.Settings{
		ListPullDelay: pullTimeout, PullDelay: pullDelay, MaxListAge: maxListAge, ReaderTimeout: readerTimeout, Fanout: announceFanout, PullTimeout: pullTimeout,
		VersionLife: versionLifeFactor * s.duration(sectionBounds, "version"),
	}
	if s.role == gooseberrypass.RoleAgent {
		repl.FarPeriod, repl.Period = s.duration(sectionWeights, "far-period"), s.duration(sectionWeights, "period")
	} else {
		repl.FarPeriod, repl.Period = s.forwardDuration("far-period"), s.forwardDuration("period")
		repl.FarPeriodMost, repl.FarRate = s.forwardDuration("notice-life")/2, s.float(sectionForward, "far-rate")
	}
	return repl
}

func (s *MachineSettings) stagerSettings() stager.Settings {
	bound := s.duration(sectionBounds, "version")
	weights := func(key string) time.Duration { return s.duration(sectionWeights, key) }
	share := func(key string) time.Duration { return s.shareOfVersion(sectionWeights, key) }
	return stager.Settings{
		StopLead:       weights("announce"),
		DrainLead:      weights("drain"),
		LoadDelay:      share("earliest-share"),
		MinUse:         weights("least-use"),
		ReportTimeout:  weights("patience"),
		PollInterval:   weights("poll"),
		RetryDelay:     weights("retry"),
		SkipGap:        share("skip-share"),
		LoadSpread:     share("spread-share"),
		PreviousUsable: bound - share("margin-share"),
		VerifyAge:      weights("verify-age"),
	}
}

// The time limits of one transfer of a chunk. A link that all agents of a region
// share carries a chunk in well under a second.
const (
	initialTransferLimit = 2 * time.Second // before a transfer has been measured
	minTransferLimit     = 500 * time.Millisecond
	maxTransferLimit     = 5 * time.Second
)

// The pauses after failures. A version must reach every engine within seconds, so no
// source is skipped for longer than a fraction of that.
const (
	avoidBase = 500 * time.Millisecond // first exclusion of a peer that failed; doubled each time
	avoidMax  = 4 * time.Second        // longest exclusion of a peer
	passPause = time.Second            // exclusion of a peer for one chunk
	// pendingPause is the time after which an agent asks a peer again that is itself
	// still waiting for the chunk. It is short so that agents, which all wait for one
	// another during an outage of the origin, soon ask the one that reads from it.
	pendingPause   = 500 * time.Millisecond
	slowTransfer   = 400 * time.Millisecond // transfer time of a chunk above which fewer are requested at once; events are late after less
	sourcePause    = 100 * time.Millisecond // first pause of reads from the origin after a failure; doubled each time
	sourcePauseMax = 250 * time.Millisecond // longest such pause
)

func (s *MachineSettings) fetcherSettings() fetcher.Settings {
	return fetcher.Settings{
		PeerBackoffBase: avoidBase, PeerBackoffMax: avoidMax, InitialWindow: checker.Get[int](s.values, sectionWeights, "first-window"), InitialTimeout: initialTransferLimit, MaxTimeout: maxTransferLimit, MinTimeout: minTransferLimit,
		MismatchBackoffMax: sourcePauseMax, MismatchBackoffBase: sourcePause, OriginInFlight: maxOriginConns, SkipPause: passPause, PendingPause: pendingPause, SlowTransfer: slowTransfer,
		SourceBackoffMax: sourcePauseMax, SourceBackoffBase: sourcePause, Wait: s.duration(sectionWeights, "wait"),
		Window: checker.Get[int](s.values, sectionWeights, "window"),
	}
}

// bulkRate returns the rate at which the instance sends weights, in bytes per second.
func (s *MachineSettings) bulkRate() int64 {
	return int64(s.float(sectionMachine, "link") * 1e6 / 8 * s.float(sectionWeights, "link-share"))
}
