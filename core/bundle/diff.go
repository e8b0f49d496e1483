package bundle

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Diff describes the differences between two specs, one per string, in the order
// of the sections of a bundle. It ignores version and parent. List items are
// matched by name, so their order does not matter.
func Diff(from, to Spec) []string {
	var d []string
	d = append(d, diffList("workspace", from.Workspaces, to.Workspaces, workspaceItem)...)
	d = append(d, diffList("route", from.Routes, to.Routes, routeItem)...)
	d = append(d, diffList("availability zone", from.Zones, to.Zones, zoneItem)...)
	d = append(d, diffList("backend server", from.BackendServers, to.BackendServers, serverItem)...)
	return append(d, diffList("group", from.Groups, to.Groups, groupItem)...)
}

// field is one value to compare, formatted for the output.
type field struct{ name, value string }

// item is a named list item with its fields and nested items.
type item struct {
	name   string
	fields []field
	part   string // kind of the nested items, for example "key"
	parts  []item
}

// diffList describes the differences between two lists of one kind of item.
func diffList[T any](kind string, from, to []T, describe func(T) item) []string {
	before := make([]item, len(from))
	for i, v := range from {
		before[i] = describe(v)
	}
	after := make([]item, len(to))
	for i, v := range to {
		after[i] = describe(v)
	}
	return diffItems(kind, "", before, after)
}

// diffItems matches items by name and returns removals first, then additions and
// changes. of names the containing item, or is empty.
func diffItems(kind, of string, before, after []item) []string {
	index := func(items []item) map[string]item {
		m := make(map[string]item, len(items))
		for _, it := range items {
			m[it.name] = it
		}
		return m
	}
	old, present := index(before), index(after)
	var d []string
	for _, it := range before {
		if _, ok := present[it.name]; !ok {
			d = append(d, fmt.Sprintf("%s %s%s: removed", kind, it.name, of))
		}
	}
	for _, it := range after {
		was, ok := old[it.name]
		if !ok {
			d = append(d, fmt.Sprintf("%s %s%s: added", kind, it.name, of))
			continue
		}
		for i, f := range it.fields {
			if f != was.fields[i] {
				d = append(d, fmt.Sprintf("%s %s%s: %s %s -> %s", kind, it.name, of, f.name, was.fields[i].value, f.value))
			}
		}
		d = append(d, diffItems(it.part, fmt.Sprintf(" of %s %s%s", kind, it.name, of), was.parts, it.parts)...)
	}
	return d
}

func workspaceItem(w Workspace) item {
	it := item{name: w.Name, part: "key", fields: []field{
		{"weight", strconv.FormatUint(uint64(w.Weight), 10)},
		{"rate", requestsPerSecond(w.Rate)}, {"burst", requests(w.Burst)},
	}}
	for _, k := range w.Keys {
		// A short digest shows that the verifier changed without printing it.
		it.parts = append(it.parts, item{name: k.ID, fields: []field{
			{"verifier", shortDigest(fmt.Sprintf("%s,%d,%s,%s", k.Salt, k.Iterations, k.StoredKey, k.ServerKey))},
		}})
	}
	return it
}

func routeItem(r Route) item {
	return item{name: r.Name, fields: []field{
		{"group", r.Group}, {"database", r.Database}, {"access", string(r.Access)},
		{"workspaces", "[" + strings.Join(r.Workspaces, " ") + "]"},
		{"open", strconv.FormatBool(r.Open)},
		{"rate", requestsPerSecond(r.Rate)}, {"burst", requests(r.Burst)},
		{"maxAge", time.Duration(r.MaxAge).String()}, {"readWait", time.Duration(r.ReadWait).String()},
	}}
}

func zoneItem(z Zone) item {
	return item{name: z.Name, fields: []field{{"in service", strconv.FormatBool(z.InService)}}}
}

func serverItem(s BackendServer) item {
	return item{name: s.Name, fields: []field{{"zone", s.Zone}, {"in service", strconv.FormatBool(s.InService)}}}
}

func groupItem(g Group) item {
	it := item{name: g.Name, part: "member"}
	for _, m := range g.Members {
		it.parts = append(it.parts, item{name: m.Name, fields: []field{
			{"backend server", m.Server}, {"address", m.Address},
			{"connections", strconv.Itoa(m.Connections)}, {"slots", strconv.Itoa(m.Slots)},
		}})
	}
	return it
}

func requestsPerSecond(v float64) string { return fmt.Sprintf("%g requests/s", v) }
func requests(v float64) string          { return fmt.Sprintf("%g requests", v) }

// shortDigest returns the first 12 hex digits of the text's digest.
func shortDigest(text string) string { return Digest([]byte(text))[:12] }
