package replicator_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

// manyRoutes returns a configuration of n routes in the operator's format, with
// random names.
func manyRoutes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	routes := make([]map[string]any, 0, n)
	for range n {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%06x", rng.IntN(1<<24)), "host": fmt.Sprintf("h%02d.example", rng.IntN(30)), "prefix": fmt.Sprintf("/%08x/", rng.Uint32()),
			"service": fmt.Sprintf("s%d", rng.IntN(3)), "kind": "safe", "timeout": 600, "objective": 100, "attempts": 2, "priority": 2,
		})
	}
	body, err := json.Marshal(map[string]any{"routes": routes})
	if err != nil {
		panic(err)
	}
	return body
}

// Every process of a region receives every configuration, over links that weight
// transfers need.
func TestConfigurationOfManyRoutesIsHandedOverInASixthOfItsSize(t *testing.T) {
	p := newProcess("a", gooseberrypass.RoleEntry)
	body := manyRoutes(300)
	p.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{
		Next: 1, Records: []gooseberrypass.KeyedRecord{{Key: "config", Value: body}},
	}, Topic: gooseberrypass.TopicOperator})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.serve(t)+"/topics/operator?from=0", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(answer), len(body)/6; got > want {
		t.Errorf("response has %d bytes, want at most %d of %d", got, want, len(body))
	}
}
