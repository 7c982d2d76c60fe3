package roller_test

import (
	"slices"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/roller"
)

func TestPeersAreThoseThatAllowedCounts(t *testing.T) {
	agent := func(id gooseberrypass.ID, domain gooseberrypass.FailureDomain, pool gooseberrypass.Pool) gooseberrypass.ListedInstance {
		return gooseberrypass.ListedInstance{FailureDomain: domain, ID: id, Pool: pool, Role: gooseberrypass.RoleAgent}
	}
	listed := []gooseberrypass.ListedInstance{
		agent("a1", "a", "writers"), agent("a2", "a", "writers"), agent("b1", "b", "writers"),
		agent("c1", "c", "writers"), agent("a3", "a", "licensing"),
		{FailureDomain: "a", ID: "e1", Role: gooseberrypass.RoleEntry},
	}
	listedPool := func(l gooseberrypass.ListedInstance) gooseberrypass.Pool { return l.Pool }
	tests := []struct {
		name string
		self int
		pool func(gooseberrypass.ListedInstance) gooseberrypass.Pool
		want []gooseberrypass.ID
	}{
		{name: "same failure domain", self: 0, pool: listedPool, want: []gooseberrypass.ID{"a2"}},
		{name: "alone in its failure domain", self: 2, pool: listedPool, want: []gooseberrypass.ID{"c1"}},
		{name: "pool of the folder", self: 0, pool: func(l gooseberrypass.ListedInstance) gooseberrypass.Pool {
			if l.ID == "a3" {
				return "writers"
			}
			return l.Pool
		}, want: []gooseberrypass.ID{"a2", "a3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := roller.Peers(listed[tt.self], listed, tt.pool); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
