package answerer

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Overview implements wire.Entry. It returns this entry's view of the system: the
// other entries, the status of each agent, and the agents that do not respond.
func (e *Entry) Overview(context.Context, *wire.OverviewRequest) (*wire.OverviewResponse, error) {
	response := &wire.OverviewResponse{Entry: string(e.self.ID)}
	if cfg := e.config.Config(); cfg != nil {
		response.ConfigOffset = uint64(cfg.Offset())
	}
	now := e.clock.Now()
	for _, m := range e.membership.Members() {
		switch {
		case m.Listed.Role == gooseberrypass.RoleEntry:
			response.Entries = append(response.Entries, &wire.EntryOverview{
				Address:  m.Listed.Address,
				Instance: string(m.Listed.ID),
			})
		case m.Silent:
			response.SilentAgents = append(response.SilentAgents, string(m.Listed.ID))
		case m.Status != nil:
			status := tracker.StatusToWire(m.Listed, m.Status, now)
			status.CachedPrefixes = nil
			response.Agents = append(response.Agents, status)
		}
	}
	return response, nil
}
