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
			AgeMillis: r.Age.Milliseconds(), Endpoint: string(r.Endpoint), Limited: r.Advisory.Limited, Rate: r.Advisory.Rate,
		})
	}
	return advisories
}

// decodeAdvisories returns the advisories of a message without those whose rate is no
// rate.
func decodeAdvisories(advisories []*wire.EndpointAdvisory) []balancer.AdvisoryReport {
	var reports []balancer.AdvisoryReport
	for _, a := range advisories {
		if math.IsNaN(a.GetRate()) || a.GetRate() < 0 {
			continue
		}
		reports = append(reports, balancer.AdvisoryReport{
			Advisory: gooseberrypass.Advisory{Limited: a.GetLimited(), Rate: a.GetRate()},
			Age:      decodeAge(a.GetAgeMillis()), Endpoint: gooseberrypass.ID(a.GetEndpoint()),
		})
	}
	return reports
}
