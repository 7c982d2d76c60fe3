package gooseberrypass_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

// The priority of the route decided nothing, and that of the account replaced it.
func TestRankFollowsAccountThenRoute(t *testing.T) {
	target := []gooseberrypass.RouteTarget{{Service: "s", Weight: 1}}
	routes := []gooseberrypass.Route{
		{Name: "chat", Priority: 0, Targets: target},
		{Name: "bulk", Priority: 2, Targets: target},
		{Name: "page", Priority: 1, Targets: []gooseberrypass.RouteTarget{{Service: "plain", Weight: 1}}},
	}
	accounts := map[string]gooseberrypass.AccountSpec{"a": {Priority: 0}, "b": {Priority: 1}, "c": {Priority: -1}}
	d := gooseberrypass.NewDeployment(1, routes, nil, accounts, gooseberrypass.CallerLimits{})
	for i, tt := range []struct{ account, route, want int }{{0, 0, 0}, {-1, 0, 0}, {0, 1, 1}, {1, 0, 2}, {1, 1, 3}, {-1, 1, 4}} {
		got, ranks := d.Rank("s", &routes[tt.route], tt.account)
		if got != tt.want || ranks != 5 {
			t.Errorf("case %d: got rank %d of %d, want %d of 5", i, got, ranks, tt.want)
		}
	}
	if !d.PrioritiesDiffer("s") || d.PrioritiesDiffer("plain") || d.PrioritiesDiffer("none") {
		t.Error("want different priorities for s alone")
	}
}
