package runner_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

const validSettings = `[process]
instance = agent-1
region = centro
failure-domain = centro-a
listen = 127.0.0.1:7101
shared-key-file = key

[platform]
log = http://127.0.0.1:7001
instance-list = http://127.0.0.1:7002
origin = http://127.0.0.1:7003

[agent]
pool = writers
engine = http://127.0.0.1:7200
`

func noEnv(string) string { return "" }

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadSettings(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "key", "secret\n")
	s, err := runner.ReadSettings(writeFile(t, dir, "agent.ini", validSettings), gooseberrypass.RoleAgent, noEnv)
	if err != nil {
		t.Fatal(err)
	}
	want := gooseberrypass.ListedInstance{
		Address: "127.0.0.1:7101", FailureDomain: "centro-a", ID: "agent-1", Pool: "writers",
		Region: "centro", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
	}
	if got := s.Self(); got != want {
		t.Errorf("got self %+v, want %+v", got, want)
	}
	if s.SharedKey().IsZero() {
		t.Error("got no shared key, want the one of the file")
	}
}

func TestReadSettingsReportsAllFindings(t *testing.T) {
	text := strings.NewReplacer(
		"listen = 127.0.0.1:7101", "listen = localhost",
		"region = centro", "regin = centro",
		"origin = http://127.0.0.1:7003", "",
		"pool = writers", "pool = writers\nservice = http://127.0.0.1:7300",
	).Replace(validSettings)
	path := writeFile(t, t.TempDir(), "agent.ini", text)
	_, err := runner.ReadSettings(path, gooseberrypass.RoleAgent, noEnv)
	var findings *runner.FindingsError
	if !errors.As(err, &findings) {
		t.Fatalf("got error %v, want findings", err)
	}
	for _, want := range []string{
		"[process] listen: ", "[process] regin: ", "[process] region: ",
		"[platform] origin: ", "[agent] set one of engine and service",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got findings\n%v\nwant one with %q", err, want)
		}
	}
}
