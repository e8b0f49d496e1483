package config

import (
	"fmt"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

// Defaults of the gateway's settings.
const (
	DefaultRevocationBound = 5 * time.Second
	DefaultGracePeriod     = 6 * time.Second
	// minRevocationBound allows for two responses of the store.
	minRevocationBound = 3 * time.Second
	minGracePeriod     = 3 * time.Second
	// maxLimitWindow and maxLimitSlack, in operations, bound limitTolerance.
	maxLimitWindow = time.Hour
	maxLimitSlack  = 1_000_000
	// minUsageWindow and maxUsageWindow bound usageReports.window. Counts are sent once a
	// second, so that shorter windows would end before their counts have been sent. Of longer
	// ones gatherers would forget counts that may still have to be reported.
	minUsageWindow, maxUsageWindow = time.Second, usage.MaxWindowLength
	// minUsageLateness allows for asking the gatherers until 3.5 s after the end of a window,
	// and for two responses of the store and the platform. maxUsageLateness is a day.
	minUsageLateness, maxUsageLateness = 5 * time.Second, 24 * time.Hour
	// maxCapacity is in cores.
	maxCapacity = 1024
	// DefaultMemoryMB suits the smallest machines that are supported.
	DefaultMemoryMB = 256
	// minMemoryMB is what a small instance needs without large statements, and maxMemoryMB is
	// 1 TiB.
	minMemoryMB, maxMemoryMB = 64, 1 << 20
)

// GateSettings are the settings of one gateway daemon.
type GateSettings struct {
	// ID is the instance's identifier. It must be unique in the fleet.
	ID string `yaml:"id"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone"`
	// Capacity is the processor share of the machine, in cores; 0 if unknown. In a fleet
	// of unequal machines, those with more capacity do more of the common work.
	Capacity float64 `yaml:"capacity"`
	// MemoryMB is the memory in MiB that the process may use before the machine ends it.
	MemoryMB int64 `yaml:"memoryMb"`
	// ClientAddress, ReadinessAddress and PeerAddress are IP addresses with ports
	// to listen on; MetricsAddress may be empty.
	ClientAddress    string `yaml:"clientAddress"`
	ReadinessAddress string `yaml:"readinessAddress"`
	PeerAddress      string `yaml:"peerAddress"`
	MetricsAddress   string `yaml:"metricsAddress"`
	// PeerAdvertisedAddress is the address at which other instances reach this one, if
	// it differs from PeerAddress.
	PeerAdvertisedAddress string `yaml:"peerAdvertisedAddress"`
	// StoreAddress and DutyAddress are the addresses of the platform's store and
	// promotion service.
	StoreAddress string `yaml:"storeAddress"`
	DutyAddress  string `yaml:"dutyAddress"`
	// FirstStart says that the whole fleet is being started for the first time.
	FirstStart bool `yaml:"firstStart"`
	// RevocationBound is the maximum time for which a removed client key is still
	// accepted.
	RevocationBound Duration `yaml:"revocationBound"`
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod Duration `yaml:"gracePeriod"`
	// LimitTolerance is what the platform tolerates beyond the workspaces' limits; by
	// default nothing.
	LimitTolerance LimitTolerance `yaml:"limitTolerance"`
	// ServingScope says for what serving sets of instances are chosen: "group" or "member".
	ServingScope string `yaml:"servingScope"`
	// Duties are the platform's names of the calls that it expects of the fleet.
	Duties []string `yaml:"duties"`
	// UsageReports says what the platform requires of usage reports; by default none are
	// sent.
	UsageReports UsageReports `yaml:"usageReports"`
	// LogLevel is a logrus level.
	LogLevel string `yaml:"logLevel"`
}

// UsageReports says what the platform requires of usage reports: one for each Window, at
// most Lateness after its end, with counts that deviate from the true ones by at most the
// fraction Tolerance. A Window of 0 means that there are no reports.
type UsageReports struct {
	Window    Duration `yaml:"window"`
	Lateness  Duration `yaml:"lateness"`
	Tolerance float64  `yaml:"tolerance"`
}

// LimitTolerance is what the platform tolerates beyond a workspace's limit in any period
// of Window: the fraction Overage of what the limit allows in it, and Slack operations.
type LimitTolerance struct {
	Window  Duration `yaml:"window"`
	Overage float64  `yaml:"overage"`
	Slack   float64  `yaml:"slack"`
}

// LoadGate reads and validates the settings file of a gateway.
func LoadGate(path string) (GateSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return GateSettings{}, errors.Wrap(err, "settings")
	}
	return ParseGate(path, data)
}

// ParseGate decodes the settings, sets defaults and validates every field. The error
// names the file, the line and the field of each invalid value.
func ParseGate(path string, data []byte) (GateSettings, error) {
	s := GateSettings{
		MemoryMB: DefaultMemoryMB, RevocationBound: Duration(DefaultRevocationBound), GracePeriod: Duration(DefaultGracePeriod), ServingScope: placement.ServingByGroup.String(), LogLevel: DefaultLogLevel,
	}
	err := decode(path, data, &s, func() []fieldError { return s.validate() })
	return s, err
}

func (s *GateSettings) validate() []fieldError {
	var list []fieldError
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			list = append(list, fieldError{field, fmt.Sprintf(format, args...)})
		}
	}
	check(s.ID != "", "id", "must not be empty")
	check(s.Zone != "", "zone", "must not be empty")
	check(s.Capacity >= 0 && s.Capacity <= maxCapacity, "capacity", "must be between 0 and %d cores", maxCapacity)
	check(s.MemoryMB >= minMemoryMB && s.MemoryMB <= maxMemoryMB, "memoryMb", "must be between %d and %d", minMemoryMB, maxMemoryMB)
	for _, a := range []struct {
		field, value string
		optional     bool
	}{
		{"clientAddress", s.ClientAddress, false}, {"readinessAddress", s.ReadinessAddress, false},
		{"peerAddress", s.PeerAddress, false}, {"metricsAddress", s.MetricsAddress, true},
		{"peerAdvertisedAddress", s.PeerAdvertisedAddress, true},
		{"storeAddress", s.StoreAddress, false}, {"dutyAddress", s.DutyAddress, false},
	} {
		_, err := netip.ParseAddrPort(a.value)
		check(err == nil || (a.optional && a.value == ""), a.field, "%q is not an IP address and port", a.value)
	}
	t := s.LimitTolerance
	check(t.Window >= 0 && time.Duration(t.Window) <= maxLimitWindow, "limitTolerance.window", "must be between 0 and %s", maxLimitWindow)
	check(t.Overage >= 0 && t.Overage <= 1, "limitTolerance.overage", "must be between 0 and 1")
	check(t.Slack >= 0 && t.Slack <= maxLimitSlack, "limitTolerance.slack", "must be between 0 and %d operations", maxLimitSlack)
	_, err := placement.ParseServingScope(s.ServingScope)
	check(err == nil, "servingScope", "must be %q or %q", placement.ServingByGroup, placement.ServingByMember)
	if u := s.UsageReports; u.Window != 0 {
		window, lateness := time.Duration(u.Window), time.Duration(u.Lateness)
		check(window >= minUsageWindow && window <= maxUsageWindow && window%time.Millisecond == 0, "usageReports.window", "must be 0, or whole milliseconds between %s and %s", minUsageWindow, maxUsageWindow)
		check(lateness >= minUsageLateness && lateness <= maxUsageLateness, "usageReports.lateness", "must be between %s and %s", minUsageLateness, maxUsageLateness)
		check(u.Tolerance >= 0 && u.Tolerance <= 1, "usageReports.tolerance", "must be between 0 and 1")
	}
	check(time.Duration(s.RevocationBound) >= minRevocationBound, "revocationBound", "must be at least %s", minRevocationBound)
	check(time.Duration(s.GracePeriod) >= minGracePeriod, "gracePeriod", "must be at least %s", minGracePeriod)
	return list
}
