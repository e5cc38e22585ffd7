// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package settings

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// FleetRole is the role of a process on a platform that publishes all data in one store.
type FleetRole string

// The roles of a process.
const (
	Gateway FleetRole = "gateway" // Accepts callers' requests.
	Sidecar FleetRole = "sidecar" // Runs next to a model engine.
)

// Fleet holds the validated settings file of a gateway or a sidecar.
type Fleet struct {
	Name   string
	Role   FleetRole
	Domain string

	CallersAddress   string // Listener for callers; gateways only.
	ReadinessAddress string // Listener for readiness checks; gateways only.
	PeersAddress     string // Listener for datagrams and calls of other processes.
	MetricsAddress   string // Listener for metrics; "" for none.
	SourceIP         string // Source IP address of outgoing connections; "" for any.

	StoreAddress  string   // IP:PORT of the platform's store.
	Seeds         []string // Peer addresses of gateways; some of them may be down.
	FirstStart    bool     // This is the first start of the whole system.
	EngineAddress string   // IP:PORT of the sidecar's engine.
	SidecarsPort  int      // Port on which all sidecars listen for peers.

	RevocationTime     time.Duration // Time after which a revoked key must not be accepted anywhere.
	EffectTime         time.Duration // Time within which a new configuration must take effect.
	GracePeriod        time.Duration // Time from the stop signal until the process is killed.
	RetryShare         float64       // Maximum ratio of retries to requests in RetryWindow.
	RetryWindow        time.Duration
	RetryFloor         float64 // Retries of all gateways together that are allowed in RetryWindow without any requests.
	EngineChecksFences bool    // The engine itself rejects orders with a lower fence.

	SkewPrice            float64 // Price of one second of the whole group's time, in the unit of CopyPrice.
	CopyPrice            float64 // Price of copying one gigabyte of experts.
	LogLevel             string
	ServedLinesPerSecond int     // Maximum log lines per second on successful requests.
	MemoryLimitMB        float64 // Memory limit of the process in megabytes; 0 for no limit.

	LinkRate float64 // Capacity of the instance's network link in bytes per second; 0 when unknown.
}

// ReadRole returns the role set in a settings file, or "" when none is set.
func ReadRole(name string) (role string, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return "", inifile.Problems{{File: name, Text: err.Error()}}
	}
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return "", err
	}
	return f.String("instance", "role", ""), nil
}

// LoadFleet reads and validates a settings file. The error lists all problems found in it.
func LoadFleet(name string) (s *Fleet, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, inifile.Problems{{File: name, Text: err.Error()}}
	}
	return ParseFleet(name, raw)
}

// bytesPerMegabit converts the unit of the setting link-mbps to bytes.
const bytesPerMegabit = 1e6 / 8

// ParseFleet parses and validates the text of a settings file. The error lists all problems found in it.
func ParseFleet(name string, raw []byte) (s *Fleet, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	s = &Fleet{}
	s.Name = f.Required("instance", "name")
	s.Domain = f.Required("instance", "domain")
	s.Role = FleetRole(f.Required("instance", "role"))
	s.MemoryLimitMB = f.Float("instance", "memory-mb", 0, 0, 1<<20)
	s.LinkRate = bytesPerMegabit * f.Float("instance", "link-mbps", 0, 0, 1e6)
	if s.Role != "" && s.Role != Gateway && s.Role != Sidecar {
		f.AddProblem("instance", "role", "%q is neither gateway nor sidecar", s.Role)
	}
	s.readListen(f)
	s.readStore(f)
	s.readBounds(f)
	s.SkewPrice = f.Float("prices", "group-second", 60, 0, 1e9)
	s.CopyPrice = f.Float("prices", "copied-gb", 0.085, 0, 1e9)
	s.LogLevel = f.String("log", "level", "info")
	s.ServedLinesPerSecond = f.Int("log", "served-per-second", 50, 0, 100000)
	return s, f.Problems().Err()
}

func (s *Fleet) readListen(f *inifile.File) {
	const section = "listen"
	gateway := s.Role == Gateway
	s.CallersAddress = readAddress(f, section, "callers", gateway)
	s.ReadinessAddress = readAddress(f, section, "readiness", gateway)
	s.PeersAddress = readAddress(f, section, "peers", true)
	s.MetricsAddress = readAddress(f, section, "metrics", false)
	s.SourceIP = f.String(section, "source", "")
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		f.AddProblem(section, "source", "%q is not an IP address", s.SourceIP)
	}
	s.SidecarsPort = f.Int(section, "sidecars-port", 0, 1, 65535)
	if s.SidecarsPort == 0 {
		f.AddProblem(section, "sidecars-port", "must be set")
	}
}

func (s *Fleet) readStore(f *inifile.File) {
	const section = "platform"
	s.StoreAddress = readAddress(f, section, "store", true)
	s.FirstStart = f.Bool("instance", "first-start", false)
	s.EngineAddress = readAddress(f, section, "engine", s.Role == Sidecar)
	for _, seed := range f.Words(section, "seeds") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.AddProblem(section, "seeds", "%q is not IP:PORT", seed)
		}
		s.Seeds = append(s.Seeds, seed)
	}
}

func (s *Fleet) readBounds(f *inifile.File) {
	const section = "bounds"
	s.RevocationTime = f.Duration(section, "revocation", 5*time.Second)
	s.EffectTime = f.Duration(section, "in-force", 2*time.Second)
	s.GracePeriod = f.Duration(section, "grace", 8*time.Second)
	s.RetryShare = f.Float(section, "retry-share", 0.2, 0, 10)
	s.RetryWindow = f.Duration(section, "retry-window", 10*time.Second)
	s.RetryFloor = f.Float(section, "retry-spare", 0, 0, 1000000)
	s.EngineChecksFences = f.Bool(section, "fences", true)
	for _, bound := range []struct {
		key   string
		value time.Duration
	}{{"revocation", s.RevocationTime}, {"in-force", s.EffectTime}, {"grace", s.GracePeriod}, {"retry-window", s.RetryWindow}} {
		if bound.value <= 0 {
			f.AddProblem(section, bound.key, "must be above 0")
		}
	}
}
