package checker

import (
	"math"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/merger"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// Bounds of values in the table.
const (
	day             = 24 * time.Hour
	maxOriginBudget = 1000    // copies of a version
	maxRate         = 1e6     // requests per second
	maxQueue        = 1 << 16 // requests
	maxTokens       = 1 << 20 // tokens per answer
	sizeKiB         = 1 << 10 // bytes
	sizeMiB         = 1 << 20 // bytes
	sizeTiB         = 1 << 40 // bytes
	minDeadline     = time.Millisecond
	maxDeadline     = time.Hour
)

// Keys used outside of the table, by the builder and by several sections.
const (
	keyBase              = "base"
	keyOriginName        = "origin-name"
	keyPool              = "pool"
	keyRepeatableCalls   = "repeatable-calls"
	keyUnrepeatableCalls = "unrepeatable-calls"
)

// FolderTable returns the table of the sections and keys in an operator's folder.
func FolderTable() *Table {
	return NewTable(
		clientAccountSpec(),
		instanceSpec(),
		modelSpec(),
		objectiveSpec(),
		serviceSpec(),
		systemSpec(),
	)
}

// withNameKeys marks the sections of a kind as named and adds one key per naming
// scheme, by which a section declares its name in that scheme.
func withNameKeys(spec SectionSpec) SectionSpec {
	spec.Named = true
	for _, scheme := range resolver.Schemes() {
		spec.Keys = append(spec.Keys, Key{
			Doc:  "The " + string(scheme) + " name of the same thing.",
			Name: merger.NameKey(scheme),
			Type: Name(scheme),
		})
	}
	return spec
}

func priority() Type {
	return Int(int(gooseberrypass.MinPriority), int(gooseberrypass.MaxPriority))
}

func clientAccountSpec() SectionSpec {
	return withNameKeys(SectionSpec{
		Doc:  "A caller that the system knows.",
		Kind: gooseberrypass.KindClientAccount,
		Keys: []Key{
			{Name: "burst", Type: Int(1, maxQueue), Default: "20", Doc: "Requests that may come at once above the rate."},
			{Name: "key-digest", Type: Digest(), Doc: "Digest of the account's key; without one, the account needs no key."},
			{Name: "max-priority", Type: priority(), Default: "9", Doc: "Highest priority the account may ask for."},
			{Name: "rate", Type: Float(0, maxRate), Default: "0", Doc: "Requests a second the account may send; 0 is no limit."},
		},
	})
}

func instanceSpec() SectionSpec {
	return withNameKeys(SectionSpec{
		Doc:  "What overrides the platform's list for one instance.",
		Kind: gooseberrypass.KindInstance,
		Keys: []Key{
			{Name: "drain", Type: Bool(), Default: "no", Doc: "Whether the instance is to take no new work."},
			{Name: keyPool, Type: Word(), Doc: "Pool in place of the listed one."},
			{
				Name:    "role",
				Type:    Enum(string(gooseberrypass.EngineRoleDecode), string(gooseberrypass.EngineRoleMixed), string(gooseberrypass.EngineRolePrefill)),
				Default: string(gooseberrypass.EngineRoleMixed),
				Doc:     "Role that the instance's engine is to take.",
			},
		},
	})
}

func modelSpec() SectionSpec {
	return withNameKeys(SectionSpec{
		Doc:  "A model or adapter to be served.",
		Kind: gooseberrypass.KindModel,
		Keys: []Key{
			{Name: keyBase, Type: Reference(gooseberrypass.KindModel), Doc: "Base model, if this is an adapter."},
			{Name: "deadline", Type: Duration(minDeadline, maxDeadline), Default: "30s", Doc: "Time a request gets if its caller names none."},
			{Name: "fenced", Type: Bool(), Default: "no", Doc: "Whether the engines refuse orders with an old fence."},
			{Name: "manifest", Type: Digest(), Doc: "Digest of the version's manifest; `publish` writes it."},
			{Name: "max-tokens", Type: Int(1, maxTokens), Default: "1024", Doc: "Most tokens of one answer."},
			{Name: keyOriginName, Type: Word(), Doc: "Name of the model at the origin; the model's identity if not set."},
			{Name: keyPool, Type: Word(), Required: true, Doc: "Pool of instances that serve the model."},
			{Name: "priority", Type: priority(), Default: "4", Doc: "Priority of requests that name none."},
			{Name: "version", Type: Word(), Required: true, Doc: "Name of the version at the origin."},
		},
	})
}

func objectiveSpec() SectionSpec {
	return withNameKeys(SectionSpec{
		Doc:  "A service level to be kept for some requests; a selector that is not set admits all.",
		Kind: gooseberrypass.KindObjective,
		Keys: []Key{
			{Name: "client-account", Type: Reference(gooseberrypass.KindClientAccount), Doc: "Selects the requests of one account."},
			{Name: "first-token", Type: Duration(0, maxDeadline), Default: "0s", Doc: "Time to the first token to be kept; 0s for none."},
			{Name: "in-time", Type: Duration(0, maxDeadline), Default: "0s", Doc: "Time to the whole answer to be kept; 0s for none."},
			{Name: "min-priority", Type: priority(), Default: "0", Doc: "Selects requests of this priority and above."},
			{Name: "share", Type: Float(0, 1), Default: "0.99", Doc: "Share of requests that must be good."},
			{
				Name: "target", Type: Reference(gooseberrypass.KindModel, gooseberrypass.KindService),
				Doc: "Selects the requests for one model or service.",
			},
		},
	})
}

func serviceSpec() SectionSpec {
	return withNameKeys(SectionSpec{
		Doc:  "A plain service to be routed to.",
		Kind: gooseberrypass.KindService,
		Keys: []Key{
			{Name: "checks-orders", Type: Bool(), Default: "no", Doc: "Whether the service checks who calls it."},
			{Name: "deadline", Type: Duration(minDeadline, maxDeadline), Default: "10s", Doc: "Time a call gets if its caller names none."},
			{Name: keyPool, Type: Word(), Required: true, Doc: "Pool of instances that serve the service."},
			{Name: "priority", Type: priority(), Default: "4", Doc: "Priority of calls that name none."},
			{Name: keyRepeatableCalls, Type: Words(), Doc: "Calls that are idempotent and may be retried."},
			{Name: keyUnrepeatableCalls, Type: Words(), Doc: "Calls that must run at most once."},
		},
	})
}

func systemSpec() SectionSpec {
	return SectionSpec{
		Doc:  "Settings of the whole system.",
		Kind: gooseberrypass.KindSystem,
		Keys: []Key{
			{Name: "bulk-rate", Type: Size(sizeKiB, math.MaxInt64), Default: "100MB", Doc: "Bytes a second that one instance sends of weights."},
			{Name: "chunk-memory", Type: Size(sizeMiB, sizeTiB), Default: "1GiB", Doc: "Bytes of chunks that one instance keeps."},
			{Name: "claim-retention", Type: Duration(time.Minute, 365*day), Default: "24h", Doc: "How long the log is trusted to keep a claim."},
			{Name: "max-unavailable", Type: Float(0, 1), Default: "0.25", Doc: "Share of a failure domain's instances in a pool that may load at once."},
			{Name: "origin-budget", Type: Float(1, maxOriginBudget), Default: "1.5", Doc: "Copies of a version that may be read from the origin."},
			{Name: "origin-region", Type: Word(), Doc: "Region in which the origin stands."},
			{Name: "quarantine", Type: Duration(0, 365*day), Default: "10m", Doc: "How long a request that crashed engines is refused."},
			{Name: "queue-limit", Type: Int(1, maxQueue), Default: "64", Doc: "Requests that one agent queues."},
			{Name: "region-rate", Type: Size(sizeKiB, math.MaxInt64), Doc: "Bytes a second of weights that one region takes from each other region; no limit if empty. Set it below the link's rate, which is shared with live requests."},
			{Name: "retry-budget", Type: Float(0, 1), Default: "0.1", Doc: "Share of retries among the requests sent."},
			{Name: "stop-limit", Type: Duration(0, day), Default: "30s", Doc: "How long a planned stop waits for work in progress."},
		},
	}
}
