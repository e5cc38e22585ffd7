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

	CallersAddress    string // Entry only.
	PeersAddress      string
	OperatorsAddress  string
	AdvertisedAddress string // Peer address that others use; Peers when not set.
	SourceIP          string // IP number that connections to others come from; "" for any.

	ConfigServiceURL string
	InstancesURL     string
	OperatorKey      ed25519.PublicKey
	Seeds            []string // Peer addresses to ask before the list is read.

	EngineURL          string // Base URL; an agent has Engine or Service.
	ServiceURL         string
	QueueCapacity      int
	MinLimit           int
	MaxLimit           int
	StepTarget         time.Duration
	EngineChecksFences bool          // The engine checks the ballots of orders by itself.
	KeyRetention       time.Duration // How long idempotency keys are remembered.
	MaxKeys            int           // Idempotency keys remembered at most.

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
	s.PeersAddress = address(f, section, "peers", true)
	s.OperatorsAddress = address(f, section, "operators", true)
	s.CallersAddress = address(f, section, "callers", s.Role == adapter.RoleEntry)
	if s.CallersAddress != "" && s.Role == adapter.RoleEndpoint {
		f.AddProblem(section, "callers", "is set, but the role is endpoint")
	}
	s.AdvertisedAddress = address(f, section, "advertise", false)
	s.SourceIP = f.String(section, "source", "")
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		f.AddProblem(section, "source", "%q is not an IP number", s.SourceIP)
	}
}

// address reads an IP number and port.
func address(f *inifile.File, section, key string, required bool) string {
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

// baseURL reads an http or https URL with an IP number.
func baseURL(f *inifile.File, section, key string, required bool) string {
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
	s.ConfigServiceURL = baseURL(f, section, "config-service", true)
	s.InstancesURL = baseURL(f, section, "instances", true)
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
	s.EngineURL = baseURL(f, section, "engine", false)
	s.ServiceURL = baseURL(f, section, "service", false)
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
	s.CA = existing(f, section, "ca")
	s.Certificate = existing(f, section, "certificate")
	s.PrivateKey = existing(f, section, "private-key")
	if !f.HasSection(section) {
		return
	}
	for _, one := range []struct{ key, value string }{
		{"ca", s.CA}, {"certificate", s.Certificate}, {"private-key", s.PrivateKey},
	} {
		if one.value == "" {
			f.AddProblem(section, one.key, "must be set beside the others")
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
		f.AddProblem(section, key, "%v", err)
	}
	return v
}
