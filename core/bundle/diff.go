package bundle

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
)

// Diff returns the lines that differ between two specs, entry by entry: "-" for
// an entry of the old one, "+" for an entry of the new one.
func Diff(old, next Spec) []string {
	var lines []string
	lines = append(lines, diffList("workspace", old.Workspaces, next.Workspaces, func(w Workspace) string { return w.Name })...)
	lines = append(lines, diffList("route", old.Routes, next.Routes, func(r Route) string { return r.Name })...)
	lines = append(lines, diffList("zone", old.Zones, next.Zones, func(z Zone) string { return z.Name })...)
	lines = append(lines, diffList("backendServer", old.BackendServers, next.BackendServers, func(s BackendServer) string { return s.Name })...)
	return append(lines, diffList("group", old.Groups, next.Groups, func(g Group) string { return g.Name })...)
}

func diffList[T any](kind string, old, next []T, name func(T) string) []string {
	before := map[string]string{}
	for _, v := range old {
		before[name(v)] = compact(v)
	}
	var lines []string
	for _, v := range next {
		was, existed := before[name(v)]
		now := compact(v)
		delete(before, name(v))
		if existed && was == now {
			continue
		}
		if existed {
			lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, name(v), was))
		}
		lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, name(v), now))
	}
	for _, v := range old {
		if was, gone := before[name(v)]; gone {
			lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, name(v), was))
		}
	}
	return lines
}

func compact(v any) string {
	b, err := yaml.MarshalWithOptions(v, yaml.Flow(true))
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return strings.TrimSpace(string(b))
}
