package commander

import (
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/publisher"
)

// platformFlags are the platform's services that publishing and pulling use.
type platformFlags struct {
	Log           string `env:"GOOSEBERRYPASS_LOG" help:"URL of the log." required:""`
	Origin        string `env:"GOOSEBERRYPASS_ORIGIN" help:"URL of the origin of weights." required:""`
	SharedKeyFile string `env:"GOOSEBERRYPASS_SHARED_KEY_FILE" help:"File that holds the shared key." type:"path"`
}

// publisher returns a publisher that uses these services.
func (f *platformFlags) publisher() (*publisher.Publisher, error) {
	key, err := authenticator.ReadKey(f.SharedKeyFile, os.Getenv)
	if err != nil {
		return nil, err
	}
	d, err := dialer.New(key, prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	client := d.Client(dialer.ClassPlatform)
	log := connector.NewLog(client, f.Log)
	origin := connector.NewOrigin(client, f.Origin)
	return publisher.New(clockwork.NewRealClock(), key, log, origin), nil
}
