package runner

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/relayer"
	"github.com/gooseberrypass/gooseberrypass/stager"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// The sections of the settings of a prepared machine.
const (
	sectionBounds  gooseberrypass.Kind = "bounds"
	sectionForward gooseberrypass.Kind = "forward"
	sectionMachine gooseberrypass.Kind = "machine"
	sectionWeights gooseberrypass.Kind = "weights"
)

// The defaults of several settings.
const (
	halfSecond  = "500ms"
	twoAndAHalf = "2500ms"
	threeTenths = "300ms"
)

// versionMargin is the default of entries and agents, which must agree.
const versionMargin = "800ms"

// MachineSettings are the settings of a process on the platform's prepared
// machines.
type MachineSettings struct {
	role   gooseberrypass.Role
	values *checker.Settings
}

// MachineTable returns the sections and keys of the settings of a process on a
// prepared machine.
func MachineTable(role gooseberrypass.Role) *checker.Table {
	if role == gooseberrypass.RoleAgent {
		return checker.NewTable(machineSpec(agentKeys()...), boundsSpec(), weightsSpec())
	}
	return checker.NewTable(machineSpec(entryKeys()...), boundsSpec(), forwardSpec())
}

func machineSpec(more ...checker.Key) checker.SectionSpec {
	return checker.SectionSpec{
		Doc:  "Who the process is and where the platform's store is.",
		Kind: sectionMachine,
		Keys: append([]checker.Key{
			{Name: "failure-domain", Required: true, Type: checker.Word(), Doc: "Failure domain of the instance."},
			{Name: "instance", Required: true, Type: checker.Word(), Doc: "The instance's name."},
			{Name: "listen", Required: true, Type: checker.Address(), Doc: "Address for the system's other processes."},
			{Name: "log-level", Type: checker.Enum("debug", "error", "info", "warning"), Default: "info", Doc: "Least severe level that is logged."},
			{Name: "memory", Type: checker.Size(1<<20, 1<<40), Default: "128MiB", Doc: "Memory that the process may use."},
			{Name: "metrics-listen", Required: true, Type: checker.Address(), Doc: "Address of the metrics."},
			{Name: "region", Required: true, Type: checker.Word(), Doc: "Region of the instance."},
			{Name: "regions", Required: true, Type: checker.Pairs(), Doc: "Region of each failure domain."},
			{Name: "seed", Type: checker.Int(0, 1<<30), Default: "0", Doc: "Seed of random choices; 0 takes one from the clock."},
			{Name: "store", Required: true, Type: checker.Address(), Doc: "Address of the platform's store."},
		}, more...),
	}
}

func entryKeys() []checker.Key {
	return []checker.Key{
		{Name: "callers-listen", Required: true, Type: checker.Address(), Doc: "Address for callers."},
		{Name: "ready-listen", Required: true, Type: checker.Address(), Doc: "Address at which the platform asks whether the process is ready."},
	}
}

func agentKeys() []checker.Key {
	return []checker.Key{
		{Name: "engine", Required: true, Type: checker.Address(), Doc: "Address of the engine beside the agent."},
		{Name: "link", Required: true, Type: checker.Float(0.001, 1e6), Doc: "Rate of the instance's link, in Mbit/s."},
		{Name: "service", Required: true, Type: checker.Word(), Doc: "Service of the engine."},
	}
}

func boundsSpec() checker.SectionSpec {
	const most = time.Hour
	return checker.SectionSpec{
		Doc:  "The bounds that the platform's operator sets.",
		Kind: sectionBounds,
		Keys: []checker.Key{
			{Name: "grace", Required: true, Type: checker.Duration(time.Second, most), Doc: "From SIGTERM to SIGKILL."},
			{Name: "lapse", Type: checker.Duration(0, most), Default: twoAndAHalf, Doc: "After an outage of the store, for which lapsed endpoints may be missing; 2 s by the platform's contract and a margin for a read."},
			{Name: "retry-ratio", Required: true, Type: checker.Float(0, 10), Doc: "Repeats that a service may get, in requests."},
			{Name: "retry-slack", Required: true, Type: checker.Float(0, 1e6), Doc: "Repeats beyond the ratio, of all entries together."},
			{Name: "retry-window", Required: true, Type: checker.Duration(time.Second, most), Doc: "Window in which repeats are counted."},
			{Name: "stable", Required: true, Type: checker.Duration(0, most), Doc: "After its start, for which a process is not held to the bounds."},
			{Name: "version", Required: true, Type: checker.Duration(time.Second, most), Doc: "From the naming of a version to the last request that may begin on an older one."},
		},
	}
}

func forwardSpec() checker.SectionSpec {
	const most = time.Minute
	return checker.SectionSpec{
		Doc:  "How requests are forwarded.",
		Kind: sectionForward,
		Keys: []checker.Key{
			{Name: "connect", Type: checker.Duration(time.Millisecond, most), Default: "400ms", Doc: "For a new connection to an endpoint; many round trips between regions."},
			{Name: "cut-after", Type: checker.Duration(0, most), Default: "100ms", Doc: "After a deadline, for an endpoint's own answer to arrive."},
			{Name: "ejection", Type: checker.Duration(time.Millisecond, most), Default: halfSecond, Doc: "For which an endpoint with two failures in a row is passed over; doubled each time."},
			{Name: "ejection-most", Type: checker.Duration(time.Millisecond, most), Default: "4s", Doc: "Longest ejection."},
			{Name: "engine-penalty", Type: checker.Float(0, 100), Default: "1", Doc: "Requests that an engine in another region must have less to be chosen."},
			{Name: "fill", Type: checker.Float(0.1, 10), Default: "1", Doc: "Requests at an engine, in its slots, up to which more are sent; those beyond wait without being read."},
			{Name: "far-period", Type: checker.Duration(time.Millisecond, most), Default: threeTenths, Doc: "Between messages to entries of other regions; their endpoints are chosen only when those of the own region are fuller."},
			{Name: "first-share", Type: checker.Float(0.01, 10), Default: "0.5", Doc: "Share of the objective within which the first event is to come by prediction, for an engine to get more; the rest is for what the prediction leaves out."},
			{Name: "first-waits", Type: checker.Float(1, 100), Default: "3", Doc: "Objectives that a repeatable attempt may take to its head before another endpoint is tried."},
			{Name: "full-pause", Type: checker.Duration(0, most), Default: "150ms", Doc: "For which an endpoint that refused for load is passed over; about the time until a slot is free."},
			{Name: "gap-waits", Type: checker.Float(1, 100), Default: "4", Doc: "Longest pauses of a route after which a silent stream goes on elsewhere; callers leave after 8."},
			{Name: "idle", Type: checker.Duration(time.Second, most), Default: "10s", Doc: "For which a connection to an endpoint is kept."},
			{Name: "kept", Type: checker.Int(1, 1000), Default: "24", Doc: "Idle connections kept to one endpoint."},
			{Name: "max-answer", Type: checker.Size(1024, 1<<30), Default: "1MiB", Doc: "Bytes of an answer that is held back until it is whole."},
			{Name: "notice-life", Type: checker.Duration(time.Millisecond, most), Default: "3s", Doc: "For which what another process said counts."},
			{Name: "period", Type: checker.Duration(time.Millisecond, most), Default: "100ms", Doc: "Between messages to other entries; a slot is free about as often."},
			{Name: "plain-fill", Type: checker.Float(0.1, 100), Default: "3", Doc: "Requests at a plain endpoint, in its slots, up to which more are sent."},
			{Name: "plain-penalty", Type: checker.Float(0, 100), Default: "0.4", Doc: "Load in slots that a plain endpoint in another region must have less."},
			{Name: "poison-breaks", Type: checker.Int(1, 100), Default: "3", Doc: "Breaks of endpoints after which a request is refused."},
			{Name: "poison-time", Type: checker.Duration(time.Second, time.Hour), Default: "60s", Doc: "For which it is refused."},
			{Name: "probe", Type: checker.Duration(time.Second, most), Default: "1s", Doc: "Between keep-alive probes of silent connections; the kernel takes whole seconds."},
			{Name: "queue-poll", Type: checker.Duration(time.Millisecond, most), Default: "12ms", Doc: "Between two looks for room."},
			{Name: "queue-share", Type: checker.Float(0, 1), Default: "0.12", Doc: "Share of the objective for which a request waits for room."},
			{Name: "resume-fill", Type: checker.Float(0.1, 10), Default: "1.5", Doc: "As fill, for streams that were cut."},
			{Name: "retry-after", Type: checker.Duration(0, most), Default: "1900ms", Doc: "Told to callers that were refused for load."},
			{Name: "retry-share", Type: checker.Float(0.1, 100), Default: "2", Doc: "Entries that share the slack of repeats, in entries heard of; leaves room for those that start."},
			{Name: "return-fill", Type: checker.Float(0.1, 10), Default: "0.85", Doc: "As fill, for callers who come back after a refusal: their answer is late already, and under overload the rest is for callers who can be answered in time."},
			{Name: "return-time", Type: checker.Duration(0, most), Default: "5s", Doc: "After a refusal, for which a caller who comes back is recognized; told to come back after retry-after."},
			{Name: "servers-pause", Type: checker.Duration(time.Millisecond, most), Default: halfSecond, Doc: "Between reads of the list of endpoints."},
			{Name: "slow-tolerance", Type: checker.Float(1, 100), Default: "1.6", Doc: "Times that an endpoint may be slower than its service before it counts as fuller; loads that differ by a few requests make as much."},
			{Name: "stall", Type: checker.Duration(0, most), Default: "400ms", Doc: "Without a sign from an endpoint that has requests, after which it gets no more; an objective, and many passes of an engine."},
			{Name: "stall-times", Type: checker.Float(1, 100), Default: "3", Doc: "As stall, in times that the service takes to the head of an answer; the longer counts."},
			{Name: "starting-wait", Type: checker.Duration(0, most), Default: halfSecond, Doc: "Told to callers before the first configuration."},
			{Name: "stop-delay", Type: checker.Duration(0, most), Default: twoAndAHalf, Doc: "From SIGTERM until no connection is taken; the platform asks twice, a second apart."},
			{Name: "version-margin", Type: checker.Duration(0, most), Default: versionMargin, Doc: "Before the bound, from which only the new version is used; longest wait of a request at an engine."},
		},
	}
}

func weightsSpec() checker.SectionSpec {
	const most = time.Minute
	return checker.SectionSpec{
		Doc:  "How versions are fetched and loaded.",
		Kind: sectionWeights,
		Keys: []checker.Key{
			{Name: "announce", Type: checker.Duration(0, most), Default: "150ms", Doc: "Before an order, for which entries send nothing; a message's way and a tick."},
			{Name: "drain", Type: checker.Duration(0, most), Default: "1200ms", Doc: "Before an order, for which entries send only answers that end until then; the time of a usual answer."},
			{Name: "earliest-share", Type: checker.Float(0, 1), Default: "0.44", Doc: "Share of the bound, after a version was named, before which no engine in service loads it: engines that serve nothing fetch first."},
			{Name: "first-window", Type: checker.Int(1, 10000), Default: "6", Doc: "As window, until transfers turn out quick; on a squeezed link each piece more delays the engine's requests by a fifth of a second."},
			{Name: "least-use", Type: checker.Duration(0, most), Default: "1500ms", Doc: "For which an older version must be of use to be loaded before a newer one; the time that a load takes an engine out of service."},
			{Name: "link-share", Type: checker.Float(0.01, 1), Default: "0.75", Doc: "Share of the link for weights; the rest is for the engine's answers."},
			{Name: "patience", Type: checker.Duration(0, most), Default: threeTenths, Doc: "With an engine that does not report when the agent starts; a report takes a few milliseconds."},
			{Name: "period", Type: checker.Duration(time.Millisecond, most), Default: "1s", Doc: "Between messages to entries when nothing changes."},
			{Name: "poll", Type: checker.Duration(time.Millisecond, most), Default: "200ms", Doc: "Between reports of the engine, which lag as much."},
			{Name: "retry", Type: checker.Duration(time.Millisecond, most), Default: threeTenths, Doc: "After a step that failed."},
			{Name: "skip-share", Type: checker.Float(0, 1), Default: "0.31", Doc: "Share of the bound between two versions, up to which the older is left out; the rest is for the fetch of the newer."},
			{Name: "spread-share", Type: checker.Float(0, 1), Default: "0.41", Doc: "Share of the bound over which the engines in service load a version, one after another."},
			{Name: "uploads", Type: checker.Int(1, 100), Default: "2", Doc: "Pieces sent at once; more wait longer in the link's queue, and answers behind them."},
			{Name: "wait", Type: checker.Duration(time.Millisecond, most), Default: "1s", Doc: "For which another agent may hold a request for a piece on its way."},
			{Name: "version-margin", Type: checker.Duration(0, most), Default: versionMargin, Doc: "Before the bound, from which entries use only the new version."},
			{Name: "window", Type: checker.Int(1, 10000), Default: "16", Doc: "Missing pieces asked for at once. The origin sends what is asked for side by side: with more, each piece takes longer than others wait for it."},
		},
	}
}

// ReadMachineSettings reads the settings of a process on a prepared machine.
// Every fault is reported in one *FindingsError.
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
	values, more := MachineTable(role).Read(file)
	if findings = append(findings, more...); len(findings) > 0 {
		return nil, &FindingsError{Findings: parser.SortFindings(findings)}
	}
	return &MachineSettings{role: role, values: values}, nil
}

// LogLevel returns the least severe level to be logged.
func (s *MachineSettings) LogLevel() string { return s.text("log-level") }

// Memory returns the bytes that the process may use.
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

func (s *MachineSettings) forward(key string) time.Duration { return s.duration(sectionForward, key) }

func (s *MachineSettings) region() gooseberrypass.Region {
	return gooseberrypass.Region(s.text("region"))
}

// regionOf returns the region of a failure domain.
func (s *MachineSettings) regionOf(domain gooseberrypass.FailureDomain) gooseberrypass.Region {
	return gooseberrypass.Region(checker.Get[map[string]string](s.values, sectionMachine, "regions")[string(domain)])
}

// self returns the process as it registers itself.
func (s *MachineSettings) self() surveyor.Process {
	p := surveyor.Process{
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

func (s *MachineSettings) balancer() balancer.Settings {
	return balancer.Settings{
		Ejection:       s.forward("ejection"),
		EjectionMost:   s.forward("ejection-most"),
		EnginePenalty:  s.float(sectionForward, "engine-penalty"),
		Fill:           s.float(sectionForward, "fill"),
		FirstShare:     s.float(sectionForward, "first-share"),
		FullPause:      s.forward("full-pause"),
		NoticeLife:     s.forward("notice-life"),
		PlainFill:      s.float(sectionForward, "plain-fill"),
		PlainPenalty:   s.float(sectionForward, "plain-penalty"),
		ResumeFill:     s.float(sectionForward, "resume-fill"),
		ReturnFill:     s.float(sectionForward, "return-fill"),
		SlowTolerance:  s.float(sectionForward, "slow-tolerance"),
		Stall:          s.forward("stall"),
		StallTimes:     s.float(sectionForward, "stall-times"),
		VersionMargin:  s.forward("version-margin"),
		VersionTimeout: s.duration(sectionBounds, "version"),
	}
}

func (s *MachineSettings) forwarder() forwarder.Settings {
	return forwarder.Settings{
		CutAfter:     s.forward("cut-after"),
		FirstWaits:   s.float(sectionForward, "first-waits"),
		GapWaits:     s.float(sectionForward, "gap-waits"),
		MaxAnswer:    checker.Get[int64](s.values, sectionForward, "max-answer"),
		PoisonCrash:  checker.Get[int](s.values, sectionForward, "poison-breaks"),
		PoisonTime:   s.forward("poison-time"),
		QueuePoll:    s.forward("queue-poll"),
		QueueShare:   s.float(sectionForward, "queue-share"),
		RetryAfter:   s.forward("retry-after"),
		RetryRatio:   s.float(sectionBounds, "retry-ratio"),
		RetryShare:   s.float(sectionForward, "retry-share"),
		RetrySlack:   s.float(sectionBounds, "retry-slack"),
		RetryWindow:  s.duration(sectionBounds, "retry-window"),
		StartingWait: s.forward("starting-wait"),
	}
}

func (s *MachineSettings) courier() platform.TransportLimits {
	return platform.TransportLimits{
		ConnectTimeout: s.forward("connect"),
		IdleTimeout:    s.forward("idle"),
		MaxIdle:    checker.Get[int](s.values, sectionForward, "kept"),
		ProbeInterval:   s.forward("probe"),
	}
}

func (s *MachineSettings) surveyor() surveyor.Settings {
	version, stable := s.duration(sectionBounds, "version"), s.duration(sectionBounds, "stable")
	return surveyor.Settings{Assume: max(version-stable, 0), Lapse: s.duration(sectionBounds, "lapse")}
}

// relayTimeout bounds a pull of records from another process, and the patience
// with a list that another process has read further. Both are a fraction of the
// bounds for a new configuration.
const relayTimeout = 800 * time.Millisecond

// relayPatience is how long an entry that hears of a new configuration waits for
// its own read: one answer of the store is a few milliseconds, and a held read
// comes as soon as the record is there.
const relayPatience = 150 * time.Millisecond

// An entry that reads the log for its region is replaced after these. Together with
// a read they are below the shortest bound for what the store has acknowledged.
const (
	readerAge     = 1100 * time.Millisecond // two reads of the list, which is read twice a second
	readerSilence = 450 * time.Millisecond  // four messages
)

// relaySpread is how many other agents an agent tells of a change; with as many
// a share of e^-4 hears of it from no agent.
const relaySpread = 4

func (s *MachineSettings) relayer() relayer.Settings {
	relay := relayer.Settings{ListPatience: relayTimeout, Patience: relayPatience, ReaderAge: readerAge, ReaderSilence: readerSilence, Spread: relaySpread, Timeout: relayTimeout}
	if s.role == gooseberrypass.RoleAgent {
		relay.Period = s.duration(sectionWeights, "period")
	} else {
		relay.FarPeriod, relay.Period = s.forward("far-period"), s.forward("period")
	}
	return relay
}

func (s *MachineSettings) stager() stager.Settings {
	bound := s.duration(sectionBounds, "version")
	weights := func(key string) time.Duration { return s.duration(sectionWeights, key) }
	share := func(key string) time.Duration {
		return time.Duration(s.float(sectionWeights, key) * float64(bound))
	}
	return stager.Settings{
		Announce: weights("announce"),
		Drain:    weights("drain"),
		Earliest: share("earliest-share"),
		LeastUse: weights("least-use"),
		Patience: weights("patience"),
		Poll:     weights("poll"),
		Retry:    weights("retry"),
		SkipGap:  share("skip-share"),
		Spread:   share("spread-share"),
		Usable:   bound - weights("version-margin"),
	}
}

// The limits of one transfer of a piece. A link that is shared by all agents of
// a region takes a piece in well under a second.
const (
	transferFirst = 2 * time.Second
	transferLeast = 500 * time.Millisecond
	transferMost  = 5 * time.Second
)

// The pauses after failures. A version has seconds to reach every engine, so
// nothing is passed over for longer than a fraction of that.
const (
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	passPause  = time.Second
	// pendingPause lets an agent ask the one that reads from the origin again
	// soon after an outage of the origin, in which all wait for one another.
	pendingPause = 500 * time.Millisecond
	slowChunk    = 400 * time.Millisecond // of a piece; events are late after less
	sourceFirst  = 100 * time.Millisecond
	sourceMost   = 250 * time.Millisecond
)

func (s *MachineSettings) fetcher() fetcher.Settings {
	return fetcher.Settings{
		AvoidBase: avoidFirst, AvoidMax: avoidMost, FirstWindow: checker.Get[int](s.values, sectionWeights, "first-window"), InitialLimit: transferFirst, MaxLimit: transferMost, MinLimit: transferLeast,
		MismatchMax: sourceMost, MismatchPause: sourceFirst, OriginInFlight: originConns, PassPause: passPause, PendingPause: pendingPause, SlowTransfer: slowChunk,
		SourceMax: sourceMost, SourcePause: sourceFirst, Wait: s.duration(sectionWeights, "wait"),
		Window: checker.Get[int](s.values, sectionWeights, "window"),
	}
}

// bulkRate returns the bytes a second that the instance sends of weights.
func (s *MachineSettings) bulkRate() int64 {
	return int64(s.float(sectionMachine, "link") * 1e6 / 8 * s.float(sectionWeights, "link-share"))
}
