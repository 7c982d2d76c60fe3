package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// maxStatusPage bounds a status page, in bytes.
const maxStatusPage = 64 << 20

// A machinesStatus is the status of the endpoints as entries on prepared machines know
// them.
type machinesStatus struct {
	Entries     []machineStatus `json:"entries"`
	Unreachable []entryStatus   `json:"unreachable"`
}

// A machineStatus is the status page of one entry.
type machineStatus struct {
	Address string `json:"address"`
	runner.StatusPage
}

// runMachines reads the status pages of the entries on prepared machines and prints them.
func (c *statusCmd) runMachines(ctx context.Context, std streams) error {
	s := readStatusPages(ctx, c.Machine)
	write := s.writeTable
	if c.Output == outputJSON {
		write = func(w io.Writer) error { return writeJSON(w, s) }
	}
	if err := write(std.stdout); err != nil {
		return err
	}
	return unreachableError(len(s.Unreachable), len(c.Machine))
}

// readStatusPages reads the status pages at addresses, up to maxConcurrentQueries at once.
func readStatusPages(ctx context.Context, addresses []string) machinesStatus {
	pages := make([]runner.StatusPage, len(addresses))
	errs := make([]error, len(addresses))
	workers := make(chan struct{}, maxConcurrentQueries)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			workers <- struct{}{}
			defer func() { <-workers }()
			pages[i], errs[i] = readStatusPage(ctx, client, address)
		})
	}
	wg.Wait()
	s := machinesStatus{Entries: []machineStatus{}, Unreachable: []entryStatus{}}
	for i, address := range addresses {
		if errs[i] != nil {
			s.Unreachable = append(s.Unreachable, entryStatus{Address: address, Error: errs[i].Error()})
			continue
		}
		s.Entries = append(s.Entries, machineStatus{Address: address, StatusPage: pages[i]})
	}
	return s
}

func readStatusPage(ctx context.Context, client *http.Client, address string) (runner.StatusPage, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var page runner.StatusPage
	page.Endpoints = []balancer.EndpointOverview{}
	u := url.URL{Scheme: "http", Host: address, Path: runner.StatusPath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return page, errors.Wrap(err, "create status request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return page, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return page, errors.New("no status page there; name the metrics address of an entry of this version or a later one")
	}
	if resp.StatusCode != http.StatusOK {
		return page, errors.Errorf("status page answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusPage)).Decode(&page); err != nil {
		return page, errors.Wrap(err, "decode status page")
	}
	if page.Instance == "" {
		return page, errors.New("the answer is no status page: it names no instance")
	}
	return page, nil
}

func (s machinesStatus) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ENTRY\tADDRESS\tREGION\tCONFIG\tENDPOINTS")
	for _, e := range s.Entries {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n", e.Instance, e.Address, e.Region, e.Config, len(e.Endpoints))
	}
	for _, e := range s.Unreachable {
		_, _ = fmt.Fprintf(t, "?\t%s\tno answer: %s\n", e.Address, e.Error)
	}
	for _, e := range s.Entries {
		_, _ = fmt.Fprintf(t, "\nENTRY %s\n", e.Instance)
		_, _ = fmt.Fprintln(t, "ENDPOINT\tSERVICE\tDOMAIN\tADDRESS\tSTATE\tREQUESTS\tOWN\tUNREAD\tVERSIONS\tADVISORY")
		for _, o := range e.Endpoints {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%s\t%s\n",
				o.ID, o.Service, o.FailureDomain, o.Address, o.State, o.Requests, o.Slots, o.OwnRequests, o.UnreadTokens, formatVersions(o.Models), formatAdvisory(o))
		}
	}
	return errors.Wrap(t.Flush(), "print the status")
}

// formatVersions returns the loaded versions as "MODEL@VERSION", "-" for none.
func formatVersions(models map[string]int) string {
	versions := make([]string, 0, len(models))
	for _, model := range slices.Sorted(maps.Keys(models)) {
		versions = append(versions, model+"@"+strconv.Itoa(models[model]))
	}
	return orDash(strings.Join(versions, ","))
}

// formatAdvisory returns what an endpoint says about the requests that it wants, "-" for
// nothing.
func formatAdvisory(o balancer.EndpointOverview) string {
	var parts []string
	if o.SaysLeaving {
		parts = append(parts, "leaving")
	}
	if o.Limit != nil {
		limit := fmt.Sprintf("limit %.3g/s", *o.Limit)
		if o.Share != nil {
			limit += fmt.Sprintf(" (here %.3g/s)", *o.Share)
		}
		parts = append(parts, limit)
	}
	if o.ColdMillis > 0 {
		cold := fmt.Sprintf("cold %s left", time.Duration(o.ColdMillis)*time.Millisecond)
		if o.ColdShare != nil {
			cold += fmt.Sprintf(" (here %.3g/s)", *o.ColdShare)
		}
		parts = append(parts, cold)
	}
	if o.PauseMillis > 0 {
		parts = append(parts, fmt.Sprintf("pause %s left", time.Duration(o.PauseMillis)*time.Millisecond))
	}
	return orDash(strings.Join(parts, "; "))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
