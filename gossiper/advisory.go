package gossiper

import (
	"math"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// encodeAdvisories returns the wire form of advisories of endpoints.
func encodeAdvisories(reports []balancer.AdvisoryReport) []*wire.EndpointAdvisory {
	advisories := make([]*wire.EndpointAdvisory, 0, len(reports))
	for _, r := range reports {
		advisories = append(advisories, &wire.EndpointAdvisory{
			AgeMillis: r.Age.Milliseconds(), BornUnixMillis: r.StartMillis, Endpoint: string(r.Endpoint),
			Leaving: r.Advisory.Leaving, Limited: r.Advisory.Limited, Rate: r.Advisory.Rate,
		})
	}
	return advisories
}

// decodeAdvisories returns the advisories of a message without those whose rate is no
// rate.
func decodeAdvisories(advisories []*wire.EndpointAdvisory) []balancer.AdvisoryReport {
	var reports []balancer.AdvisoryReport
	for _, a := range advisories {
		if !isRate(a.GetRate()) {
			continue
		}
		reports = append(reports, balancer.AdvisoryReport{
			Advisory: gooseberrypass.Advisory{Leaving: a.GetLeaving(), Limited: a.GetLimited(), Rate: a.GetRate()},
			Age:      decodeAge(a.GetAgeMillis()), Endpoint: gooseberrypass.ID(a.GetEndpoint()), StartMillis: a.GetBornUnixMillis(),
		})
	}
	return reports
}

// isRate reports whether a number from a message is a rate.
func isRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// encodeDemand returns the wire form of the demand for services.
func encodeDemand(demand map[gooseberrypass.ID]float64) map[string]float64 {
	encoded := make(map[string]float64, len(demand))
	for service, rate := range demand {
		encoded[string(service)] = rate
	}
	return encoded
}

// decodeDemand returns the demand of a message without the numbers that are no rates.
func decodeDemand(encoded map[string]float64) map[gooseberrypass.ID]float64 {
	var demand map[gooseberrypass.ID]float64
	for service, rate := range encoded {
		if !isRate(rate) {
			continue
		}
		if demand == nil {
			demand = map[gooseberrypass.ID]float64{}
		}
		demand[gooseberrypass.ID(service)] = rate
	}
	return demand
}
