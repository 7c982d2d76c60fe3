package gooseberrypass

import (
	"cmp"
	"slices"
)

// A DraftSection is a section of a Draft.
type DraftSection string

// The sections of a draft. DraftDocument stands for the document itself.
const (
	DraftAccounts DraftSection = "accounts"
	DraftDocument DraftSection = ""
	DraftLimits   DraftSection = "limits"
	DraftRoutes   DraftSection = "routes"
	DraftServices DraftSection = "services"
)

// A DraftField identifies a field of an entry by the name that it has in this project. A
// field that the product does not use has the name that it has in the document.
type DraftField string

// The fields that checks name.
const (
	FieldAccountKeys DraftField = "account keys"
	FieldAttempts    DraftField = "attempts"
	FieldEventGap    DraftField = "event gap"
	FieldHost        DraftField = "host"
	FieldMode        DraftField = "mode"
	FieldName        DraftField = "name"
	FieldObjective   DraftField = "objective"
	FieldPrefix      DraftField = "prefix"
	FieldRegions     DraftField = "regions"
	FieldResumable   DraftField = "resumable"
	FieldService     DraftField = "service"
	FieldSplit       DraftField = "split"
	FieldTimeout     DraftField = "timeout"
	FieldVersion     DraftField = "version"
)

// A DraftPlace is the place of a finding. Index counts the entries of a section from 0, and
// is -1 where the section has no entries. Field is empty if a finding is about a whole entry.
type DraftPlace struct {
	Field   DraftField
	Index   int
	Name    string // of the entry
	Section DraftSection
}

// A DraftEntry is what all entries of a draft have.
type DraftEntry struct {
	Faulty bool // a field was left out, as it has a fault
	Place  DraftPlace
	Values map[DraftField]string // canonical text of each field that holds no secret
}

// At returns the place of a field of the entry.
func (e DraftEntry) At(field DraftField) DraftPlace {
	p := e.Place
	p.Field = field
	return p
}

// A DraftAccount is a client account of a draft. Its keys are secrets.
type DraftAccount struct {
	DraftEntry

	Keys []string
	Spec AccountSpec
}

// A DraftRoute is a route of a draft.
type DraftRoute struct {
	DraftEntry

	Direct bool // it names a service, which may be beside a split
	Route  Route
	Split  []RouteTarget // also those without weight
}

// A DraftService is a service of a draft.
type DraftService struct {
	DraftEntry

	Spec ServiceSpec
}

// A Draft is a configuration of a deployment as its operator wrote it. Unlike a Deployment
// it holds every entry in the order of the document, also those that can never match.
type Draft struct {
	Accounts []DraftAccount // nil if the document has no list of them
	Faulty   bool           // a section was left out, as it has a fault
	Limits   DraftEntry
	Routes   []DraftRoute
	Services []DraftService
	Version  int64
}

// A DraftKind is the kind of a finding.
type DraftKind string

// The kinds of findings.
const (
	DraftConflict   DraftKind = "conflict"   // limits that contradict each other
	DraftDifference DraftKind = "difference" // from the version in force
	DraftError      DraftKind = "error"
	DraftUnused     DraftKind = "unused" // an entry that can never match
	DraftWarning    DraftKind = "warning"
)

// A DraftFinding is a finding in a draft. Its text holds no account key.
type DraftFinding struct {
	Kind    DraftKind
	Message string
	Place   DraftPlace
}

// SortDraftFindings sorts findings by place.
func SortDraftFindings(findings []DraftFinding) {
	slices.SortStableFunc(findings, func(a, b DraftFinding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Section, b.Place.Section),
			cmp.Compare(a.Place.Index, b.Place.Index),
			cmp.Compare(a.Place.Field, b.Place.Field),
		)
	})
}
