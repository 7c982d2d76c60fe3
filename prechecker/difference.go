package prechecker

import (
	"maps"
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
)

// absent stands for the value of a field that an entry does not have.
const absent = "absent"

// Compare returns the differences of a draft from the version in force, sorted by place.
// Entries are the same if they have the same name. The place of a removed entry is that in
// the version in force. If a whole section of either could not be decoded, only the versions are
// compared.
func Compare(d, inForce *gooseberrypass.Draft) []gooseberrypass.DraftFinding {
	c := &check{draft: d}
	place := gooseberrypass.DraftPlace{Field: gooseberrypass.FieldVersion, Index: -1}
	if d.Version != inForce.Version {
		c.add(gooseberrypass.DraftDifference, place, "%d -> %d", inForce.Version, d.Version)
	}
	if d.Version <= inForce.Version {
		c.add(gooseberrypass.DraftError, place, "%d is not above %d, the version in force", d.Version, inForce.Version)
	}
	if d.Faulty || inForce.Faulty {
		return c.findings // what the section holds would be reported as added or removed
	}
	if (d.Accounts == nil) != (inForce.Accounts == nil) {
		place := gooseberrypass.DraftPlace{Index: -1, Section: gooseberrypass.DraftAccounts}
		c.add(gooseberrypass.DraftDifference, place, "requests need a client account: %t -> %t", inForce.Accounts != nil, d.Accounts != nil)
	}
	c.values(d.Limits, inForce.Limits)
	c.differences(entries(d.Routes, routeEntry), entries(inForce.Routes, routeEntry))
	c.differences(entries(d.Services, serviceEntry), entries(inForce.Services, serviceEntry))
	c.differences(entries(d.Accounts, accountEntry), entries(inForce.Accounts, accountEntry))
	c.accountKeys(inForce.Accounts)
	gooseberrypass.SortDraftFindings(c.findings)
	return c.findings
}

// named returns the first entry with a name.
func named(list []gooseberrypass.DraftEntry, name string) (gooseberrypass.DraftEntry, bool) {
	i := slices.IndexFunc(list, func(e gooseberrypass.DraftEntry) bool { return e.Place.Name == name })
	if i < 0 {
		return gooseberrypass.DraftEntry{}, false
	}
	return list[i], true
}

// differences compares the entries of one section.
func (c *check) differences(list, inForce []gooseberrypass.DraftEntry) {
	for _, e := range list {
		old, ok := named(inForce, e.Place.Name)
		if !ok {
			c.add(gooseberrypass.DraftDifference, e.Place, "added")
			continue
		}
		c.values(e, old)
	}
	for _, old := range inForce {
		if _, ok := named(list, old.Place.Name); !ok {
			c.add(gooseberrypass.DraftDifference, old.Place, "removed; this is its place in the version in force")
		}
	}
}

// values compares the fields of one entry.
func (c *check) values(e, old gooseberrypass.DraftEntry) {
	fields := map[gooseberrypass.DraftField]struct{}{}
	for _, values := range []map[gooseberrypass.DraftField]string{e.Values, old.Values} {
		for field := range values {
			fields[field] = struct{}{}
		}
	}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		to, ok := e.Values[field]
		if !ok {
			to = absent
		}
		from, ok := old.Values[field]
		if !ok {
			from = absent
		}
		if from != to {
			c.add(gooseberrypass.DraftDifference, e.At(field), "%s -> %s", from, to)
		}
	}
}

// accountKeys compares the keys of accounts. It names them by their positions.
func (c *check) accountKeys(inForce []gooseberrypass.DraftAccount) {
	for _, a := range c.draft.Accounts {
		i := slices.IndexFunc(inForce, func(old gooseberrypass.DraftAccount) bool { return old.Place.Name == a.Place.Name })
		if i < 0 {
			continue
		}
		place := a.At(gooseberrypass.FieldAccountKeys)
		for position, key := range a.Keys {
			if !slices.Contains(inForce[i].Keys, key) {
				c.add(gooseberrypass.DraftDifference, place, "position %d: key added", position)
			}
		}
		for position, key := range inForce[i].Keys {
			if !slices.Contains(a.Keys, key) {
				c.add(gooseberrypass.DraftDifference, place, "position %d of the version in force: key removed", position)
			}
		}
	}
}
