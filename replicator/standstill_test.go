package replicator_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// A process stood still while messages waited in its socket. It took the age of a version in one of them for
// the age at the end of the standstill, kept it as observed, and told others so.
func TestAgeInAMessageThatWaitedThroughAStandstillIsNotUsed(t *testing.T) {
	const standstill = 4 * time.Second
	for _, tickFirst := range []bool{false, true} {
		p := newProcessWith("b", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{Period: time.Second, PullTimeout: time.Second, VersionLife: time.Minute})
		p.handleAt(now, gooseberrypass.Tick{})
		thaw := now.Add(standstill)
		if tickFirst {
			p.handleAt(thaw, gooseberrypass.Tick{})
		}
		p.handleAt(thaw, gossiper.Received{Message: gossiper.Message{
			From: "a", Role: gooseberrypass.RoleEntry, Targets: []gooseberrypass.AgedTarget{{Model: "m", Observed: true, Version: 2}},
		}})
		for _, got := range p.materializer.AgedTargets(thaw) {
			if got.Observed && got.Age < standstill {
				t.Errorf("tick first %v: got %+v, want no observed age below %s: the message may have come at any time of the standstill", tickFirst, got, standstill)
			}
		}
	}
}
