package runner_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// templateFields returns sample values of the fields that the platform fills into
// the templates.
func templateFields() map[string]string {
	return map[string]string{
		"Bounds.GraceS": "8", "Bounds.RetryRatio": "0.2", "Bounds.RetrySlack": "100", "Bounds.RetryWindowS": "10",
		"Bounds.StableWindowMs": "3000", "Bounds.version_ms": "8000", "HeartbeatMs": "1200", "InternalPorts.0": "7700", "Ip": "10.1.0.40",
		"Limits.LinkMbps": "7.3", "Limits.MaxFds": "4100", "Limits.MemoryMb": "284", "Listen.Frontend": "10.1.0.40:8005", "Listen.Ready": "10.1.0.40:8002",
		"NodeName": "edge-a-1", "Platform.Address": "10.200.1.7:8007", "Region": "centro", "Service": "s", "Zone": "centro-a",
		"app": "10.1.0.41:8001",
	}
}

// render returns a template of the deploy folder filled with fields.
func render(t *testing.T, name string, fields map[string]string) []byte {
	t.Helper()
	body, err := os.ReadFile("../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(body), "{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}", "centro-a=centro,norte-a=norte")
	text = regexp.MustCompile(`{{#([^}]*)}}([^\n]*){{/[^}]*}}`).ReplaceAllStringFunc(text, func(section string) string {
		name, content, _ := strings.Cut(strings.TrimPrefix(section, "{{#"), "}}")
		if _, ok := fields[name]; !ok {
			return ""
		}
		return strings.TrimSuffix(content, "{{/"+name+"}}")
	})
	return []byte(regexp.MustCompile(`{{[^}]*}}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		return fields[strings.Trim(placeholder, "{}")]
	}))
}

func TestTemplatesMakeValidSettings(t *testing.T) {
	for name, role := range map[string]gooseberrypass.Role{"gateway.ini": gooseberrypass.RoleEntry, "sidecar.ini": gooseberrypass.RoleAgent} {
		if _, err := runner.ParseMachineSettings(name, role, render(t, name, templateFields())); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A platform whose bounds lack the rule of cold endpoints renders no settings of it.
func TestTemplateHasTheRuleOfColdEndpointsOnlyWhereItExists(t *testing.T) {
	fields := templateFields()
	if got := string(render(t, "gateway.ini", fields)); strings.Contains(got, "cold-") {
		t.Errorf("without the bounds: got %q, want no setting of cold endpoints", got)
	}
	fields["Bounds.ColdOvershoot"], fields["Bounds.ColdSlack"] = "1.5", "0"
	body := render(t, "gateway.ini", fields)
	if got := string(body); !strings.Contains(got, "\ncold-overshoot = 1.5\ncold-slack = 0\n") {
		t.Errorf("with the bounds: got %q, want both settings", got)
	}
	if _, err := runner.ParseMachineSettings("gateway.ini", gooseberrypass.RoleEntry, body); err != nil {
		t.Error(err)
	}
}

func TestTemplateWithMissingFieldIsRejected(t *testing.T) {
	for field := range templateFields() {
		for name, role := range map[string]gooseberrypass.Role{"gateway.ini": gooseberrypass.RoleEntry, "sidecar.ini": gooseberrypass.RoleAgent} {
			body, err := os.ReadFile("../deploy/" + name)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(body), "{{"+field+"}}") {
				continue
			}
			without := templateFields()
			delete(without, field)
			_, err = runner.ParseMachineSettings(name, role, render(t, name, without))
			var findings *runner.FindingsError
			if !errors.As(err, &findings) || findings.Findings[0].Line == 0 || findings.Findings[0].Key == "" {
				t.Errorf("%s without %s: got %v, want a finding with its place", name, field, err)
			}
		}
	}
}
