package main

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

// settings are the settings of devmember, as flags and as YAML.
type settings struct {
	Listen            string `yaml:"listen"`
	ReplicationListen string `yaml:"replicationListen"`
	// ControlListen is the address of the HTTP endpoint for faults; empty for none.
	ControlListen string `yaml:"controlListen"`
	// Fellows are the replication addresses of the other members, by name.
	Fellows   map[string]string `yaml:"fellows"`
	Group     string            `yaml:"group"`
	Name      string            `yaml:"name"`
	Role      string            `yaml:"role"`
	Term      uint64            `yaml:"term"`
	Directory string            `yaml:"directory"`
	// Connections is the limit of ordinary connections.
	Connections int `yaml:"connections"`
	// Slots is the number of statements that run at once.
	Slots int `yaml:"slots"`
	// ConnectCostMS is the time in milliseconds that a new connection takes.
	ConnectCostMS int           `yaml:"connectCostMs"`
	ApplyLag      time.Duration `yaml:"applyLag"`
	NetworkDelay  time.Duration `yaml:"networkDelay"`
	LogLevel      string        `yaml:"logLevel"`
}

func defaults() settings {
	return settings{
		Role: string(group.Replica), Term: member.DefaultTerm, Connections: member.DefaultMaxConnections,
		Slots: member.DefaultSlots, ConnectCostMS: int(member.DefaultConnectCost / time.Millisecond), LogLevel: "info",
	}
}

func (s *settings) addFlags(f *pflag.FlagSet) {
	f.StringVar(&s.Listen, "listen", s.Listen, "TCP address for clients (default: a free loopback port)")
	f.StringVar(&s.ReplicationListen, "replication-listen", s.ReplicationListen, "TCP address for the group's primary (default: a free loopback port)")
	f.StringVar(&s.ControlListen, "control-listen", s.ControlListen, "TCP address of the HTTP endpoint for faults (default: none)")
	f.StringToStringVar(&s.Fellows, "fellow", s.Fellows, "replication address of another member, as name=host:port; repeatable")
	f.StringVar(&s.Group, "group", s.Group, "name of the database group")
	f.StringVar(&s.Name, "name", s.Name, "name of the member")
	f.StringVar(&s.Role, "role", s.Role, "role of a member without stored state: primary or replica")
	f.Uint64Var(&s.Term, "term", s.Term, "term of a primary without stored state")
	f.StringVar(&s.Directory, "directory", s.Directory, "directory of the state (default: a temporary one)")
	f.IntVar(&s.Connections, "connections", s.Connections, "limit of ordinary connections")
	f.IntVar(&s.Slots, "slots", s.Slots, "number of statements that run at once")
	f.IntVar(&s.ConnectCostMS, "connect-cost-ms", s.ConnectCostMS, "time in ms that a new connection takes")
	f.DurationVar(&s.ApplyLag, "apply-lag", s.ApplyLag, "age at which a replica applies an entry")
	f.DurationVar(&s.NetworkDelay, "network-delay", s.NetworkDelay, "one-way delay of every connection")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "least severe level that is logged")
}

// load reads the file; flags given on the command line take precedence.
func (s *settings) load(path string, flags *pflag.FlagSet) error {
	given := map[string]string{}
	flags.Visit(func(f *pflag.Flag) { given[f.Name] = f.Value.String() })
	fellows := s.Fellows
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	for name, value := range given {
		if name == "fellow" {
			s.Fellows = fellows
			continue
		}
		if err := flags.Set(name, value); err != nil {
			return errors.Wrapf(err, "flag --%s", name)
		}
	}
	return nil
}

func (s *settings) options() (member.Options, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return member.Options{}, errors.Wrap(err, "logLevel")
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetLevel(level)
	cost := time.Duration(s.ConnectCostMS) * time.Millisecond
	if cost == 0 {
		cost = -1
	}
	return member.Options{
		Listen: s.Listen, ReplicationListen: s.ReplicationListen, Fellows: s.Fellows,
		Group: s.Group, Name: s.Name, Role: group.Role(s.Role), Term: s.Term, Directory: s.Directory,
		MaxConnections: s.Connections, Slots: s.Slots, ConnectCost: cost,
		ApplyLag: s.ApplyLag, NetworkDelay: s.NetworkDelay, Log: logger,
	}, nil
}
