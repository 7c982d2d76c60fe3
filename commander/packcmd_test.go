package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/commander"
)

func TestPack(t *testing.T) {
	weights := filepath.Join(t.TempDir(), "weights")
	if err := os.WriteFile(weights, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		args   []string
		status int
		want   string // in the output or among the errors
	}{
		{"whole", []string{weights, "--chunk-size=4"}, commander.ExitOK, "3 chunks, 10 bytes"},
		{"bad base", []string{weights, "--base=x"}, commander.ExitFailed, "--base: \"x\": not a digest"},
		{"bad chunk size", []string{weights, "--chunk-size=-1"}, commander.ExitFailed, "--chunk-size: -1 bytes"},
		{"no weights", []string{weights + "x"}, commander.ExitBadUsage, "no such file"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			args := append([]string{"pack", "--model=m", "--model-version=1"}, tt.args...)
			if got := commander.Main(args, strings.NewReader(""), &out, &errs); got != tt.status {
				t.Errorf("got status %d, want %d", got, tt.status)
			}
			if got := out.String() + errs.String(); !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want it to contain %q", got, tt.want)
			}
		})
	}
	encoded, err := os.ReadFile(weights + ".manifest")
	if err != nil {
		t.Fatal(err)
	}
	m, err := gooseberrypass.ParseManifest(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := m.Chunk(2).Digest, gooseberrypass.DigestOf([]byte("89")); got != want {
		t.Errorf("got last chunk %s, want %s", got, want)
	}
}
