package checker_test

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

const page = "../docs/CONFIGURATION.md"

const pageHead = `# Configuration

The sections and keys of the operators' folder. This page is written from the
table that checks the folder: ` + "`go test ./checker -run Page -update`" + `.

Files are read in the order of their names and merged key by key; the later file
wins. A title's NAME may be a name of any of the three schemes, and so may every
reference; sections that share a name are one. An empty value leaves a key unset.
`

func TestPageMatchesTable(t *testing.T) {
	var want bytes.Buffer
	want.WriteString(pageHead)
	if err := checker.FolderTable().WriteMarkdown(&want); err != nil {
		t.Fatal(err)
	}
	if f := flag.Lookup("update"); f != nil && f.Value.String() == "true" {
		if err := os.WriteFile(page, want.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil || !bytes.Equal(got, want.Bytes()) {
		t.Errorf("%s differs from the table (%v): run go test ./checker -run Page -update", page, err)
	}
}

func TestMain(m *testing.M) {
	flag.Bool("update", false, "write "+page)
	os.Exit(m.Run())
}

func TestDefaultsAreValid(t *testing.T) {
	for _, s := range checker.FolderTable().Sections() {
		for _, k := range s.Keys {
			if k.Doc == "" || !strings.HasSuffix(k.Doc, ".") {
				t.Errorf("[%s] %s: got doc %q, want a sentence", s.Kind, k.Name, k.Doc)
			}
			if k.Default == "" {
				continue
			}
			if _, err := k.Type.Parse(k.Default); err != nil {
				t.Errorf("[%s] %s: default %q: %v", s.Kind, k.Name, k.Default, err)
			}
		}
	}
}

const goodFolder = `[model jingle-writer]
inventory-name = MDL-0042
path-name = /fonoteca/scripts/jingle-writer
pool = scripts
version = v1
`

func TestFindings(t *testing.T) {
	const named = "[model x]\npool = p\nversion = v\n"
	for name, test := range map[string]struct {
		files map[string]string
		want  []string
	}{
		"good":         {map[string]string{"a.ini": goodFolder}, nil},
		"empty folder": {nil, []string{"folder:0: the folder holds no files"}},
		"order of files and lines": {
			map[string]string{"b.ini": "[modell x]\n", "a.ini": "[system]\nqueue-limit = 0\nbulkrate = 1MB\n"},
			[]string{
				"a.ini:2: [system] queue-limit: bad value \"0\": want whole number from 1 to 65536",
				`a.ini:3: [system] bulkrate: [system] has no such key; did you mean "bulk-rate"?`,
				`b.ini:1: [modell x] no section is called "modell"; did you mean "model"?`,
			},
		},
		"bad values": {
			map[string]string{"a.ini": named + "deadline = 5\nfenced = perhaps\nmanifest = sha256:12\n", "b.ini": "[system]\nchunk-memory = 3XB\nmax-unavailable = NaN\n"},
			[]string{
				`a.ini:4: [model x] deadline: bad value "5": want duration from 1ms to 1h, as 1m30s`,
				`a.ini:5: [model x] fenced: bad value "perhaps": want yes or no`,
				`a.ini:6: [model x] manifest: bad value "sha256:12": want digest, as sha256: and 64 hexadecimal digits`,
				`b.ini:2: [system] chunk-memory: bad value "3XB": want size from 1MiB to 1TiB, as 512KiB or 20MB`,
				`b.ini:3: [system] max-unavailable: bad value "NaN": want number from 0 to 1`,
			},
		},
		"overridden faults": {
			map[string]string{"a.ini": "[system]\nqueue-limit = x\n", "b.ini": "[system]\nqueue-limit = 3\n"},
			[]string{`a.ini:2: [system] queue-limit: bad value "x": want whole number from 1 to 65536`},
		},
		"missing and empty": {
			map[string]string{"a.ini": "[model x]\nversion =\n"},
			[]string{
				"a.ini:1: [model x] pool: the key is missing: want word",
				"a.ini:2: [model x] version: the value is empty: want word",
			},
		},
		"names that collide": {
			map[string]string{"a.ini": goodFolder, "b.ini": strings.Replace(named, "x", "MDL-0043", 1) + "path-name = /fonoteca/scripts/jingle-writer\n"},
			[]string{`b.ini:1: [model MDL-0043] names collide: "MDL-0043" and "MDL-0042" (a.ini:2, [model jingle-writer]) are inventory names of one model, as their sections share a name`},
		},
		"one key twice under two names": {
			map[string]string{"a.ini": goodFolder + "[model MDL-0042]\npool = scripts\n"},
			[]string{"a.ini:7: [model MDL-0042] pool: the key stands in line 4 already, under [model jingle-writer]"},
		},
		"titles": {
			map[string]string{"a.ini": "[model]\npool = p\nversion = v\n[system x]\n[instance not/a/name]\n"},
			[]string{
				"a.ini:1: [model] the title lacks a name: want [model NAME]",
				"a.ini:4: [system x] the title has a name: want [system]",
				`a.ini:5: [instance not/a/name] the name "not/a/name" fits no naming scheme: want lower-case words joined by hyphens, as jingle-writer, or capital letters, a hyphen and a number, as MDL-0042, or a path from the root, as /fonoteca/scripts/jingle-writer`,
			},
		},
		"references": {
			map[string]string{"a.ini": goodFolder, "b.ini": "[objective fast]\ntarget = MDL-0024\nclient-account = MDL-0042\n[service jingle-writer]\npool = p\n[objective slow]\ntarget = jingle-writer\n"},
			[]string{
				`b.ini:2: [objective fast] target: no section has the name "MDL-0024": want name of a model or service; did you mean "MDL-0042"?`,
				`b.ini:3: [objective fast] client-account: no section has the name "MDL-0042": want name of a client-account`,
				`b.ini:7: [objective slow] target: "jingle-writer" names a model and a service`,
			},
		},
		"adapters and calls": {
			map[string]string{"a.ini": goodFolder + "[model a]\nbase = MDL-0042\npool = other\nversion = v\n[model b]\nbase = a\npool = other\nversion = v\n[model c]\nbase = c\npool = p\nversion = v\n[service s]\npool = p\nrepeatable-calls = get, list\nunrepeatable-calls = list\n"},
			[]string{
				`a.ini:8: [model a] pool: an adapter needs the pool of its base, "scripts"`,
				`a.ini:11: [model b] base: "a" is an adapter itself`,
				"a.ini:15: [model c] base: a model cannot be its own base",
				`a.ini:21: [service s] unrepeatable-calls: "list" is in repeatable-calls too`,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			check := checker.Build(parser.NewFolder("folder", test.files), 1)
			got := make([]string, 0, len(check.Findings()))
			for _, f := range check.Findings() {
				got = append(got, f.String())
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
		})
	}
}

// A model must be found by its name in any naming scheme: from a caller's request,
// from a reference in another section, and from an override in a later file.
func TestAnyNameResolvesToSameModel(t *testing.T) {
	for _, name := range []gooseberrypass.Name{"jingle-writer", "MDL-0042", "/fonoteca/scripts/jingle-writer"} {
		check := checker.Build(parser.NewFolder("folder", map[string]string{
			"a.ini": goodFolder,
			"b.ini": "[model " + string(name) + "]\ndeadline = 5s\n[objective o]\ntarget = " + string(name) + "\n",
		}), 7)
		config := check.Config()
		if len(check.Findings()) > 0 || config.Offset() != 7 {
			t.Fatalf("%s: got %v at %d", name, check.Findings(), config.Offset())
		}
		id, ok := config.Resolve(gooseberrypass.KindModel, name)
		model, found := config.Model(id)
		if !ok || !found || id != "jingle-writer" || len(config.Models()) != 1 || len(model.Names()) != 3 {
			t.Errorf("%s: got %q, %t, models %v", name, id, ok, config.Models())
		}
		if got := model.Deadline(); got != 5*time.Second {
			t.Errorf("%s: got deadline %s, want 5s", name, got)
		}
		if got := config.Objectives()[0].Target(); got != id {
			t.Errorf("%s: got target %q, want %q", name, got, id)
		}
		if got := model.OriginName(); got != "jingle-writer" {
			t.Errorf("got origin name %q", got)
		}
	}
}

// Unknown sections, keys and values must not fail the build, as a newer release may
// have accepted them.
func TestBuildIgnoresUnknownSettings(t *testing.T) {
	check := checker.Build(parser.NewFolder("folder", map[string]string{
		"a.ini": goodFolder + "shadow-of = x\npriority = 99\n[pool scripts]\nsize = 3\n[system]\nqueue-limit = 5\n",
	}), 1)
	model, ok := check.Config().Model("jingle-writer")
	if !ok || model.Version() != "v1" || model.Priority() != gooseberrypass.DefaultPriority {
		t.Errorf("got %+v, %t", model, ok)
	}
	if got, want := check.Ignored(), 3; got != want {
		t.Errorf("got %d ignored, want %d", got, want)
	}
	if got := check.Config().System().QueueLimit(); got != 5 {
		t.Errorf("got queue limit %d, want 5", got)
	}
	if got, want := check.Config().System().MaxUnavailable(), 0.25; got != want {
		t.Errorf("got max unavailable %g, want %g", got, want)
	}
}

func TestSettings(t *testing.T) {
	table := checker.NewTable(checker.SectionSpec{Kind: "entry", Keys: []checker.Key{
		{Name: "listen", Type: checker.Address(), Required: true},
		{Name: "log", Type: checker.URL(), Default: "http://127.0.0.1:1"},
	}})
	file, _ := parser.Parse("entry.ini", []byte("[entry]\nlisten = 10.0.0.1:7000\n"))
	settings, findings := table.Read(file)
	if got := checker.Get[netip.AddrPort](settings, "entry", "listen"); got.Port() != 7000 || len(findings) > 0 {
		t.Errorf("got %v, %v", got, findings)
	}
	if got := checker.Get[string](settings, "entry", "log"); got != "http://127.0.0.1:1" {
		t.Errorf("got log %q", got)
	}
	file, _ = parser.Parse("entry.ini", []byte("[entry]\nlisten = host:7000\nlog = 10.0.0.1:7100\n[entri]\n"))
	_, findings = table.Read(file)
	want := []string{
		`entry.ini:2: [entry] listen: bad value "host:7000": want IP number and port, as 10.0.0.1:7000`,
		`entry.ini:3: [entry] log: bad value "10.0.0.1:7100": want URL, as http://10.0.0.1:7100`,
		`entry.ini:4: [entri] no section is called "entri"; did you mean "entry"?`,
	}
	for i, f := range findings {
		if i >= len(want) || f.String() != want[i] {
			t.Errorf("got %q, want %q", f, want)
		}
	}
	if len(findings) != len(want) {
		t.Errorf("got %d findings, want %d", len(findings), len(want))
	}
}
