package gossiper_test

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
)

// A request that crashed endpoints was quarantined for longer by an entry that was slow to handle
// the message which told of it.
func TestAgesInAMessageThatWaited(t *testing.T) {
	const age, wait = 2 * time.Second, time.Second
	sent := gossiper.Received{Message: gossiper.Message{
		Advisories:     []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Leaving: true}, Age: age}},
		ListAge:        age,
		RequestCrashes: []gooseberrypass.RequestCrashes{{Age: age, Request: 1}, {Age: math.MaxInt64, Request: 2}},
		Targets:        []gooseberrypass.AgedTarget{{Age: age, Version: 2}, {Age: math.MaxInt64, Version: 3}},
	}}
	got, ok := sent.Later(wait).(gossiper.Received)
	if !ok {
		t.Fatalf("got event %T, want a message", sent.Later(wait))
	}
	for name, c := range map[string]struct{ got, want time.Duration }{
		"advisory":               {got.Message.Advisories[0].Age, age},
		"crashes":                {got.Message.RequestCrashes[0].Age, age + wait},
		"crashes of longest age": {got.Message.RequestCrashes[1].Age, math.MaxInt64},
		"list of endpoints":      {got.Message.ListAge, age},
		"version":                {got.Message.Targets[0].Age, age + wait},
		"version of longest age": {got.Message.Targets[1].Age, math.MaxInt64},
		"version as received":    {sent.Message.Targets[0].Age, age},
	} {
		if c.got != c.want {
			t.Errorf("%s: got age %v, want %v", name, c.got, c.want)
		}
	}
}
