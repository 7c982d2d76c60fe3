package demonstrator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

const (
	entryCount   = 2
	serviceCount = 2
)

// regions returns the regions of the demo, one failure domain in each.
func regions() []string { return []string{"centro", "norte", "sureste"} }

// An agentProcess is a running agent.
type agentProcess struct {
	agent     *runner.Agent
	cancel    context.CancelFunc
	hasEngine bool // serves a model engine rather than a plain service
	id        gooseberrypass.ID
	killed    bool
	registry  *prometheus.Registry
}

// A fleet is the set of all agents and entries.
type fleet struct {
	agents   []*agentProcess
	cancels  []context.CancelFunc
	clock    gooseberrypass.Clock
	entries  []*runner.Entry
	key      authenticator.Key
	logger   *logrus.Logger
	platform *platform
	wg       sync.WaitGroup
}

func newFleet(clock gooseberrypass.Clock, key authenticator.Key, logger *logrus.Logger, p *platform) *fleet {
	return &fleet{clock: clock, key: key, logger: logger, platform: p}
}

// start starts n agents with an engine each, agents with plain services, and the
// entries.
func (f *fleet) start(ctx context.Context, n int, seed uint64) error {
	for i := range n {
		_, url, err := f.platform.startEngine(seed + uint64(i)) //nolint:contextcheck // platform.stop ends it
		if err != nil {
			return err
		}
		if err := f.startAgent(ctx, i, "writers", "engine = "+url); err != nil {
			return err
		}
	}
	for i := range serviceCount {
		url, err := f.platform.startService() //nolint:contextcheck // platform.stop ends it
		if err != nil {
			return err
		}
		if err := f.startAgent(ctx, n+i, "licensing", "service = "+url); err != nil {
			return err
		}
	}
	for i := range entryCount {
		if err := f.startEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startAgent(ctx context.Context, i int, pool, endpoint string) error {
	id := fmt.Sprintf("agent-%02d", i+1)
	settings, err := f.settings(gooseberrypass.RoleAgent, id, i,
		fmt.Sprintf("[agent]\npool = %s\n%s\n", pool, endpoint))
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	agent, err := runner.NewAgent(ctx, settings, f.dependencies(registry))
	if err != nil {
		return errors.Wrap(err, id)
	}
	p := &agentProcess{agent: agent, hasEngine: pool == "writers", id: gooseberrypass.ID(id), registry: registry}
	p.cancel = f.run(ctx, agent.Run)
	f.agents = append(f.agents, p)
	f.platform.list.Put(settings.Self())
	return nil
}

func (f *fleet) startEntry(ctx context.Context, i int) error {
	id := fmt.Sprintf("entry-%02d", i+1)
	settings, err := f.settings(gooseberrypass.RoleEntry, id, i, "[entry]\ncallers-listen = "+loopbackAddress+"\n")
	if err != nil {
		return err
	}
	entry, err := runner.NewEntry(ctx, settings, f.dependencies(prometheus.NewRegistry()))
	if err != nil {
		return errors.Wrap(err, id)
	}
	f.entries = append(f.entries, entry)
	f.run(ctx, entry.Run)
	f.platform.list.Put(settings.Self())
	return nil
}

// run runs a process in the background until ctx is done or the returned function
// is called.
func (f *fleet) run(ctx context.Context, run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	f.cancels = append(f.cancels, cancel)
	f.wg.Go(func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			f.logger.WithError(err).Debug("process failed")
		}
	})
	return cancel
}

func (f *fleet) dependencies(registry *prometheus.Registry) runner.Dependencies {
	return runner.Dependencies{Clock: f.clock, Logger: f.logger, Registry: registry}
}

// settings returns the settings of process i of a role. roleSections is appended
// to the sections that all roles share.
func (f *fleet) settings(role gooseberrypass.Role, id string, i int, roleSections string) (*runner.Settings, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	region := regions()[i%len(regions())]
	text := fmt.Sprintf(`[process]
failure-domain = %[1]s-a
instance = %[2]s
listen = %[3]s
region = %[1]s
seed = %[4]d

[platform]
instance-list = %[5]s
log = %[6]s
origin = %[7]s
weight-store = %[8]s

%[9]s`, region, id, address, i+1, f.platform.listURL, f.platform.logURL, f.platform.originURL, f.platform.storeURL, roleSections)
	return runner.ParseSettings(id, role, []byte(text), f.key)
}

// entryURLs returns the base URLs at which the entries accept callers.
func (f *fleet) entryURLs() []string {
	urls := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		urls = append(urls, "http://"+e.CallersAddress())
	}
	return urls
}

// membersKnown reports whether every process knows all members.
func (f *fleet) membersKnown() bool {
	total := len(f.entries) + len(f.agents)
	for _, e := range f.entries {
		if len(e.Members()) < total {
			return false
		}
	}
	for _, a := range f.agents {
		if len(a.agent.Members()) < total {
			return false
		}
	}
	return true
}

// configAccepted reports whether the configuration at offset, or a later one, is
// in force in all live processes.
func (f *fleet) configAccepted(offset gooseberrypass.Offset) bool {
	for _, e := range f.entries {
		if c := e.Config(); c == nil || c.Offset() < offset {
			return false
		}
	}
	for _, a := range f.live() {
		if c := a.agent.Config(); c == nil || c.Offset() < offset {
			return false
		}
	}
	return true
}

// killAgent stops the first live agent that has an engine, without a graceful
// stop, removes it from the instance list and returns its ID.
func (f *fleet) killAgent() gooseberrypass.ID {
	live := f.live()
	i := slices.IndexFunc(live, func(a *agentProcess) bool { return a.hasEngine })
	a := live[i]
	a.killed = true
	a.agent.Kill()
	a.cancel()
	f.platform.list.Delete(a.id)
	return a.id
}

func (f *fleet) live() []*agentProcess {
	var live []*agentProcess
	for _, a := range f.agents {
		if !a.killed {
			live = append(live, a)
		}
	}
	return live
}

// serving returns the number of live engines that serve a version and the number
// of live engines.
func (f *fleet) serving(digest gooseberrypass.Digest) (int, int) {
	var serving, engines int
	for _, a := range f.live() {
		if !a.hasEngine {
			continue
		}
		engines++
		if a.agent.Status().Serves(modelName, digest) {
			serving++
		}
	}
	return serving, engines
}

// allHold reports whether the agents of all live engines hold every chunk of a
// version.
func (f *fleet) allHold(digest gooseberrypass.Digest) bool {
	for _, a := range f.live() {
		if a.hasEngine && !holdsAllChunks(a.agent.Status(), digest) {
			return false
		}
	}
	return true
}

func holdsAllChunks(status *gooseberrypass.AgentStatus, digest gooseberrypass.Digest) bool {
	for _, t := range status.Targets {
		if t.Digest == digest {
			return t.Total > 0 && t.Held == t.Total
		}
	}
	return false
}

// stop stops all processes and waits for them.
func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.wg.Wait()
}

// freeAddress returns a loopback address with a port that is free at the time of
// the call.
func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", loopbackAddress) //nolint:noctx // binds loopback at once
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	address := lis.Addr().String()
	return address, errors.Wrap(lis.Close(), "find a free port")
}
