package gossiper_test

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A datagram may hold anything. What is decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	body, err := gossiper.Encode(gossiper.Message{
		Advisories: []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Limited: true, Rate: 3.7}, Age: time.Second, Endpoint: "e"}},
		Address:    "10.0.0.1:7700", RequestCrashes: []gooseberrypass.RequestCrashes{{Age: time.Second, Count: 2, Observer: 3, Request: 1}}, From: "a", ListAge: time.Second,
		CrashEvidence:  attributor.Evidence{Interruptions: []attributor.Interruption{{Age: time.Second, Endpoint: "e", Parts: []uint64{1}}}},
		Demand:         map[gooseberrypass.ID]float64{"s": 12.5},
		EndpointStatus: &balancer.EndpointStatus{Address: "10.0.0.2:1", Loading: true, Models: map[string]int{"m": 1}},
		Loads:          map[gooseberrypass.ID]balancer.Load{"e": {Requests: 3, UnreadTokens: 1000}},
		Manifests:      []gooseberrypass.ModelTarget{{Model: "m", Version: 2}},
		Next:           map[gooseberrypass.Topic]gooseberrypass.Offset{gooseberrypass.TopicOperator: 7}, Refused: []uint64{9}, Region: "r", Role: gooseberrypass.RoleEntry,
		Targets: []gooseberrypass.AgedTarget{{Age: time.Second, Model: "m", Observed: true, Version: 2}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Add([]byte{})
	for _, millis := range []int64{math.MaxInt64, math.MaxInt64/1_000_000 + 1, math.MinInt64, -1} {
		body, err := proto.Marshal(&wire.Gossip{
			ListAgeMillis: millis, Named: []*wire.NamedVersion{{AgeMillis: millis, Model: "m", Version: math.MinInt32}}, Next: map[string]uint64{"t": math.MaxUint64},
			Notice: &wire.EndpointNotice{BornUnixMillis: millis, ClosesInMillis: millis, Models: map[string]int32{"": math.MinInt32}},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := gossiper.Decode(body)
		if err != nil {
			return
		}
		if m.ListAge < 0 || m.EndpointStatus != nil && m.EndpointStatus.DrainsIn < 0 {
			t.Errorf("got list age %s and endpoint status %+v, want no negative times", m.ListAge, m.EndpointStatus)
		}
		for _, i := range m.CrashEvidence.Interruptions {
			if i.Age < 0 {
				t.Errorf("interruption at %q: got a negative age %s", i.Endpoint, i.Age)
			}
		}
		for _, r := range m.Advisories {
			if r.Age < 0 || math.IsNaN(r.Advisory.Rate) || r.Advisory.Rate < 0 {
				t.Errorf("endpoint %q: got an age or rate that cannot be: %+v", r.Endpoint, r)
			}
		}
		for service, rate := range m.Demand {
			if math.IsNaN(rate) || rate < 0 {
				t.Errorf("service %q: got a demand that cannot be: %g", service, rate)
			}
		}
		for id, load := range m.Loads {
			if load.Requests < 0 || load.UnreadTokens < 0 {
				t.Errorf("endpoint %q: got a negative load %+v", id, load)
			}
		}
		if _, err := gossiper.Encode(m); err != nil {
			t.Errorf("encode what was decoded: %v", err)
		}
	})
}
