// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package settings

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// FleetRole is what a process does on a platform that publishes everything in
// one store.
type FleetRole string

// The roles.
const (
	Gateway FleetRole = "gateway" // Takes callers.
	Sidecar FleetRole = "sidecar" // Stands beside a model engine.
)

// Fleet is the checked settings file of a gateway or a sidecar.
type Fleet struct {
	Name   string
	Role   FleetRole
	Domain string

	CallersAddress   string // Gateway only.
	ReadinessAddress string // Gateway only.
	PeersAddress     string // Datagrams and calls of other processes.
	MetricsAddress   string // "" for none.
	SourceIP         string // IP number that connections come from; "" for any.

	StoreAddress  string   // IP:PORT of the platform's store.
	Seeds         []string // Peer addresses of gateways, which may be down.
	FirstStart    bool     // The whole system starts for the first time.
	EngineAddress string   // IP:PORT of the engine beside a sidecar.
	SidecarsPort  int      // Port on which sidecars listen, alike everywhere.

	RevocationTime     time.Duration // After which a key that was taken away must not count anywhere.
	EffectTime         time.Duration // In which a new configuration must be in force.
	GracePeriod        time.Duration // From the signal to stop until the process is killed.
	RetryShare         float64       // Repeats by requests, in RetryWindow.
	RetryWindow        time.Duration
	RetryFloor         float64 // Repeats of all gateways together that need no request, in RetryWindow.
	EngineChecksFences bool

	SkewPrice            float64 // Worth of one second's whole group time, in the unit of the other prices.
	CopyPrice            float64 // Of a gigabyte of copied experts.
	LogLevel             string
	ServedLinesPerSecond int     // Lines on requests that went well, a second.
	MemoryLimitMB        float64 // Megabytes that the process may hold; 0 for no bound.

	LinkRate float64 // Bytes a second that the instance's link carries; 0 when not known.
}

// ReadRole returns the role that a settings file names, "" when it names none.
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

// LoadFleet reads the file and returns every fault in it together.
func LoadFleet(name string) (s *Fleet, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, inifile.Problems{{File: name, Text: err.Error()}}
	}
	return ParseFleet(name, raw)
}

// bytesInMegabit turns the unit in which links are told into bytes.
const bytesInMegabit = 1e6 / 8

// ParseFleet checks the text of a settings file.
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
	s.LinkRate = bytesInMegabit * f.Float("instance", "link-mbps", 0, 0, 1e6)
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
	s.CallersAddress = address(f, section, "callers", gateway)
	s.ReadinessAddress = address(f, section, "readiness", gateway)
	s.PeersAddress = address(f, section, "peers", true)
	s.MetricsAddress = address(f, section, "metrics", false)
	s.SourceIP = f.String(section, "source", "")
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		f.AddProblem(section, "source", "%q is not an IP number", s.SourceIP)
	}
	s.SidecarsPort = f.Int(section, "sidecars-port", 0, 1, 65535)
	if s.SidecarsPort == 0 {
		f.AddProblem(section, "sidecars-port", "must be set")
	}
}

func (s *Fleet) readStore(f *inifile.File) {
	const section = "platform"
	s.StoreAddress = address(f, section, "store", true)
	s.FirstStart = f.Bool("instance", "first-start", false)
	s.EngineAddress = address(f, section, "engine", s.Role == Sidecar)
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
	for _, one := range []struct {
		key   string
		value time.Duration
	}{{"revocation", s.RevocationTime}, {"in-force", s.EffectTime}, {"grace", s.GracePeriod}, {"retry-window", s.RetryWindow}} {
		if one.value <= 0 {
			f.AddProblem(section, one.key, "must be above 0")
		}
	}
}
