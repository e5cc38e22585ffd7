// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package settings reads the daemon's own settings from an INI file: who it is,
// where it listens and how it reaches the platform. It is not the published
// configuration, which every process shares.
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

// Settings is one checked settings file.
type Settings struct {
	Name     string
	Role     adapter.Role
	Domain   string
	Endpoint string // Slot that an agent fills; "" for entries.

	Callers   string // Entry only.
	Peers     string
	Operators string
	Advertise string // Peer address that others use; Peers when not set.
	Source    string // IP number that connections to others come from; "" for any.

	ConfigService string
	Instances     string
	OperatorKey   ed25519.PublicKey
	Seeds         []string // Peer addresses to ask before the list is read.

	Engine     string // Base URL; an agent has Engine or Service.
	Service    string
	Queue      int
	MinLimit   int
	MaxLimit   int
	StepTarget time.Duration
	Fences     bool          // The engine checks the ballots of orders by itself.
	KeyWindow  time.Duration // How long idempotency keys are remembered.
	Keys       int           // Idempotency keys remembered at most.

	GossipInterval time.Duration
	SuspectAfter   time.Duration
	StallAfter     time.Duration // Silence of an engine after which its work may move.
	ClockSkew      time.Duration

	CA          string
	Certificate string
	PrivateKey  string

	LogLevel string
	Pprof    bool
}

// Load reads the file and returns every fault in it together.
func Load(name string) (s *Settings, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, inifile.Problems{{File: name, Text: err.Error()}}
	}
	return Parse(name, raw)
}

// Parse checks the text of a settings file.
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
			f.Fault(section, "endpoint", "is set, but the role is entry")
		}
	case adapter.RoleEndpoint:
		if s.Endpoint == "" {
			f.Fault(section, "endpoint", "must be set for the role endpoint")
		}
	case "":
	default:
		f.Fault(section, "role", "%q is neither entry nor endpoint", s.Role)
	}
}

func (s *Settings) readListen(f *inifile.File) {
	const section = "listen"
	s.Peers = address(f, section, "peers", true)
	s.Operators = address(f, section, "operators", true)
	s.Callers = address(f, section, "callers", s.Role == adapter.RoleEntry)
	if s.Callers != "" && s.Role == adapter.RoleEndpoint {
		f.Fault(section, "callers", "is set, but the role is endpoint")
	}
	s.Advertise = address(f, section, "advertise", false)
	s.Source = f.String(section, "source", "")
	if s.Source != "" && net.ParseIP(s.Source) == nil {
		f.Fault(section, "source", "%q is not an IP number", s.Source)
	}
}

// address reads an IP number and port.
func address(f *inifile.File, section, key string, required bool) string {
	v := f.String(section, key, "")
	if v == "" {
		if required {
			f.Fault(section, key, "must be set")
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		f.Fault(section, key, "%q is not IP:PORT", v)
	}
	return v
}

// baseURL reads an http or https URL with an IP number.
func baseURL(f *inifile.File, section, key string, required bool) string {
	v := f.String(section, key, "")
	if v == "" {
		if required {
			f.Fault(section, key, "must be set")
		}
		return ""
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || net.ParseIP(u.Hostname()) == nil {
		f.Fault(section, key, "%q is not http://IP:PORT or https://IP:PORT", v)
	}
	return strings.TrimSuffix(v, "/")
}

func (s *Settings) readPlatform(f *inifile.File) {
	const section = "platform"
	s.ConfigService = baseURL(f, section, "config-service", true)
	s.Instances = baseURL(f, section, "instances", true)
	for _, seed := range f.Words(section, "seeds") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.Fault(section, "seeds", "%q is not IP:PORT", seed)
		}
		s.Seeds = append(s.Seeds, seed)
	}
	v := f.Required(section, "operator-key")
	if v == "" {
		return
	}
	key, err := base64.StdEncoding.DecodeString(v)
	if err != nil || len(key) != ed25519.PublicKeySize {
		f.Fault(section, "operator-key", "is not a base64 Ed25519 public key")
	}
	s.OperatorKey = key
}

func (s *Settings) readEndpoint(f *inifile.File) {
	const section = "endpoint"
	s.Engine = baseURL(f, section, "engine", false)
	s.Service = baseURL(f, section, "service", false)
	agent := s.Role == adapter.RoleEndpoint
	if agent && (s.Engine == "") == (s.Service == "") {
		f.Fault(section, "", "exactly one of engine and service must be set")
	}
	if !agent && f.Has(section) {
		f.Fault(section, "", "is set, but the role is entry")
	}
	s.Queue = f.Int(section, "queue", 256, 1, 100000)
	s.MinLimit = f.Int(section, "min-concurrency", 4, 1, 100000)
	s.MaxLimit = f.Int(section, "max-concurrency", 64, 1, 100000)
	if s.MinLimit > s.MaxLimit {
		f.Fault(section, "min-concurrency", "is above max-concurrency")
	}
	s.StepTarget = f.Duration(section, "step-target", 44*time.Millisecond)
	s.Fences = f.Bool(section, "fences", true)
	s.KeyWindow = f.Duration(section, "key-window", 10*time.Minute)
	s.Keys = f.Int(section, "keys", 100000, 1, 10000000)
}

func (s *Settings) readTiming(f *inifile.File) {
	const section = "timing"
	s.GossipInterval = f.Duration(section, "gossip-interval", time.Second)
	s.SuspectAfter = f.Duration(section, "suspect-after", 3*time.Second)
	s.StallAfter = f.Duration(section, "stall-after", 2*time.Second)
	s.ClockSkew = f.Duration(section, "clock-skew", time.Second)
	if s.GossipInterval == 0 {
		f.Fault(section, "gossip-interval", "must be above 0")
	}
}

func (s *Settings) readTLS(f *inifile.File) {
	const section = "tls"
	s.CA = existing(f, section, "ca")
	s.Certificate = existing(f, section, "certificate")
	s.PrivateKey = existing(f, section, "private-key")
	if !f.Has(section) {
		return
	}
	for _, one := range []struct{ key, value string }{
		{"ca", s.CA}, {"certificate", s.Certificate}, {"private-key", s.PrivateKey},
	} {
		if one.value == "" {
			f.Fault(section, one.key, "must be set beside the others")
		}
	}
}

// existing reads the name of a file that must be readable.
func existing(f *inifile.File, section, key string) string {
	v := f.String(section, key, "")
	if v == "" {
		return ""
	}
	if _, err := os.Stat(v); err != nil {
		f.Fault(section, key, "%v", err)
	}
	return v
}
