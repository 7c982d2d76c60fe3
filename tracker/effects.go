package tracker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A StatusObserved is the event that a status poll of an agent has ended.
type StatusObserved struct {
	Address string // to which the poll was sent
	Err     error  // why the poll failed, nil if Status is set
	ID      gooseberrypass.ID
	Status  *gooseberrypass.AgentStatus
}

// EventName implements gooseberrypass.Event.
func (StatusObserved) EventName() string { return "status-observed" }

// A listPoll reads the platform's list of instances.
type listPoll struct {
	clock   gooseberrypass.Clock
	list    gooseberrypass.InstanceList
	timeout time.Duration
}

// EffectName implements gooseberrypass.Effect.
func (listPoll) EffectName() string { return "list-poll" }

// Run implements gooseberrypass.Effect.
func (p listPoll) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, p.timeout)
	defer cancel()
	listing, err := p.list.List(ctx)
	return gooseberrypass.ListingObserved{Err: err, Listing: listing}
}

// A statusPoll long-polls an agent for a change of its status.
type statusPoll struct {
	address  string
	agent    wire.Agent
	clock    gooseberrypass.Clock
	id       gooseberrypass.ID
	loadWait time.Duration // how long the agent may hold back changes of its load
	pause    time.Duration // before the request is sent
	timeout  time.Duration // of the request
	version  uint64        // last status version seen; 0 for none
	wait     time.Duration // after which the agent answers without a change
}

// EffectName implements gooseberrypass.Effect.
func (statusPoll) EffectName() string { return "status-poll" }

// Run implements gooseberrypass.Effect.
func (p statusPoll) Run(ctx context.Context) gooseberrypass.Event {
	if !sleep(ctx, p.clock, p.pause) {
		return StatusObserved{Address: p.address, Err: ctx.Err(), ID: p.id}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, p.timeout)
	defer cancel()
	m, err := p.agent.Status(ctx, &wire.StatusRequest{
		LoadWaitMs: p.loadWait.Milliseconds(),
		Version:    p.version,
		WaitMs:     p.wait.Milliseconds(),
	})
	if err != nil {
		return StatusObserved{Address: p.address, Err: err, ID: p.id}
	}
	if m.GetInstance() != string(p.id) {
		return StatusObserved{Address: p.address, Err: errors.Errorf("%s answered as instance %q, want %q", p.address, m.GetInstance(), p.id), ID: p.id}
	}
	status, err := StatusFromWire(m, p.clock.Now())
	return StatusObserved{Address: p.address, Err: err, ID: p.id, Status: status}
}

// A membersChanged delivers a MembersChanged event to the controllers.
type membersChanged struct {
	members []gooseberrypass.Member
}

// EffectName implements gooseberrypass.Effect.
func (membersChanged) EffectName() string { return "members-changed" }

// Run implements gooseberrypass.Effect.
func (e membersChanged) Run(context.Context) gooseberrypass.Event {
	return gooseberrypass.MembersChanged{Members: e.members}
}
