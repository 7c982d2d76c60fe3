package gooseberrypass_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The pattern that CI skips by reaches exactly the listed tests: a listed subtest is
// skipped and its siblings run.
func TestKnownRedSubtestIsSkippedAlone(t *testing.T) {
	list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	entries := "test: TestKnownRedSample/answer_lost\ncommand: go test .\n\ntest: TestKnownRedSample/seed=1.5\n"
	if err := os.WriteFile(list, []byte(entries), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.CommandContext(t.Context(), ".ci/skip-pattern", list).Output()
	if err != nil {
		t.Fatal(err)
	}
	pattern := strings.TrimSpace(string(out))
	if got, want := pattern, `^TestKnownRedSample$/^answer_lost$|^TestKnownRedSample$/^seed=1\.5$`; got != want {
		t.Fatalf("got pattern %q, want %q", got, want)
	}
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	out, err = exec.CommandContext(t.Context(), binary, "-test.run", "^TestKnownRedSample$", "-test.v", "-test.skip", pattern).Output()
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]bool{"answer_lost": false, "answer_lost_twice": true, "seed=1.5": false, "seed=115": true} {
		if got := strings.Contains(string(out), "RUN   TestKnownRedSample/"+name+"\n"); got != want {
			t.Errorf("subtest %s ran: got %t, want %t", name, got, want)
		}
	}
}

// TestKnownRedSample has the subtests that TestKnownRedSubtestIsSkippedAlone lists.
func TestKnownRedSample(t *testing.T) {
	for _, name := range []string{"answer_lost", "answer_lost_twice", "seed=1.5", "seed=115"} {
		t.Run(name, func(*testing.T) {})
	}
}

func TestEmptyKnownRedSkipsNothing(t *testing.T) {
	list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(list, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.CommandContext(t.Context(), ".ci/skip-pattern", list).Output()
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.TrimSpace(string(out)); got != "" {
		t.Errorf("got pattern %q, want none", got)
	}
}
