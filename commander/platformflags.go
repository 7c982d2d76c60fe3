package commander

import (
	"os"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/publisher"
)

// A platformFlags names what publishing needs of the platform.
type platformFlags struct {
	Log           string `env:"GOOSEBERRYPASS_LOG" help:"URL of the log." required:""`
	Origin        string `env:"GOOSEBERRYPASS_ORIGIN" help:"URL of the origin of weights." required:""`
	SharedKeyFile string `env:"GOOSEBERRYPASS_SHARED_KEY_FILE" help:"File that holds the shared key." type:"path"`
}

func (f *platformFlags) publisher() (*publisher.Publisher, error) {
	key, err := readKey(f.SharedKeyFile)
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

// readKey reads a shared key, the zero one if path is "".
func readKey(path string) (authenticator.Key, error) {
	if path == "" {
		return authenticator.Key{}, nil
	}
	secret, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return authenticator.Key{}, errors.Wrap(err, "read shared key")
	}
	key := authenticator.NewKey(strings.TrimSpace(string(secret)))
	if key.IsZero() {
		return authenticator.Key{}, errors.Errorf("the shared key file %s is empty", path)
	}
	return key, nil
}
