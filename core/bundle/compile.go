package bundle

import (
	"encoding/base64"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Compiled is a validated bundle with lookup indexes. It is immutable and safe
// for concurrent use.
type Compiled struct {
	Spec       Spec
	Digest     string
	workspaces map[string]*Workspace
	routes     map[string]*Route
	groups     map[string]*Group
	zones      map[string]*Zone
	servers    map[string]*BackendServer
	verifiers  map[verifierKey]*Verifier
}

// verifierKey names a key of a workspace.
type verifierKey struct{ workspace, key string }

// Verifier is a decoded SCRAM-SHA-256 verifier.
type Verifier struct {
	KeyID      string
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// OpenLimitPrefix is the prefix of the name of an open route's limit. Names of
// workspaces must not contain ':', so that they cannot collide with it.
const OpenLimitPrefix = "open:"

// Limit is a rate limit that applies to all instances together.
type Limit struct {
	Name string
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Compile validates the spec and indexes it. The error lists all problems found.
// digest is that of the signed bundle; it is stored unchecked.
func Compile(spec Spec, digest string) (*Compiled, error) {
	c := &Compiled{
		Spec: spec, Digest: digest,
		workspaces: map[string]*Workspace{}, routes: map[string]*Route{}, groups: map[string]*Group{},
		zones: map[string]*Zone{}, servers: map[string]*BackendServer{}, verifiers: map[verifierKey]*Verifier{},
	}
	v := &validation{}
	v.check(spec.Version > 0, "version: must be at least 1")
	v.check(spec.Parent < spec.Version, "parent: %d is not below version %d", spec.Parent, spec.Version)
	c.indexZonesAndServers(v)
	c.indexGroups(v)
	c.indexWorkspaces(v)
	c.indexRoutes(v)
	if err := v.err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Compiled) indexZonesAndServers(v *validation) {
	for i := range c.Spec.Zones {
		z := &c.Spec.Zones[i]
		v.name("zones", i, z.Name, c.zones[z.Name] != nil)
		c.zones[z.Name] = z
	}
	for i := range c.Spec.BackendServers {
		s := &c.Spec.BackendServers[i]
		v.name("backendServers", i, s.Name, c.servers[s.Name] != nil)
		v.check(c.zones[s.Zone] != nil, "backendServers[%d].zone: %q does not exist", i, s.Zone)
		c.servers[s.Name] = s
	}
}

func (c *Compiled) indexGroups(v *validation) {
	for i := range c.Spec.Groups {
		g := &c.Spec.Groups[i]
		v.name("groups", i, g.Name, c.groups[g.Name] != nil)
		v.check(len(g.Members) > 0, "groups[%d].members: must not be empty", i)
		seen := map[string]bool{}
		for j, m := range g.Members {
			v.check(m.Name != "" && !seen[m.Name], "groups[%d].members[%d].name: %q is empty or not unique", i, j, m.Name)
			seen[m.Name] = true
			v.check(c.servers[m.Server] != nil, "groups[%d].members[%d].server: %q does not exist", i, j, m.Server)
			_, err := netip.ParseAddrPort(m.Address)
			v.check(err == nil, "groups[%d].members[%d].address: %q is not an IP address and port", i, j, m.Address)
			v.check(m.Connections > 0, "groups[%d].members[%d].connections: must be at least 1 connection", i, j)
			v.check(m.Slots > 0, "groups[%d].members[%d].slots: must be at least 1 slot", i, j)
		}
		c.groups[g.Name] = g
	}
}

func (c *Compiled) indexWorkspaces(v *validation) {
	for i := range c.Spec.Workspaces {
		w := &c.Spec.Workspaces[i]
		v.name("workspaces", i, w.Name, c.workspaces[w.Name] != nil)
		v.check(!strings.ContainsAny(w.Name, ".:"), "workspaces[%d].name: %q must not contain '.' or ':'", i, w.Name)
		v.limit("workspaces", i, w.Rate, w.Burst)
		for j, k := range w.Keys {
			verifier, err := k.decode()
			v.check(err == nil, "workspaces[%d].keys[%d]: %v", i, j, err)
			vk := verifierKey{w.Name, k.ID}
			v.check(c.verifiers[vk] == nil, "workspaces[%d].keys[%d].id: %q is not unique", i, j, k.ID)
			c.verifiers[vk] = verifier
		}
		c.workspaces[w.Name] = w
	}
}

func (c *Compiled) indexRoutes(v *validation) {
	for i := range c.Spec.Routes {
		r := &c.Spec.Routes[i]
		v.name("routes", i, r.Name, c.routes[r.Name] != nil)
		v.check(c.groups[r.Group] != nil, "routes[%d].group: %q does not exist", i, r.Group)
		v.check(r.Access == ReadWrite || r.Access == ReadOnly, "routes[%d].access: %q is neither read-write nor read", i, r.Access)
		v.check(r.MaxAge >= 0, "routes[%d].maxAge: must not be negative", i)
		v.check(r.ReadWait >= 0, "routes[%d].readWait: must not be negative", i)
		for j, w := range r.Workspaces {
			v.check(c.workspaces[w] != nil, "routes[%d].workspaces[%d]: %q does not exist", i, j, w)
		}
		if r.Open {
			v.limit("routes", i, r.Rate, r.Burst)
			v.check(len(r.Workspaces) == 0, "routes[%d].workspaces: must be empty on an open route", i)
		} else {
			v.check(r.Rate == 0 && r.Burst == 0, "routes[%d]: rate and burst are allowed only on open routes", i)
		}
		c.routes[r.Name] = r
	}
}

func (k Key) decode() (*Verifier, error) {
	if k.ID == "" || strings.ContainsAny(k.ID, ".:") {
		return nil, errors.Newf("id %q is empty or contains '.' or ':'", k.ID)
	}
	if k.Iterations < 4096 {
		return nil, errors.Newf("iterations: %d is below 4096 (RFC 7677)", k.Iterations)
	}
	verifier := &Verifier{KeyID: k.ID, Iterations: k.Iterations}
	parts := []struct {
		name, text string
		length     int
		target     *[]byte
	}{
		{"salt", k.Salt, 0, &verifier.Salt},
		{"storedKey", k.StoredKey, 32, &verifier.StoredKey},
		{"serverKey", k.ServerKey, 32, &verifier.ServerKey},
	}
	for _, p := range parts {
		b, err := base64.StdEncoding.DecodeString(p.text)
		if err != nil || len(b) == 0 || (p.length > 0 && len(b) != p.length) {
			return nil, errors.Newf("%s is not valid base64 or has the wrong length", p.name)
		}
		*p.target = b
	}
	return verifier, nil
}

// Workspace returns the workspace with the name, or nil.
func (c *Compiled) Workspace(name string) *Workspace { return c.workspaces[name] }

// Route returns the route with the name, or nil.
func (c *Compiled) Route(name string) *Route { return c.routes[name] }

// Group returns the database group with the name, or nil.
func (c *Compiled) Group(name string) *Group { return c.groups[name] }

// Allows reports whether the workspace may use the route.
func (r *Route) Allows(workspace string) bool {
	return r.Open || slices.Contains(r.Workspaces, workspace)
}

// Verifier returns the verifier of a workspace's key, or nil if there is none. An
// empty key ID means the workspace's first key.
func (c *Compiled) Verifier(workspace, keyID string) *Verifier {
	w := c.workspaces[workspace]
	if w == nil || len(w.Keys) == 0 {
		return nil
	}
	if keyID == "" {
		keyID = w.Keys[0].ID
	}
	return c.verifiers[verifierKey{workspace, keyID}]
}

// ZoneInService reports whether the availability zone exists and is in service.
func (c *Compiled) ZoneInService(zone string) bool {
	z := c.zones[zone]
	return z != nil && z.InService
}

// MemberInService reports whether the member's backend server and its
// availability zone are both in service. It is false if either is unknown.
func (c *Compiled) MemberInService(m Member) bool {
	s := c.servers[m.Server]
	return s != nil && s.InService && c.ZoneInService(s.Zone)
}

// MemberZone returns the availability zone of the member's backend server, or an
// empty string if the server is unknown.
func (c *Compiled) MemberZone(m Member) string {
	if s := c.servers[m.Server]; s != nil {
		return s.Zone
	}
	return ""
}

// Limits returns the limits of all workspaces and open routes.
func (c *Compiled) Limits() []Limit {
	var limits []Limit
	for _, w := range c.Spec.Workspaces {
		limits = append(limits, Limit{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	for _, r := range c.Spec.Routes {
		if r.Open {
			limits = append(limits, Limit{Name: OpenLimitPrefix + r.Name, Rate: r.Rate, Burst: r.Burst})
		}
	}
	return limits
}

// validation collects all problems of a spec, so that an operator sees them at
// once.
type validation struct{ problems []string }

func (v *validation) check(ok bool, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, errors.Newf(format, args...).Error())
	}
}

func (v *validation) name(list string, i int, name string, exists bool) {
	v.check(name != "", "%s[%d].name: must not be empty", list, i)
	v.check(!exists, "%s[%d].name: %q is not unique", list, i, name)
}

func (v *validation) limit(list string, i int, rate, burst float64) {
	v.check(rate > 0 && !math.IsInf(rate, 0), "%s[%d].rate: must be above 0 requests/s", list, i)
	v.check(burst >= 1 && !math.IsInf(burst, 0), "%s[%d].burst: must be at least 1 request", list, i)
}

func (v *validation) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.Newf("bundle is not valid: %s", strings.Join(v.problems, "; "))
}
