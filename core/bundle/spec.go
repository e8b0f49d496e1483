// Package bundle holds the configuration that operators write: its model, its
// validation, its signature and the rules by which an instance takes it up.
package bundle

import "time"

// MaxSignedBytes is the size above which a signed bundle is refused.
const MaxSignedBytes = 8 << 20

// Spec is one version of the configuration.
type Spec struct {
	Version uint64 `yaml:"version"`
	// Parent is the version that this one replaces; 0 for the first.
	Parent         uint64          `yaml:"parent"`
	Workspaces     []Workspace     `yaml:"workspaces"`
	Routes         []Route         `yaml:"routes"`
	Zones          []Zone          `yaml:"zones"`
	BackendServers []BackendServer `yaml:"backendServers"`
	Groups         []Group         `yaml:"groups"`
}

// Workspace is a tenant.
type Workspace struct {
	Name string `yaml:"name"`
	// Weight is the workspace's part of a contended group relative to others; 0 means 1.
	Weight uint32 `yaml:"weight,omitempty"`
	// Rate is in requests per second, over all instances together.
	Rate float64 `yaml:"rate"`
	// Burst is the token bucket's capacity in requests, over all instances together.
	Burst float64 `yaml:"burst"`
	Keys  []Key   `yaml:"keys"`
}

// Key is the SCRAM-SHA-256 verifier of a client's key (RFC 5803).
type Key struct {
	ID string `yaml:"id"`
	// Salt, StoredKey and ServerKey are in standard base64.
	Salt       string `yaml:"salt"`
	Iterations int    `yaml:"iterations"`
	StoredKey  string `yaml:"storedKey"`
	ServerKey  string `yaml:"serverKey"`
}

// Access says what a route lets through.
type Access string

// The kinds of access of a route.
const (
	ReadWrite Access = "read-write"
	// ReadOnly declares every transaction of the route a read.
	ReadOnly Access = "read"
)

// Route maps the database name that a client asks for to a database group.
type Route struct {
	Name     string `yaml:"name"`
	Group    string `yaml:"group"`
	Database string `yaml:"database"`
	Access   Access `yaml:"access"`
	// Workspaces may use the route; it is empty on an open route.
	Workspaces []string `yaml:"workspaces,omitempty"`
	// Open lets clients without a key use the route, within Rate and Burst.
	Open  bool    `yaml:"open,omitempty"`
	Rate  float64 `yaml:"rate,omitempty"`
	Burst float64 `yaml:"burst,omitempty"`
	// MaxAge bounds the age of data of reads, in addition to the session's floor;
	// 0 sets no further bound.
	MaxAge Duration `yaml:"maxAge,omitempty"`
	// ReadWait is the time that a read waits for a fresh replica before it goes
	// to the primary; 0 means the default.
	ReadWait Duration `yaml:"readWait,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name      string `yaml:"name"`
	InService bool   `yaml:"inService"`
}

// BackendServer is a machine that runs members.
type BackendServer struct {
	Name      string `yaml:"name"`
	Zone      string `yaml:"zone"`
	InService bool   `yaml:"inService"`
}

// Group is a database group.
type Group struct {
	Name    string   `yaml:"name"`
	Members []Member `yaml:"members"`
}

// Member is one member of a database group.
type Member struct {
	Name string `yaml:"name"`
	// Server names the backend server that runs the member.
	Server string `yaml:"server"`
	// Address is the IP address and port.
	Address string `yaml:"address"`
	// Connections is the largest number of connections of all instances together.
	Connections int `yaml:"connections"`
	// Slots is the number of statements that the member runs at once.
	Slots int `yaml:"slots"`
}

// Duration is a time.Duration written as in "250ms".
type Duration time.Duration

// UnmarshalText reads the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
