package tracker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A StatusObserved is the event that an agent answered a status poll, or that
// it did not.
type StatusObserved struct {
	Address string
	Err     error
	ID      gooseberrypass.ID
	Status  *gooseberrypass.AgentStatus
}

// EventName implements gooseberrypass.Event.
func (StatusObserved) EventName() string { return "status-observed" }

// A listPoll reads the platform's list.
type listPoll struct {
	clock gooseberrypass.Clock
	list  gooseberrypass.InstanceList
	limit time.Duration
}

// EffectName implements gooseberrypass.Effect.
func (listPoll) EffectName() string { return "list-poll" }

// Run implements gooseberrypass.Effect.
func (p listPoll) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, p.limit)
	defer cancel()
	listing, err := p.list.List(ctx)
	return gooseberrypass.ListingObserved{Err: err, Listing: listing}
}

// A statusPoll waits for an agent's status to change.
type statusPoll struct {
	address  string
	agent    wire.Agent
	clock    gooseberrypass.Clock
	id       gooseberrypass.ID
	limit    time.Duration
	loadWait time.Duration
	pause    time.Duration
	version  uint64
	wait     time.Duration
}

// EffectName implements gooseberrypass.Effect.
func (statusPoll) EffectName() string { return "status-poll" }

// Run implements gooseberrypass.Effect.
func (p statusPoll) Run(ctx context.Context) gooseberrypass.Event {
	if !sleep(ctx, p.clock, p.pause) {
		return StatusObserved{Address: p.address, Err: ctx.Err(), ID: p.id}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, p.limit)
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
		return StatusObserved{Address: p.address, Err: errors.Errorf("address answers as instance %q", m.GetInstance()), ID: p.id}
	}
	status, err := StatusFromWire(m, p.clock.Now())
	return StatusObserved{Address: p.address, Err: err, ID: p.id, Status: status}
}

// A membersChanged hands the event of a changed view to the controllers.
type membersChanged struct {
	members []gooseberrypass.Member
}

// EffectName implements gooseberrypass.Effect.
func (membersChanged) EffectName() string { return "members-changed" }

// Run implements gooseberrypass.Effect.
func (e membersChanged) Run(context.Context) gooseberrypass.Event {
	return gooseberrypass.MembersChanged{Members: e.members}
}
