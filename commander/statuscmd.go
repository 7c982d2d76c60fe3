package commander

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/wire"
)

// shortDigestLen is the number of hexadecimal digits of a shortened digest.
const shortDigestLen = 12

var errMixedEntries = errors.New("--machine asks entries on prepared machines, --entry and --list ask the others; use one of them")

// statusCmd shows the status of the whole system as the entries know it.
type statusCmd struct {
	entriesFlags

	Machine []string `help:"IP number and port of the metrics address of an entry on a prepared machine; may be repeated." placeholder:"ADDRESS"`
}

// Help returns the text that --help adds to the flags.
func (statusCmd) Help() string {
	return `Asks the entries and shows each instance: what it serves, how far a rollout is,
and its load. Entries that do not answer are named, and make the exit status 1.

  gooseberrypass status --list http://10.0.0.1:7002
  gooseberrypass status --entry 10.0.1.1:7101 --output json

With --machine it asks entries on prepared machines instead, and shows each endpoint as
the entry knows it: its state, load and versions, and what it says in its answers.

  gooseberrypass status --machine 10.0.2.1:9464`
}

// Run queries the entries and prints the result.
func (c *statusCmd) Run(ctx context.Context, std streams) error {
	if len(c.Machine) > 0 && len(c.Entry)+len(c.List) > 0 {
		return &ExitError{Err: errMixedEntries, Status: ExitBadUsage}
	}
	if len(c.Machine) > 0 {
		return c.runMachines(ctx, std)
	}
	answers, err := queryEntries(ctx, c.entriesFlags, func(ctx context.Context, entry wire.Entry) (*wire.OverviewResponse, error) {
		return entry.Overview(ctx, &wire.OverviewRequest{})
	})
	if err != nil {
		return err
	}
	s := newSystemStatus(answers)
	if c.Output == outputJSON {
		err = writeJSON(std.stdout, s)
	} else {
		err = s.writeTable(std.stdout)
	}
	if err != nil {
		return err
	}
	return unreachableError(len(s.Unreachable), len(answers))
}

// unreachableError returns the error of a query to which some entries did not answer, nil if
// all did.
func unreachableError(unreachable, asked int) error {
	if unreachable == 0 {
		return nil
	}
	return &ExitError{Err: errors.Errorf("%d of %d entries did not answer", unreachable, asked), Status: ExitFailed}
}

// A systemStatus is the status of the system, combined from all entries that
// answered.
type systemStatus struct {
	Agents      []agentStatus `json:"agents"`
	Entries     []entryStatus `json:"entries"`
	Unreachable []entryStatus `json:"unreachable"`
}

// An entryStatus is the status of one entry. Error is the reason why it did not
// answer, if so.
type entryStatus struct {
	Address      string `json:"address"`
	ConfigOffset uint64 `json:"config_offset"`
	Error        string `json:"error,omitempty"`
	Instance     string `json:"instance,omitempty"`
}

// An agentStatus is the status of one agent and its endpoint.
type agentStatus struct {
	Capacity      int64    `json:"capacity"`
	ConfigOffset  uint64   `json:"config_offset"`
	FailureDomain string   `json:"failure_domain"`
	Instance      string   `json:"instance"`
	Loaded        []string `json:"loaded"`
	Pool          string   `json:"pool"`
	Queued        int64    `json:"queued"`
	Region        string   `json:"region"`
	Rollouts      []string `json:"rollouts"`
	Running       int64    `json:"running"`
	State         string   `json:"state"`
}

func newSystemStatus(answers []entryAnswer[*wire.OverviewResponse]) systemStatus {
	s := systemStatus{Agents: []agentStatus{}, Entries: []entryStatus{}, Unreachable: []entryStatus{}}
	newest := map[string]*wire.StatusResponse{}
	silent := map[string]bool{}
	for _, a := range answers {
		if a.err != nil {
			s.Unreachable = append(s.Unreachable, entryStatus{Address: a.address, Error: a.err.Error()})
			continue
		}
		s.Entries = append(s.Entries, entryStatus{Address: a.address, ConfigOffset: a.answer.GetConfigOffset(), Instance: a.answer.GetEntry()})
		for _, agent := range a.answer.GetAgents() {
			if old := newest[agent.GetInstance()]; old == nil || old.GetVersion() < agent.GetVersion() {
				newest[agent.GetInstance()] = agent
			}
		}
		for _, id := range a.answer.GetSilentAgents() {
			silent[id] = true
		}
	}
	for id, agent := range newest {
		s.Agents = append(s.Agents, newAgentStatus(agent, silent[id]))
		delete(silent, id)
	}
	for id := range silent {
		s.Agents = append(s.Agents, agentStatus{Instance: id, Loaded: []string{}, Rollouts: []string{}, State: "silent"})
	}
	slices.SortFunc(s.Agents, func(a, b agentStatus) int { return strings.Compare(a.Instance, b.Instance) })
	return s
}

func newAgentStatus(m *wire.StatusResponse, silent bool) agentStatus {
	a := agentStatus{
		Capacity:      m.GetCapacity(),
		ConfigOffset:  m.GetConfigOffset(),
		FailureDomain: m.GetFailureDomain(),
		Instance:      m.GetInstance(),
		Loaded:        []string{},
		Pool:          m.GetPool(),
		Queued:        m.GetQueued(),
		Region:        m.GetRegion(),
		Rollouts:      []string{},
		Running:       m.GetRunning(),
		State:         agentState(m, silent),
	}
	for _, l := range m.GetLoaded() {
		a.Loaded = append(a.Loaded, l.GetModel()+"@"+shortDigest(l.GetDigest()))
	}
	for _, t := range m.GetTargets() {
		rollout := fmt.Sprintf("%s@%s %s %d/%d", t.GetModel(), shortDigest(t.GetDigest()), t.GetPhase(), t.GetHeld(), t.GetTotal())
		if t.GetError() != "" {
			rollout += ": " + t.GetError()
		}
		a.Rollouts = append(a.Rollouts, rollout)
	}
	return a
}

func agentState(m *wire.StatusResponse, silent bool) string {
	switch {
	case silent:
		return "silent"
	case m.GetLeaving():
		return "leaving"
	case !m.GetEndpointUp():
		return "endpoint down"
	default:
		return "up"
	}
}

func shortDigest(digest []byte) string {
	text := hex.EncodeToString(digest)
	return text[:min(len(text), shortDigestLen)]
}

func writeJSON(w io.Writer, status any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(status), "print the status")
}

func (s systemStatus) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ENTRY\tADDRESS\tCONFIG")
	for _, e := range s.Entries {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\n", e.Instance, e.Address, e.ConfigOffset)
	}
	for _, e := range s.Unreachable {
		_, _ = fmt.Fprintf(t, "?\t%s\tno answer: %s\n", e.Address, e.Error)
	}
	_, _ = fmt.Fprintln(t)
	_, _ = fmt.Fprintln(t, "AGENT\tREGION\tDOMAIN\tPOOL\tSTATE\tCONFIG\tRUNNING\tQUEUED\tSERVES\tROLLOUT")
	for _, a := range s.Agents {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%d\t%s\t%s\n",
			a.Instance, a.Region, a.FailureDomain, a.Pool, a.State, a.ConfigOffset, a.Running, a.Capacity, a.Queued,
			strings.Join(a.Loaded, ","), strings.Join(a.Rollouts, "; "))
	}
	return errors.Wrap(t.Flush(), "print the status")
}
