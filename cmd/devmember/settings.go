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

// settings holds the settings of devmember. Each one is a flag and a YAML key.
type settings struct {
	Listen            string `yaml:"listen"`
	ReplicationListen string `yaml:"replicationListen"`
	// ControlListen is the address of the HTTP endpoint that injects faults; it is
	// disabled if empty.
	ControlListen string `yaml:"controlListen"`
	// Peers maps the names of the group's other members to their replication
	// addresses.
	Peers     map[string]string `yaml:"fellows"`
	Group     string            `yaml:"group"`
	Name      string            `yaml:"name"`
	Role      string            `yaml:"role"`
	Term      uint64            `yaml:"term"`
	Directory string            `yaml:"directory"`
	// Connections is the maximum number of ordinary connections.
	Connections int `yaml:"connections"`
	// Slots is the maximum number of statements that run concurrently.
	Slots int `yaml:"slots"`
	// ConnectCostMS is the time in milliseconds that opening a connection takes.
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
	f.StringVar(&s.ControlListen, "control-listen", s.ControlListen, "TCP address of the HTTP endpoint that injects faults (default: disabled)")
	f.StringToStringVar(&s.Peers, "fellow", s.Peers, "replication address of another member, as name=host:port; repeatable")
	f.StringVar(&s.Group, "group", s.Group, "name of the database group")
	f.StringVar(&s.Name, "name", s.Name, "name of the member")
	f.StringVar(&s.Role, "role", s.Role, "role of a member without stored state: primary or replica")
	f.Uint64Var(&s.Term, "term", s.Term, "term of a primary without stored state")
	f.StringVar(&s.Directory, "directory", s.Directory, "directory of the state (default: a temporary one)")
	f.IntVar(&s.Connections, "connections", s.Connections, "maximum number of ordinary connections")
	f.IntVar(&s.Slots, "slots", s.Slots, "maximum number of statements that run concurrently")
	f.IntVar(&s.ConnectCostMS, "connect-cost-ms", s.ConnectCostMS, "time in ms that opening a connection takes")
	f.DurationVar(&s.ApplyLag, "apply-lag", s.ApplyLag, "age at which a replica applies a log entry")
	f.DurationVar(&s.NetworkDelay, "network-delay", s.NetworkDelay, "one-way network delay of every connection")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "lowest level that is logged")
}

// load reads the settings file. Flags given on the command line take precedence.
func (s *settings) load(path string, flags *pflag.FlagSet) error {
	setFlags := map[string]string{}
	flags.Visit(func(f *pflag.Flag) { setFlags[f.Name] = f.Value.String() })
	peers := s.Peers
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "decode settings %s", path)
	}
	for name, value := range setFlags {
		if name == "fellow" {
			s.Peers = peers
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
	// member.Options takes 0 as the default cost and a negative value as none.
	if cost == 0 {
		cost = -1
	}
	return member.Options{
		Listen: s.Listen, ReplicationListen: s.ReplicationListen, Peers: s.Peers,
		Group: s.Group, Name: s.Name, Role: group.Role(s.Role), Term: s.Term, Directory: s.Directory,
		MaxConnections: s.Connections, Slots: s.Slots, ConnectCost: cost,
		ApplyLag: s.ApplyLag, NetworkDelay: s.NetworkDelay, Log: logger,
	}, nil
}
