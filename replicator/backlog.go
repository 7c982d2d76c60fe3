package replicator

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// A BacklogExchange exchanges which requests lack capacity at entries. It is nil in agents, and
// in entries that schedule no service.
type BacklogExchange interface {
	OwnBacklogs() map[gooseberrypass.ID]scheduler.Backlog
	SetEntryBacklogs(now time.Time, from gooseberrypass.ID, backlogs map[gooseberrypass.ID]scheduler.Backlog)
}
