package commander

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// The limits of queries of the entries.
const (
	entryTimeout         = 5 * time.Second // timeout of one query
	maxConcurrentQueries = 16
)

const outputJSON = "json" // value of --output

var errNoEntries = errors.New("no entries: name them with --entry, or the platform's list with --list")

// entriesFlags are the entries to query and the format of the output.
type entriesFlags struct {
	Entry         []string `help:"IP number and port of an entry's system address; may be repeated." placeholder:"ADDRESS"`
	List          string   `env:"GOOSEBERRYPASS_LIST" help:"URL of the platform's list, to ask every entry in it." placeholder:"URL"`
	Output        string   `default:"table" enum:"json,table" help:"Output format: table or json."`
	SharedKeyFile string   `env:"GOOSEBERRYPASS_SHARED_KEY_FILE" help:"File that holds the shared key." type:"path"`
}

// An entryAnswer is the answer of one entry, or the error of its query.
type entryAnswer[T any] struct {
	address string
	answer  T
	err     error
}

// queryEntries queries all entries, up to maxConcurrentQueries at once. The answers are
// in the order of the addresses that the flags give, followed by those of the platform's
// list.
func queryEntries[T any](
	ctx context.Context,
	f entriesFlags,
	query func(ctx context.Context, entry wire.Entry) (T, error),
) ([]entryAnswer[T], error) {
	addresses, client, err := f.addresses(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]entryAnswer[T], len(addresses))
	workers := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			workers <- struct{}{}
			defer func() { <-workers }()
			ctx, cancel := context.WithTimeout(ctx, entryTimeout)
			defer cancel()
			answer, err := query(ctx, wire.NewEntryProtobufClient("http://"+address, client))
			answers[i] = entryAnswer[T]{address: address, answer: answer, err: err}
		})
	}
	wg.Wait()
	return answers, nil
}

// addresses returns the addresses of the entries and a client to connect to them.
func (f entriesFlags) addresses(ctx context.Context) ([]string, *http.Client, error) {
	key, err := authenticator.ReadKey(f.SharedKeyFile, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	d, err := dialer.New(key, prometheus.NewRegistry())
	if err != nil {
		return nil, nil, err
	}
	addresses := f.Entry
	if f.List != "" {
		listed, err := f.listed(ctx, d)
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, listed...)
	}
	if len(addresses) == 0 {
		return nil, nil, &ExitError{Err: errNoEntries, Status: ExitBadUsage}
	}
	return addresses, d.Client(dialer.ClassControl), nil
}

// listed returns the addresses of the entries in the platform's list.
func (f entriesFlags) listed(ctx context.Context, d *dialer.Dialer) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	listing, err := connector.NewInstanceList(d.Client(dialer.ClassPlatform), f.List).List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's instance list")
	}
	var addresses []string
	for _, l := range listing.Instances {
		if l.Role == gooseberrypass.RoleEntry {
			addresses = append(addresses, l.Address)
		}
	}
	return addresses, nil
}
