// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package settings reads the settings of one process from an INI file: its name and role,
// the addresses on which it listens and those of the platform's services. The published
// configuration, which all processes share, is not part of it.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// Settings holds the validated settings file of an entry or an endpoint agent.
type Settings struct {
	Name     string
	Role     adapter.Role
	Domain   string
	Endpoint string // Name of the endpoint that an agent serves; "" for entries.

	CallersAddress    string // Listener for callers; entries only.
	PeersAddress      string
	OperatorsAddress  string
	AdvertisedAddress string // Address under which peers reach the process; PeersAddress when not set.
	SourceIP          string // Source IP address of outgoing connections; "" for any.

	ConfigServiceURL string
	InstancesURL     string
	OperatorKey      ed25519.PublicKey
	Seeds            []string // Addresses of peers to contact before the list of instances is read.

	EngineURL          string // Base URL; an agent has either EngineURL or ServiceURL.
	ServiceURL         string
	QueueCapacity      int           // Maximum number of queued requests.
	MinLimit           int           // Lowest concurrency limit.
	MaxLimit           int           // Highest concurrency limit.
	StepTarget         time.Duration // Step time of the engine above which the concurrency limit falls.
	EngineChecksFences bool          // The engine itself checks the ballots of orders.
	KeyRetention       time.Duration // How long idempotency keys are stored.
	MaxKeys            int           // Maximum number of stored idempotency keys.

	GossipInterval time.Duration // Time between two probes of peers.
	SuspectAfter   time.Duration // Time from suspicion until a process is declared dead, in a small system.
	StallAfter     time.Duration // Time without a token or a new step number of an engine after which its requests may be moved.
	ClockSkew      time.Duration // Maximum difference between the clocks of two processes.

	CA          string
	Certificate string
	PrivateKey  string

	LogLevel string
	Pprof    bool
}

// Load reads and validates a settings file. The error lists all problems found in it.
func Load(name string) (s *Settings, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, inifile.Problems{{File: name, Text: err.Error()}}
	}
	return Parse(name, raw)
}

// Parse parses and validates the text of a settings file. The error lists all problems found in it.
func Parse(name string, raw []byte) (s *Settings, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	s = &Settings{}
	s.readInstance(f)
	s.readListen(f)
	s.readPlatform(f)
	s.readEndpoint(f)
	s.readTiming(f)
	s.readTLS(f)
	s.LogLevel = f.String("log", "level", "info")
	s.Pprof = f.Bool("log", "pprof", false)
	return s, f.Problems().Err()
}

func (s *Settings) readInstance(f *inifile.File) {
	const section = "instance"
	s.Name = f.Required(section, "name")
	s.Domain = f.Required(section, "domain")
	s.Role = adapter.Role(f.Required(section, "role"))
	s.Endpoint = f.String(section, "endpoint", "")
	switch s.Role {
	case adapter.RoleEntry:
		if s.Endpoint != "" {
			f.AddProblem(section, "endpoint", "is set, but the role is entry")
		}
	case adapter.RoleEndpoint:
		if s.Endpoint == "" {
			f.AddProblem(section, "endpoint", "must be set for the role endpoint")
		}
	case "":
	default:
		f.AddProblem(section, "role", "%q is neither entry nor endpoint", s.Role)
	}
}

func (s *Settings) readListen(f *inifile.File) {
	const section = "listen"
	s.PeersAddress = readAddress(f, section, "peers", true)
	s.OperatorsAddress = readAddress(f, section, "operators", true)
	s.CallersAddress = readAddress(f, section, "callers", s.Role == adapter.RoleEntry)
	if s.CallersAddress != "" && s.Role == adapter.RoleEndpoint {
		f.AddProblem(section, "callers", "is set, but the role is endpoint")
	}
	s.AdvertisedAddress = readAddress(f, section, "advertise", false)
	s.SourceIP = f.String(section, "source", "")
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		f.AddProblem(section, "source", "%q is not an IP address", s.SourceIP)
	}
}

// readAddress reads an address of the form IP:PORT.
func readAddress(f *inifile.File, section, key string, required bool) string {
	v := f.String(section, key, "")
	if v == "" {
		if required {
			f.AddProblem(section, key, "must be set")
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		f.AddProblem(section, key, "%q is not IP:PORT", v)
	}
	return v
}

// readBaseURL reads an http or https URL whose host is an IP address, without a trailing slash.
func readBaseURL(f *inifile.File, section, key string, required bool) string {
	v := f.String(section, key, "")
	if v == "" {
		if required {
			f.AddProblem(section, key, "must be set")
		}
		return ""
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || net.ParseIP(u.Hostname()) == nil {
		f.AddProblem(section, key, "%q is not http://IP:PORT or https://IP:PORT", v)
	}
	return strings.TrimSuffix(v, "/")
}

func (s *Settings) readPlatform(f *inifile.File) {
	const section = "platform"
	s.ConfigServiceURL = readBaseURL(f, section, "config-service", true)
	s.InstancesURL = readBaseURL(f, section, "instances", true)
	for _, seed := range f.Words(section, "seeds") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.AddProblem(section, "seeds", "%q is not IP:PORT", seed)
		}
		s.Seeds = append(s.Seeds, seed)
	}
	v := f.Required(section, "operator-key")
	if v == "" {
		return
	}
	key, err := base64.StdEncoding.DecodeString(v)
	if err != nil || len(key) != ed25519.PublicKeySize {
		f.AddProblem(section, "operator-key", "is not a base64 Ed25519 public key")
	}
	s.OperatorKey = key
}

func (s *Settings) readEndpoint(f *inifile.File) {
	const section = "endpoint"
	s.EngineURL = readBaseURL(f, section, "engine", false)
	s.ServiceURL = readBaseURL(f, section, "service", false)
	agent := s.Role == adapter.RoleEndpoint
	if agent && (s.EngineURL == "") == (s.ServiceURL == "") {
		f.AddProblem(section, "", "exactly one of engine and service must be set")
	}
	if !agent && f.HasSection(section) {
		f.AddProblem(section, "", "is set, but the role is entry")
	}
	s.QueueCapacity = f.Int(section, "queue", 256, 1, 100000)
	s.MinLimit = f.Int(section, "min-concurrency", 4, 1, 100000)
	s.MaxLimit = f.Int(section, "max-concurrency", 64, 1, 100000)
	if s.MinLimit > s.MaxLimit {
		f.AddProblem(section, "min-concurrency", "is above max-concurrency")
	}
	s.StepTarget = f.Duration(section, "step-target", 44*time.Millisecond)
	s.EngineChecksFences = f.Bool(section, "fences", true)
	s.KeyRetention = f.Duration(section, "key-window", 10*time.Minute)
	s.MaxKeys = f.Int(section, "keys", 100000, 1, 10000000)
}

func (s *Settings) readTiming(f *inifile.File) {
	const section = "timing"
	s.GossipInterval = f.Duration(section, "gossip-interval", time.Second)
	s.SuspectAfter = f.Duration(section, "suspect-after", 3*time.Second)
	s.StallAfter = f.Duration(section, "stall-after", 2*time.Second)
	s.ClockSkew = f.Duration(section, "clock-skew", time.Second)
	if s.GossipInterval == 0 {
		f.AddProblem(section, "gossip-interval", "must be above 0")
	}
}

func (s *Settings) readTLS(f *inifile.File) {
	const section = "tls"
	s.CA = readFilePath(f, section, "ca")
	s.Certificate = readFilePath(f, section, "certificate")
	s.PrivateKey = readFilePath(f, section, "private-key")
	if !f.HasSection(section) {
		return
	}
	for _, setting := range []struct{ key, value string }{
		{"ca", s.CA}, {"certificate", s.Certificate}, {"private-key", s.PrivateKey},
	} {
		if setting.value == "" {
			f.AddProblem(section, setting.key, "must be set together with the others")
		}
	}
}

// readFilePath reads the path of a file that must exist.
func readFilePath(f *inifile.File, section, key string) string {
	v := f.String(section, key, "")
	if v == "" {
		return ""
	}
	if _, err := os.Stat(v); err != nil {
		f.AddProblem(section, key, "%v", err)
	}
	return v
}
