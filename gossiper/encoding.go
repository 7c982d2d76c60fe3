package gossiper

import (
	"math"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// encode returns the wire form of a message. It is compact because every entry
// receives the load on every endpoint several times a second.
func encode(m Message) ([]byte, error) {
	g := &wire.Gossip{
		Address: m.Address, From: string(m.From), Next: make(map[string]uint64, len(m.Next)),
		ListAgeMillis: m.ListAge.Milliseconds(), Refused: m.Refused, Region: string(m.Region), Role: string(m.Role), Shares: make([]*wire.LoadShare, 0, len(m.Loads)),
		Starting: m.Starting,
	}
	for _, c := range m.RequestCrashes {
		g.RequestCrashes = append(g.RequestCrashes, &wire.RequestCrashes{
			AgeMillis: c.Age.Milliseconds(), Count: uint32(min(max(c.Count, 0), math.MaxInt32)), Observer: c.Observer, Relapses: uint32(min(max(c.Relapses, 0), math.MaxInt32)), Request: c.Request,
		})
	}
	for topic, next := range m.Next {
		g.Next[string(topic)] = uint64(next)
	}
	for _, topic := range m.Outranked {
		g.Outranked = append(g.Outranked, string(topic))
	}
	for id, load := range m.Loads {
		g.Shares = append(g.Shares, encodeLoad(id, load))
	}
	g.Advisories, g.Demand = encodeAdvisories(m.Advisories), encodeDemand(m.Demand)
	for _, t := range m.Manifests {
		g.Manifests = append(g.Manifests, &wire.ModelVersion{Model: t.Model, Version: int32(t.Version)})
	}
	for _, t := range m.Targets {
		g.Named = append(g.Named, &wire.NamedVersion{AgeMillis: t.Age.Milliseconds(), Model: t.Model, Version: int32(t.Version)})
	}
	if n := m.EndpointStatus; n != nil {
		g.Notice = &wire.EndpointNotice{Address: n.Address, BornUnixMillis: n.EngineStartMillis, ClosesInMillis: n.DrainsIn.Milliseconds(), Loading: n.Loading, Models: make(map[string]int32, len(n.Models))}
		for model, version := range n.Models {
			g.Notice.Models[model] = int32(version)
		}
	}
	g.Backlogs, g.CrashEvidence = encodeBacklogs(m.Backlogs), encodeEvidence(m.CrashEvidence)
	body, err := proto.Marshal(g)
	return body, errors.Wrap(err, "encode message")
}

func decode(body []byte) (Message, error) {
	g := &wire.Gossip{}
	if err := proto.Unmarshal(body, g); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	m := Message{
		Address: g.GetAddress(), From: gooseberrypass.ID(g.GetFrom()), Next: make(map[gooseberrypass.Topic]gooseberrypass.Offset, len(g.GetNext())),
		ListAge: decodeAge(g.GetListAgeMillis()), Refused: g.GetRefused(), Region: gooseberrypass.Region(g.GetRegion()),
		Role: gooseberrypass.Role(g.GetRole()), Loads: make(map[gooseberrypass.ID]balancer.Load, len(g.GetShares())), Starting: g.GetStarting(),
	}
	m.Backlogs, m.CrashEvidence = decodeBacklogs(g.GetBacklogs()), decodeEvidence(g.GetCrashEvidence())
	for _, c := range g.GetRequestCrashes() {
		m.RequestCrashes = append(m.RequestCrashes, gooseberrypass.RequestCrashes{
			Age: decodeAge(c.GetAgeMillis()), Count: int(min(c.GetCount(), math.MaxInt32)), Observer: c.GetObserver(), Relapses: int(min(c.GetRelapses(), math.MaxInt32)), Request: c.GetRequest(),
		})
	}
	for topic, next := range g.GetNext() {
		m.Next[gooseberrypass.Topic(topic)] = gooseberrypass.Offset(next)
	}
	for _, topic := range g.GetOutranked() {
		m.Outranked = append(m.Outranked, gooseberrypass.Topic(topic))
	}
	for _, s := range g.GetShares() {
		m.Loads[gooseberrypass.ID(s.GetEndpoint())] = decodeLoad(s)
	}
	m.Advisories, m.Demand = decodeAdvisories(g.GetAdvisories()), decodeDemand(g.GetDemand())
	for _, v := range g.GetManifests() {
		m.Manifests = append(m.Manifests, gooseberrypass.ModelTarget{Model: v.GetModel(), Version: int(v.GetVersion())})
	}
	for _, v := range g.GetNamed() {
		m.Targets = append(m.Targets, gooseberrypass.AgedTarget{Age: decodeAge(v.GetAgeMillis()), Model: v.GetModel(), Observed: true, Version: int(v.GetVersion())})
	}
	if n := g.GetNotice(); n != nil {
		m.EndpointStatus = &balancer.EndpointStatus{Address: n.GetAddress(), EngineStartMillis: n.GetBornUnixMillis(), DrainsIn: decodeAge(n.GetClosesInMillis()), Loading: n.GetLoading(), Models: make(map[string]int, len(n.GetModels()))}
		for model, version := range n.GetModels() {
			m.EndpointStatus.Models[model] = int(version)
		}
	}
	return m, nil
}
