package runner

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// StatusPath is the path of the status page, on the address for reads of the metrics.
const StatusPath = "/status"

// A StatusPage is what an entry on a prepared machine knows, for operators.
type StatusPage struct {
	Config    int64                       `json:"config"` // version of the configuration in force, 0 before the first one
	Endpoints []balancer.EndpointOverview `json:"endpoints"`
	Instance  gooseberrypass.ID           `json:"instance"`
	Region    gooseberrypass.Region       `json:"region"`
}

// NewStatusHandler returns the handler of the status page of an entry.
func NewStatusHandler(self balancer.Self, m *materializer.Materializer, b *balancer.Balancer, logger logrus.FieldLogger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		page := StatusPage{Endpoints: b.Overview(), Instance: self.ID, Region: self.Region}
		if d := m.Deployment(); d != nil {
			page.Config = d.Version()
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(page); err != nil {
			logger.WithError(err).Debug("writing the status page failed")
		}
	})
}
