// Package config reads and validates the YAML settings of the entry daemon and of the
// gateway daemon. Validation reports all invalid fields at once.
package config

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// MinSecretBytes is the minimum length of a shared secret: 256 bits, the output size of
// the HMAC that uses it.
const MinSecretBytes = 32

// Defaults of optional settings.
const (
	DefaultDrainTimeout    = 30 * time.Second
	DefaultPlatformTimeout = 2 * time.Second
	DefaultLogLevel        = "info"
	DefaultBackendUser     = "mulberrysill"
)

// Settings are the settings of one entry daemon.
type Settings struct {
	// ID is the instance's identifier. It must be unique in the fleet.
	ID string `yaml:"id"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone"`
	// ClientAddress, PeerAddress, AdminAddress and MetricsAddress are IP
	// addresses with ports to listen on.
	ClientAddress  string `yaml:"clientAddress"`
	PeerAddress    string `yaml:"peerAddress"`
	AdminAddress   string `yaml:"adminAddress"`
	MetricsAddress string `yaml:"metricsAddress"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `yaml:"platformURL"`
	// PlatformTimeout limits the time of one call to the platform.
	PlatformTimeout Duration `yaml:"platformTimeout"`
	// TrustedKeys maps the key ID of an operator to the operator's Ed25519 public key
	// in standard base64.
	TrustedKeys map[string]string `yaml:"trustedKeys"`
	// SessionTokenKeyFile and PeerSecretFile are the files with the secrets that all
	// instances share. AdminTokenFile has the bearer token of the administration API.
	SessionTokenKeyFile string `yaml:"sessionTokenKeyFile"`
	PeerSecretFile      string `yaml:"peerSecretFile"`
	AdminTokenFile      string `yaml:"adminTokenFile"`
	// TLSCertFile and TLSKeyFile enable TLS for client connections.
	TLSCertFile string `yaml:"tlsCertFile"`
	TLSKeyFile  string `yaml:"tlsKeyFile"`
	// RequireTLS rejects clients that do not use TLS.
	RequireTLS bool `yaml:"requireTLS"`
	// BackendUser is the user name at backend servers. BackendPasswordFile has the
	// password, if they require one.
	BackendUser         string `yaml:"backendUser"`
	BackendPasswordFile string `yaml:"backendPasswordFile"`
	// DrainTimeout limits the time of a graceful shutdown.
	DrainTimeout Duration `yaml:"drainTimeout"`
	// LogLevel is a logrus level.
	LogLevel string `yaml:"logLevel"`
}

// Duration is a time.Duration that is written as "30s" in YAML.
type Duration time.Duration

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 250ms or 30s", text)
	}
	*d = Duration(v)
	return nil
}

// Secrets are the contents of the secret files, and the decoded trusted keys.
type Secrets struct {
	SessionTokenKey []byte
	PeerSecret      []byte
	AdminToken      string
	BackendPassword string
	TrustedKeys     map[string]ed25519.PublicKey
}

// Load reads and validates the settings file and the secret files that it names.
func Load(path string) (Settings, Secrets, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Secrets{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, Secrets{}, err
	}
	secrets, err := s.loadSecrets()
	return s, secrets, errors.Wrapf(err, "settings %s", path)
}

// Parse decodes the settings, sets defaults and validates every field. The error names
// the file, the line and the field of each invalid value.
func Parse(path string, data []byte) (Settings, error) {
	s := Settings{
		PlatformTimeout: Duration(DefaultPlatformTimeout),
		DrainTimeout:    Duration(DefaultDrainTimeout),
		LogLevel:        DefaultLogLevel,
		BackendUser:     DefaultBackendUser,
	}
	err := decode(path, data, &s, func() []fieldError { return s.validate() })
	return s, err
}

// decode decodes the settings from YAML and calls validate. The error names the file,
// the line and the field of each invalid value.
func decode(path string, data []byte, settings any, validate func() []fieldError) error {
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(settings); err != nil {
		return errors.Newf("settings %s: %s", path, yaml.FormatError(err, false, true))
	}
	invalid := validate()
	if len(invalid) == 0 {
		return nil
	}
	lines := make([]string, 0, len(invalid))
	for _, f := range invalid {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, lineOfField(data, f.field), f.field, f.message))
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// fieldError describes an invalid field.
type fieldError struct{ field, message string }

func (s Settings) validate() []fieldError {
	var list []fieldError
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			list = append(list, fieldError{field, fmt.Sprintf(format, args...)})
		}
	}
	check(s.ID != "", "id", "must not be empty")
	check(s.Zone != "", "zone", "must not be empty")
	addresses := []struct{ field, value string }{
		{"clientAddress", s.ClientAddress}, {"peerAddress", s.PeerAddress},
		{"adminAddress", s.AdminAddress}, {"metricsAddress", s.MetricsAddress},
	}
	for _, a := range addresses {
		_, err := netip.ParseAddrPort(a.value)
		check(err == nil, a.field, "%q is not an IP address and port", a.value)
	}
	check(strings.HasPrefix(s.PlatformURL, "http://") || strings.HasPrefix(s.PlatformURL, "https://"),
		"platformURL", "%q is not an http or https URL", s.PlatformURL)
	check(s.PlatformTimeout > 0, "platformTimeout", "must be above 0 s")
	check(s.DrainTimeout > 0, "drainTimeout", "must be above 0 s")
	check(len(s.TrustedKeys) > 0, "trustedKeys", "must hold at least one operator's public key")
	check(s.SessionTokenKeyFile != "", "sessionTokenKeyFile", "must not be empty")
	check(s.PeerSecretFile != "", "peerSecretFile", "must not be empty")
	check(s.AdminTokenFile != "", "adminTokenFile", "must not be empty")
	check(!s.RequireTLS || s.TLSCertFile != "", "requireTLS", "needs tlsCertFile and tlsKeyFile")
	check((s.TLSCertFile == "") == (s.TLSKeyFile == ""), "tlsCertFile", "tlsCertFile and tlsKeyFile go together")
	return list
}

// lineOfField returns the line number of a top-level field, or 1 if the file does not
// contain it.
func lineOfField(data []byte, field string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, field+":") {
			return i + 1
		}
	}
	return 1
}

func (s Settings) loadSecrets() (Secrets, error) {
	secrets := Secrets{TrustedKeys: map[string]ed25519.PublicKey{}}
	var err error
	if secrets.SessionTokenKey, err = readSecret("sessionTokenKeyFile", s.SessionTokenKeyFile); err != nil {
		return secrets, err
	}
	if secrets.PeerSecret, err = readSecret("peerSecretFile", s.PeerSecretFile); err != nil {
		return secrets, err
	}
	token, err := readSecret("adminTokenFile", s.AdminTokenFile)
	if err != nil {
		return secrets, err
	}
	secrets.AdminToken = string(token)
	if s.BackendPasswordFile != "" {
		password, err := os.ReadFile(s.BackendPasswordFile)
		if err != nil {
			return secrets, errors.Wrap(err, "backendPasswordFile")
		}
		secrets.BackendPassword = string(bytes.TrimSpace(password))
	}
	for id, text := range s.TrustedKeys {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return secrets, errors.Newf("trustedKeys.%s: not a base64 Ed25519 public key of %d bytes", id, ed25519.PublicKeySize)
		}
		secrets.TrustedKeys[id] = key
	}
	return secrets, nil
}

func readSecret(field, path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, field)
	}
	data = bytes.TrimSpace(data)
	if len(data) < MinSecretBytes {
		return nil, errors.Newf("%s: %s holds %d bytes, want at least %d", field, path, len(data), MinSecretBytes)
	}
	return data, nil
}
