package replicator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

type decoder struct{}

func (decoder) Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error) {
	return gooseberrypass.NewDeployment(int64(r.Offset), nil, nil, nil, gooseberrypass.CallerLimits{}), nil
}

func (decoder) Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error) {
	return gooseberrypass.Endpoint{Address: r.Key + ":1", ID: gooseberrypass.ID(r.Key), Leaving: string(r.Value) == "leaving"}, nil
}

func (decoder) Evacuation(gooseberrypass.KeyedRecord) (gooseberrypass.FailureDomain, bool) {
	return "", false
}

func (decoder) Revision(gooseberrypass.Topic, gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	return gooseberrypass.Revision{}
}

func (decoder) Target(r gooseberrypass.KeyedRecord) (gooseberrypass.ModelTarget, bool, error) {
	return gooseberrypass.ModelTarget{Model: "m", Version: int(r.Offset)}, r.Key == "version", nil
}

// A recordingSender records messages instead of sending them.
type recordingSender struct {
	last gossiper.Message
	to   []string
}

func (s *recordingSender) Send(m gossiper.Message, addresses []string) {
	if len(addresses) > 0 {
		s.last, s.to = m, append(s.to, addresses...)
	}
}

// A process has the controllers of a process without its control loop.
type process struct {
	answerer     *replicator.Responder
	materializer *materializer.Materializer
	replicator   *replicator.Replicator
	sender       *recordingSender
}

var now = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant time

func newProcess(id gooseberrypass.ID, role gooseberrypass.Role) *process {
	return newProcessWith(id, role, nil, replicator.Settings{Period: time.Second, Fanout: 1, PullTimeout: time.Second})
}

// noLoads is the load of an entry without requests.
type noLoads struct{}

func (noLoads) AddAdvisories(time.Time, gooseberrypass.ID, []balancer.AdvisoryReport) {}
func (noLoads) OwnAdvisories() []balancer.AdvisoryReport                              { return nil }

func (noLoads) OwnDemand() map[gooseberrypass.ID]float64                                        { return nil }
func (noLoads) SetEntryDemand(gooseberrypass.ID, map[gooseberrypass.ID]float64)                 {}
func (noLoads) SetEndpointStatus(time.Time, balancer.EndpointStatus)                            {}
func (noLoads) SetEntryLoads(time.Time, gooseberrypass.ID, map[gooseberrypass.ID]balancer.Load) {}
func (noLoads) OwnLoads() map[gooseberrypass.ID]balancer.Load                                   { return nil }

// noHistory is the request history of an entry that has had no requests.
type noHistory struct{}

func (noHistory) AddCrashEvidence(gooseberrypass.ID, attributor.Evidence) {}
func (noHistory) CrashEvidence() attributor.Evidence                      { return attributor.Evidence{} }
func (noHistory) AddRequestCrashes([]gooseberrypass.RequestCrashes)       {}
func (noHistory) Refused() []uint64                                       { return nil }
func (noHistory) RequestCrashes() []gooseberrypass.RequestCrashes         { return nil }
func (noHistory) SetRefused([]uint64)                                     {}

func newProcessWith(id gooseberrypass.ID, role gooseberrypass.Role, l replicator.LoadExchange, settings replicator.Settings) *process {
	return newProcessIn("", id, role, l, settings)
}

func newProcessIn(region gooseberrypass.Region, id gooseberrypass.ID, role gooseberrypass.Role, l replicator.LoadExchange, settings replicator.Settings) *process {
	return newProcessVia(newClient(), region, id, role, l, settings)
}

// newProcessVia returns a process that pulls through client.
func newProcessVia(client *http.Client, region gooseberrypass.Region, id gooseberrypass.ID, role gooseberrypass.Role, l replicator.LoadExchange, settings replicator.Settings) *process {
	return newProcessWithTopics(materializer.Settings{}, client, region, id, role, l, settings)
}

// newProcessWithTopics returns a process whose materializer has settings of its own.
func newProcessWithTopics(topics materializer.Settings, client *http.Client, region gooseberrypass.Region, id gooseberrypass.ID, role gooseberrypass.Role, l replicator.LoadExchange, settings replicator.Settings) *process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &process{materializer: materializer.New(decoder{}, topics, log), sender: &recordingSender{}}
	p.answerer = replicator.NewResponder(p.materializer)
	backlogs, _ := l.(replicator.BacklogExchange)
	p.replicator = replicator.New(replicator.Self{Address: string(id), ID: id, Region: region, Role: role}, p.materializer, p.sender, client, l, backlogs, noHistory{},
		settings, 1, log)
	return p
}

// handle passes an event to the controllers and runs the resulting effects.
func (p *process) handle(event gooseberrypass.Event) { p.handleAt(now, event) }

func (p *process) handleAt(now time.Time, event gooseberrypass.Event) {
	for _, c := range []gooseberrypass.Controller{p.materializer, p.answerer, p.replicator} {
		for _, effect := range c.Handle(now, event) {
			if next := effect.Run(context.Background()); next != nil {
				p.handleAt(now, next)
			}
		}
	}
}

// serve serves pulls from the process and returns the address.
func (p *process) serve(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(replicator.Pattern, replicator.NewHandler(p.handle))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// The offset of the configuration record, and the next one.
const (
	configOffset = gooseberrypass.Offset(7)
	nextOffset   = configOffset + 1
)

func configChanged() gooseberrypass.TopicChanged { return operatorRecord("config", configOffset) }

func operatorRecord(key string, offset gooseberrypass.Offset) gooseberrypass.TopicChanged {
	return gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{
		Next: offset + 1, Records: []gooseberrypass.KeyedRecord{{Key: key, Offset: offset, Value: []byte("c")}},
	}, Topic: gooseberrypass.TopicOperator}
}

func messageFromAhead(address string) gossiper.Received {
	return gossiper.Received{Message: gossiper.Message{
		Address: address, From: "other", Next: map[gooseberrypass.Topic]gooseberrypass.Offset{gooseberrypass.TopicOperator: nextOffset}, Role: gooseberrypass.RoleEntry,
	}}
}

func TestProcessTheStoreTurnsAwayTakesRecordsFromAnother(t *testing.T) {
	from, to := newProcess("a", gooseberrypass.RoleEntry), newProcess("b", gooseberrypass.RoleAgent)
	from.handle(configChanged())
	address := from.serve(t)
	to.handle(messageFromAhead(address))
	if d := to.materializer.Deployment(); d == nil || d.Version() != 7 {
		t.Errorf("deployment: got %v, want that of offset 7", d)
	}
	if got, want := to.materializer.NextOffset(gooseberrypass.TopicOperator), gooseberrypass.Offset(8); got != want {
		t.Errorf("next: got %d, want %d", got, want)
	}
}

func TestUpToDateProcessDoesNotPull(t *testing.T) {
	p := newProcess("a", gooseberrypass.RoleAgent)
	p.handle(configChanged())
	p.handle(messageFromAhead("127.0.0.1:1")) // nothing listens there: a pull would fail
	if got, want := p.materializer.Deployment().Version(), int64(7); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func TestLostPullIsTriedAgain(t *testing.T) {
	p := newProcess("a", gooseberrypass.RoleAgent)
	p.handle(messageFromAhead("127.0.0.1:1"))
	from := newProcess("b", gooseberrypass.RoleEntry)
	from.handle(configChanged())
	address := from.serve(t)
	p.handle(messageFromAhead(address))
	if p.materializer.Deployment() == nil {
		t.Error("no deployment after the second message")
	}
}

func TestChangeIsAnnouncedToAllEntriesAndAFewAgents(t *testing.T) {
	p := newProcess("a", gooseberrypass.RoleAgent)
	bodies := []string{
		`{"address":"e1","id":"e1","role":"entry"}`, `{"address":"e2","id":"e2","role":"entry"}`,
		`{"address":"g1","id":"g1","role":"agent"}`, `{"address":"g2","id":"g2","role":"agent"}`, `{"id":"broken"`,
	}
	records := make([]gooseberrypass.KeyedRecord, 0, len(bodies))
	for i, body := range bodies {
		records = append(records, gooseberrypass.KeyedRecord{Key: body, Offset: gooseberrypass.Offset(i), Value: []byte(body)})
	}
	p.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 5, Records: records}, Topic: gooseberrypass.TopicProcesses})
	p.handle(configChanged())
	entries, agents := 0, 0
	for _, to := range p.sender.to {
		if strings.HasPrefix(to, "e") {
			entries++
		} else {
			agents++
		}
	}
	if entries != 2 || agents != 1 {
		t.Errorf("announced to %v, want both entries and one agent", p.sender.to)
	}
}

// A configuration that changes only routes must not be announced to agents: each
// would pull it over links that weight transfers need.
func TestAgentsHearOnlyOfWhatConcernsEngines(t *testing.T) {
	p := newProcess("a", gooseberrypass.RoleEntry)
	agent := gooseberrypass.KeyedRecord{Key: "g1", Value: []byte(`{"address":"g1","id":"g1","role":"agent"}`)}
	p.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 1, Records: []gooseberrypass.KeyedRecord{agent}}, Topic: gooseberrypass.TopicProcesses})
	p.handle(configChanged())
	if got, want := len(p.sender.to), 1; got != want {
		t.Fatalf("messages after the first configuration: got %d, want %d", got, want)
	}
	p.handle(operatorRecord("config", nextOffset))
	if got, want := len(p.sender.to), 1; got != want {
		t.Errorf("messages after a configuration with the same engines: got %d, want %d", got, want)
	}
	p.handle(operatorRecord("version", nextOffset+1))
	if got, want := len(p.sender.to), 2; got != want {
		t.Errorf("messages after a version was named: got %d, want %d", got, want)
	}
}

// Messages from a process that is behind as well must not restart the delay after
// which records are pulled.
func TestProcessBehindAsksAlthoughOthersAreBehindToo(t *testing.T) {
	from := newProcess("a", gooseberrypass.RoleEntry)
	from.handle(configChanged())
	address := from.serve(t)
	p := newProcessWith("b", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{PullDelay: 150 * time.Millisecond, Period: time.Hour, PullTimeout: time.Second})
	fromCurrent := messageFromAhead(address)
	fromBehind := gossiper.Received{Message: gossiper.Message{Address: "127.0.0.1:1", From: "third", Role: gooseberrypass.RoleEntry, Next: map[gooseberrypass.Topic]gooseberrypass.Offset{gooseberrypass.TopicOperator: 0}}}
	for i := range 3 {
		p.handleAt(now.Add(time.Duration(i)*100*time.Millisecond), fromCurrent)
		p.handleAt(now.Add(time.Duration(i)*100*time.Millisecond), fromBehind)
	}
	if p.materializer.Deployment() == nil {
		t.Error("no deployment 200 ms after another process had it")
	}
}

// An undecodable record must not be taken for a deletion when it comes from another
// process: gob does not distinguish an empty value from nil.
func TestUnreadableRecordIsNoDrop(t *testing.T) {
	from, to := newProcess("a", gooseberrypass.RoleEntry), newProcess("b", gooseberrypass.RoleAgent)
	from.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{
		{Key: "dropped", Offset: 0}, {Key: "unreadable", Offset: 1, Value: []byte{}},
	}}, Topic: gooseberrypass.TopicOperator})
	address := from.serve(t)
	to.handle(messageFromAhead(address))
	records := to.materializer.RecordsFrom(gooseberrypass.TopicOperator, 0).Records
	if got, want := len(records), 2; got != want {
		t.Fatalf("records: got %d, want %d", got, want)
	}
	if records[0].Value != nil || records[1].Value == nil {
		t.Errorf("values: got %v and %v, want none and an empty one", records[0].Value, records[1].Value)
	}
}
