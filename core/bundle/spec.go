// Package bundle holds the configuration that operators write: its model,
// validation and signature, and the rules by which an instance accepts and
// activates a new version.
package bundle

import "time"

// MaxSignedBytes is the maximum size of a signed bundle.
const MaxSignedBytes = 8 << 20

// Spec is one version of the configuration.
type Spec struct {
	Version uint64 `yaml:"version"`
	// Parent is the version that this one replaces; 0 for the first version.
	Parent         uint64          `yaml:"parent"`
	Workspaces     []Workspace     `yaml:"workspaces"`
	Routes         []Route         `yaml:"routes"`
	Zones          []Zone          `yaml:"zones"`
	BackendServers []BackendServer `yaml:"backendServers"`
	Groups         []Group         `yaml:"groups"`
}

// Workspace is a customer with its rate limit and keys.
type Workspace struct {
	Name string `yaml:"name"`
	// Weight is the workspace's relative share of a contended group; 0 means 1.
	Weight uint32 `yaml:"weight,omitempty"`
	// Rate is in requests per second, for all instances together.
	Rate float64 `yaml:"rate"`
	// Burst is the token bucket's capacity in requests, for all instances together.
	Burst float64 `yaml:"burst"`
	Keys  []Key   `yaml:"keys"`
}

// Key is the SCRAM-SHA-256 verifier of a client key (RFC 5803).
type Key struct {
	ID string `yaml:"id"`
	// Salt, StoredKey and ServerKey are in standard base64.
	Salt       string `yaml:"salt"`
	Iterations int    `yaml:"iterations"`
	StoredKey  string `yaml:"storedKey"`
	ServerKey  string `yaml:"serverKey"`
}

// Access is the kind of transactions that a route permits.
type Access string

// Values of Access.
const (
	ReadWrite Access = "read-write"
	// ReadOnly makes every transaction of the route read-only.
	ReadOnly Access = "read"
)

// Route maps the database name that a client asks for to a database group.
type Route struct {
	Name     string `yaml:"name"`
	Group    string `yaml:"group"`
	Database string `yaml:"database"`
	Access   Access `yaml:"access"`
	// Workspaces are those that may use the route; empty on an open route.
	Workspaces []string `yaml:"workspaces,omitempty"`
	// Open permits clients without a key, limited by Rate and Burst.
	Open  bool    `yaml:"open,omitempty"`
	Rate  float64 `yaml:"rate,omitempty"`
	Burst float64 `yaml:"burst,omitempty"`
	// MaxAge limits the age of the data that reads return, in addition to the
	// session's minimum position; 0 sets no limit.
	MaxAge Duration `yaml:"maxAge,omitempty"`
	// ReadWait is how long a read waits for a sufficiently fresh replica before it
	// is sent to the primary; 0 means the default.
	ReadWait Duration `yaml:"readWait,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name      string `yaml:"name"`
	InService bool   `yaml:"inService"`
}

// BackendServer is a machine that runs members of database groups.
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

// Member is one database server process of a database group.
type Member struct {
	Name string `yaml:"name"`
	// Server names the backend server that runs the member.
	Server string `yaml:"server"`
	// Address is the IP address and port.
	Address string `yaml:"address"`
	// Connections is the maximum number of connections from all instances together.
	Connections int `yaml:"connections"`
	// Slots is the number of statements that the member runs concurrently.
	Slots int `yaml:"slots"`
}

// Duration is a time.Duration in the text form of time.ParseDuration, such as
// "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
