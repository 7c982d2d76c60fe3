package balancer_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// Requests whose route or client account names regions ran at endpoints of other regions,
// since these had less load.
func TestRequestStaysInItsRegions(t *testing.T) {
	for name, tc := range map[string]struct {
		route, account []gooseberrypass.Region
		want           map[gooseberrypass.Region]bool
	}{
		"no restriction":    {nil, nil, map[gooseberrypass.Region]bool{"r0": true, "r1": true}},
		"route":             {[]gooseberrypass.Region{"r1"}, nil, map[gooseberrypass.Region]bool{"r1": true}},
		"account":           {nil, []gooseberrypass.Region{"r1", "r9"}, map[gooseberrypass.Region]bool{"r1": true}},
		"both":              {[]gooseberrypass.Region{"r0", "r1"}, []gooseberrypass.Region{"r0"}, map[gooseberrypass.Region]bool{"r0": true}},
		"nothing in common": {[]gooseberrypass.Region{"r0"}, []gooseberrypass.Region{"r1"}, map[gooseberrypass.Region]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4)
			var all gooseberrypass.RegionSet
			q := balancer.Query{Model: "m", Regions: all.Intersect(tc.route).Intersect(tc.account), Service: "s"}
			got := map[gooseberrypass.Region]bool{}
			for range 30 {
				ticket, err := f.balancer.Choose(q)
				if err != nil {
					break
				}
				got[gooseberrypass.Region(ticket.Endpoint().FailureDomain)] = true
			}
			for _, region := range []gooseberrypass.Region{"r0", "r1"} {
				if got[region] != tc.want[region] {
					t.Errorf("%s: got chosen %t, want %t", region, got[region], tc.want[region])
				}
			}
		})
	}
}
