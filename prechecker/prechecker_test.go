package prechecker_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/prechecker"
)

func entry(section gooseberrypass.DraftSection, index int, name string) gooseberrypass.DraftEntry {
	return gooseberrypass.DraftEntry{
		Place:  gooseberrypass.DraftPlace{Index: index, Name: name, Section: section},
		Values: map[gooseberrypass.DraftField]string{gooseberrypass.FieldMode: "given"},
	}
}

// soundDraft returns a draft without findings: routes 0 and 1, services 0 and 1, accounts 0 and 1.
func soundDraft() *gooseberrypass.Draft {
	d := &gooseberrypass.Draft{Version: 2}
	for i, name := range []string{"a", "b"} {
		route := gooseberrypass.Route{
			Host: "h", MaxAttempts: 1, Objective: time.Second, Prefix: "/" + name + "/", Timeout: time.Second,
			Targets: []gooseberrypass.RouteTarget{{Service: gooseberrypass.ID(name), Weight: 1}},
		}
		d.Routes = append(d.Routes, gooseberrypass.DraftRoute{Direct: true, DraftEntry: entry(gooseberrypass.DraftRoutes, i, name), Route: route})
		d.Services = append(d.Services, gooseberrypass.DraftService{DraftEntry: entry(gooseberrypass.DraftServices, i, name), Spec: gooseberrypass.ServiceSpec{ID: gooseberrypass.ID(name)}})
		d.Accounts = append(d.Accounts, gooseberrypass.DraftAccount{DraftEntry: entry(gooseberrypass.DraftAccounts, i, name), Keys: []string{"secret-" + name}})
	}
	return d
}

// texts returns the kind, section, index and field of each finding. It fails if one has a key.
func texts(t *testing.T, findings []gooseberrypass.DraftFinding) []string {
	t.Helper()
	all := make([]string, 0, len(findings))
	for _, f := range findings {
		if text := fmt.Sprintf("%+v", f); strings.Contains(text, "secret") {
			t.Errorf("got %s, want no account key in a finding", text)
		}
		all = append(all, strings.Trim(fmt.Sprintf("%s %s %d %s", f.Kind, f.Place.Section, f.Place.Index, f.Place.Field), " "))
	}
	return all
}

// Guards against a fault of a configuration that is not found, or is given another place.
func TestCheckFindsEachFault(t *testing.T) {
	for name, test := range map[string]struct {
		spoil func(d *gooseberrypass.Draft)
		want  []string
	}{
		"none":                     {func(*gooseberrypass.Draft) {}, []string{}},
		"equal host and prefix":    {func(d *gooseberrypass.Draft) { d.Routes[1].Route.Prefix = "/a/" }, []string{"unused routes 1 prefix"}},
		"other host, same prefix":  {func(d *gooseberrypass.Draft) { d.Routes[1].Route.Prefix, d.Routes[1].Route.Host = "/a/", "g" }, []string{}},
		"no host":                  {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Host = "" }, []string{"unused routes 0 host"}},
		"prefix without slash":     {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Prefix = "/a" }, []string{"error routes 0 prefix"}},
		"service that nobody uses": {func(d *gooseberrypass.Draft) { d.Routes[1].Route.Targets[0].Service = "a" }, []string{"unused services 1"}},
		"weights origin": {func(d *gooseberrypass.Draft) {
			d.Routes[1].Route.Targets[0].Service, d.Services[1].Spec.Origin = "a", "o"
		}, []string{}},
		"unknown service":          {func(d *gooseberrypass.Draft) { d.Services = d.Services[:1] }, []string{"error routes 1 service"}},
		"no target":                {func(d *gooseberrypass.Draft) { d.Routes[1].Route.Targets = nil }, []string{"error routes 1 service", "unused services 1"}},
		"account without keys":     {func(d *gooseberrypass.Draft) { d.Accounts[1].Keys = nil }, []string{"unused accounts 1 account keys"}},
		"empty key":                {func(d *gooseberrypass.Draft) { d.Accounts[1].Keys = []string{"secret", ""} }, []string{"unused accounts 1 account keys"}},
		"key of two accounts":      {func(d *gooseberrypass.Draft) { d.Accounts[1].Keys = d.Accounts[0].Keys }, []string{"error accounts 1 account keys"}},
		"no account left":          {func(d *gooseberrypass.Draft) { d.Accounts = d.Accounts[:0] }, []string{"warning accounts -1"}},
		"no accounts":              {func(d *gooseberrypass.Draft) { d.Accounts = nil }, []string{}},
		"timeout below objective":  {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Timeout-- }, []string{"conflict routes 0 timeout"}},
		"no timeout":               {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Timeout = 0 }, []string{}},
		"attempts on unsafe route": {func(d *gooseberrypass.Draft) { d.Routes[0].Route.MaxAttempts = 2 }, []string{"conflict routes 0 attempts"}},
		"attempts on stream": {func(d *gooseberrypass.Draft) {
			d.Routes[0].Route.MaxAttempts, d.Routes[0].Route.Mode = 2, gooseberrypass.RouteStream
		}, []string{"conflict routes 0 attempts"}},
		"attempts on safe route": {func(d *gooseberrypass.Draft) {
			d.Routes[0].Route.MaxAttempts, d.Routes[0].Route.Mode = 2, gooseberrypass.RouteIdempotent
		}, []string{}},
		"region of no domain":        {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Regions = []gooseberrypass.Region{"r3"} }, []string{"conflict routes 0 regions"}},
		"region of a domain":         {func(d *gooseberrypass.Draft) { d.Routes[0].Route.Regions = []gooseberrypass.Region{"r3", "r1"} }, []string{}},
		"region of no account":       {func(d *gooseberrypass.Draft) { split(d, false) }, []string{"conflict routes 0 regions"}},
		"public route, same regions": {func(d *gooseberrypass.Draft) { split(d, true) }, []string{}},
		"two entries of one name":    {func(d *gooseberrypass.Draft) { d.Accounts[1].Place.Name = "a" }, []string{"error accounts 1 name"}},
		"section left out":           {func(d *gooseberrypass.Draft) { d.Services, d.Faulty = nil, true }, []string{}},
	} {
		d := soundDraft()
		test.spoil(d)
		got := texts(t, prechecker.Check(d, map[gooseberrypass.FailureDomain]gooseberrypass.Region{"z": "r1", "y": "r2"}))
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", name, got, test.want)
		}
	}
}

// split restricts the accounts to one region and route 0 to another.
func split(d *gooseberrypass.Draft, public bool) {
	d.Routes[0].Route.Public = public
	d.Routes[0].Route.Regions = []gooseberrypass.Region{"r1"}
	for i := range d.Accounts {
		d.Accounts[i].Spec.Regions = []gooseberrypass.Region{"r2"}
	}
}

// Guards against a change that the comparison omits, and against one that shows a key.
func TestCompareFindsEachDifference(t *testing.T) {
	d := soundDraft()
	d.Version = 3
	d.Routes[0].Values = map[gooseberrypass.DraftField]string{gooseberrypass.FieldObjective: "5"}
	d.Services[1].Place.Name = "c"
	d.Accounts[1].Keys = []string{"secret-c"}
	want := []string{
		"difference  -1 version",
		"difference accounts 1 account keys", "difference accounts 1 account keys",
		"difference routes 0 mode", "difference routes 0 objective",
		"difference services 1", "difference services 1",
	}
	if got := texts(t, prechecker.Compare(d, soundDraft())); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := texts(t, prechecker.Compare(soundDraft(), soundDraft())), []string{"error  -1 version"}; !slices.Equal(got, want) {
		t.Errorf("same version: got %q, want %q", got, want)
	}
}

// Guards against entries that are reported as removed or added although a fault of their section
// keeps them from being read.
func TestCompareLeavesOutSectionsThatWereNotRead(t *testing.T) {
	d, faulty := soundDraft(), soundDraft()
	d.Version = 3
	faulty.Routes, faulty.Faulty = nil, true
	if got, want := texts(t, prechecker.Compare(d, faulty)), []string{"difference  -1 version"}; !slices.Equal(got, want) {
		t.Errorf("version in force: got %q, want %q", got, want)
	}
	faulty.Version, d.Version = 3, 2
	if got, want := texts(t, prechecker.Compare(faulty, d)), []string{"difference  -1 version"}; !slices.Equal(got, want) {
		t.Errorf("draft: got %q, want %q", got, want)
	}
}
