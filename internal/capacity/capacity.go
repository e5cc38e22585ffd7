// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package capacity works out what a site of a given size costs, from slopes
// that were measured. It measures nothing itself: each slope names the command
// that gave it, and docs/CAPACITY.md gives the figures beside it.
package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// Site is the size of a site.
type Site struct {
	Entries               float64
	Agents                float64
	Domains               float64
	Customers             float64
	PublishedValues       float64 // Published values.
	ChangesPerDay         float64 // Of configuration, a day.
	RequestsPerSecond     float64 // A second.
	TokensPerSecond       float64 // A second.
	ServiceCallsPerSecond float64 // What the configuration service bears, a second.
	HotCustomers          float64 // Near their limit at one entry.
	StreamSeconds         float64 // Mean time that a stream lives.
	Layers                float64
	PlanIntervalSeconds   float64 // Seconds between two plans of a group.
}

// Targets of a node.
const (
	TargetMemoryMB       = 64
	TargetCores          = 0.012
	TargetBytesPerSecond = 11_000
	TargetCallShare      = 0.1
	TargetEffectTime     = 3 * time.Second
)

// Slope is a measured figure.
type Slope struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Command string  `json:"command"`
}

// The slopes. Machine: 8 cores, 24 GB, Linux 6.18 in a virtual machine.
var (
	memoryBase   = Slope{"memory of an idle process", 22.3, "MB", "go test ./internal/e2e -run xxx -bench Fleet -benchtime 1x (24 processes)"}
	memoryMember = Slope{"memory a member", 0.0046, "MB", "the same, 24 to 192 processes"}
	memoryConfig = Slope{"memory a published value", 1.672 / 1642, "MB", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	memoryStream = Slope{"memory a live stream", 0.0077, "MB", "go test ./internal/e2e -run xxx -bench Relay -benchtime 2x (1,000 streams, the highest seen)"}
	coreBase     = Slope{"processor of an idle process", 0.0058, "core", "go test ./internal/e2e -run xxx -bench Fleet -benchtime 1x (the highest of 24 to 192 processes)"}
	coreMember   = Slope{"processor of decisions a member", 1022e-6 / 2980, "core", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
	coreChange   = Slope{"processor of one change of configuration", 0.00496 / 1642, "core s a value", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	corePlan     = Slope{"processor of one plan", 0.0380 / 60, "core s a layer (256 ranks, 64 experts, 2 slots)", "go test ./internal/decide/rebalance -run xxx -bench Plan -cpu 1"}
	coreEntry    = Slope{"processor of the entry a token", 39.8e-6, "core s", "go test ./internal/e2e -run xxx -bench Relay -benchtime 3x (200 streams)"}
	coreAgent    = Slope{"processor of the agent a token", 37.5e-6, "core s", "the same"}
	gossipBytes  = Slope{"bytes sent a process", 965, "B/s", "canvaspulley experiment members --nodes 2980 --domains 21 --seconds 25"}
	gossipSent   = Slope{"messages sent a process", 2.37, "1/s", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
	deltaBytes   = Slope{"bytes told of one change", 400, "B", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	pushes       = Slope{"exchanges at one change", 4, "messages", "fan-out of the daemon and the fetch"}
	exchange     = Slope{"bytes of one exchange", 800, "B", "canvaspulley experiment members: bytes by messages, both ways"}
	listRead     = Slope{"bytes of reading the list", 4096, "B/s a watcher", "spacing in the daemon, some 150 B a row"}
	borrowSent   = Slope{"messages of borrowing", 2.589, "1/s a hot customer and entry", "canvaspulley experiment limits"}
	borrowBytes  = Slope{"bytes of one borrowing message", 260, "B", "body of some 60 B and headers"}
	inForce      = Slope{"in force everywhere", 1.18, "s", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
)

// Slopes lists all slopes.
func Slopes() []Slope {
	return []Slope{memoryBase, memoryMember, memoryConfig, memoryStream, coreBase, coreMember, coreChange, corePlan,
		coreEntry, coreAgent, gossipBytes, gossipSent, deltaBytes, pushes, exchange, listRead, borrowSent, borrowBytes, inForce}
}

// watchers is how many processes of a failure domain read the service.
const watchers = 2

// firstReaders is how many processes read every value when all start at once.
const firstReaders = 2

const daySeconds = 86400

// Figure is one figure of a role with what it is judged by.
type Figure struct {
	Role     string  `json:"role"`
	Quantity string  `json:"what"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Target   float64 `json:"target,omitempty"` // 0 when there is none.
	Basis    string  `json:"how"`
}

// MeetsTarget reports whether the figure keeps its target.
func (l Figure) MeetsTarget() bool { return l.Target == 0 || l.Value <= l.Target }

// Parse reads a site's size; all faults are returned together.
func Parse(name string, raw []byte) (s Site, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return s, err
	}
	const section = "site"
	number := func(key string, def float64) float64 { return f.Float(section, key, def, 0, 1e12) }
	s = Site{
		Entries: number("entries", 6), Agents: number("agents", 15), Domains: number("domains", 3),
		Customers: number("customers", 10), PublishedValues: number("values", 20), ChangesPerDay: number("changes-a-day", 20),
		RequestsPerSecond: number("requests", 10), TokensPerSecond: number("tokens", 1000), ServiceCallsPerSecond: number("service-calls", 2000),
		HotCustomers: number("hot-customers", 1), StreamSeconds: number("stream-seconds", 5),
		Layers: number("layers", 60), PlanIntervalSeconds: number("plan-every", 60),
	}
	for key, v := range map[string]float64{"entries": s.Entries, "agents": s.Agents, "domains": s.Domains,
		"service-calls": s.ServiceCallsPerSecond, "plan-every": s.PlanIntervalSeconds} {
		if v < 1 {
			f.AddProblem(section, key, "must be at least 1")
		}
	}
	return s, f.Problems().Err()
}

// members returns all processes of the system.
func (s Site) members() float64 { return s.Entries + s.Agents }

// controlCore is the processor of what is not a request, in cores.
func (s Site) controlCore() float64 {
	return coreBase.Value + coreMember.Value*s.members() + coreChange.Value*s.PublishedValues*s.ChangesPerDay/daySeconds
}

// controlBytes is what control sends and gets, in bytes a second.
func (s Site) controlBytes() float64 {
	changes := s.ChangesPerDay / daySeconds * (pushes.Value*exchange.Value + 2*deltaBytes.Value)
	return 2*gossipBytes.Value + changes
}

func (s Site) memory(streams float64) float64 {
	return memoryBase.Value + memoryMember.Value*s.members() + memoryConfig.Value*s.PublishedValues + memoryStream.Value*streams
}

// Figures works the site out.
func (s Site) Figures() []Figure {
	streams := s.RequestsPerSecond * s.StreamSeconds
	atEntry, atAgent := streams/s.Entries, streams/s.Agents
	borrow := s.HotCustomers * borrowSent.Value * borrowBytes.Value
	calls := s.Domains * watchers * (1/(25.0) + 1/max(1, 0.04*s.members()) + s.ChangesPerDay/daySeconds*2)
	cold := firstReaders*(s.PublishedValues+2) + s.members()
	return []Figure{
		{"entry", "memory, streams included", s.memory(atEntry), "MB", TargetMemoryMB, "base, a member, a value, a stream"},
		{"entry", "processor of control", s.controlCore(), "core", TargetCores, "idle, decisions a member, judging each change whole"},
		{"entry", "bytes of control", s.controlBytes() + borrow, "B/s", TargetBytesPerSecond, "gossip both ways, changes as differences, borrowing"},
		{"entry", "messages of control", 2*gossipSent.Value + s.HotCustomers*borrowSent.Value, "1/s", 0, "probes, answers, borrowing"},
		{"entry", "processor of the relay", s.TokensPerSecond / s.Entries * coreEntry.Value, "core", 0, "a token"},
		{"agent", "memory, streams included", s.memory(atAgent), "MB", TargetMemoryMB, "base, a member, a value, a stream"},
		{"agent", "processor of control", s.controlCore(), "core", TargetCores, "as the entry"},
		{"agent", "bytes of control", s.controlBytes(), "B/s", TargetBytesPerSecond, "as the entry, without borrowing"},
		{"agent", "processor of the relay", s.TokensPerSecond / s.Agents * coreAgent.Value, "core", 0, "a token"},
		{"leading agent", "processor of planning", corePlan.Value * s.Layers / s.PlanIntervalSeconds, "core", TargetCores - s.controlCore(), "one plan each time, on top of control"},
		{"watcher", "bytes of control", s.controlBytes() + listRead.Value, "B/s", TargetBytesPerSecond, "as the agent, and the list"},
		{"configuration service", "calls while all is well", calls, "1/s", TargetCallShare * s.ServiceCallsPerSecond, "two watchers a failure domain: a waiting watch, the list, each change"},
		{"configuration service", "time to read all from nothing", cold / (TargetCallShare * s.ServiceCallsPerSecond), "s", 0, "everybody reads the list once, two read each value, the others have them from peers; kept to a tenth of the service's rate"},
		{"all", "in force everywhere", inForce.Value, "s", TargetEffectTime.Seconds(), "pushes to three peers, then probes; measured at 2,980 processes"},
	}
}

// Print writes the lines as a Markdown table.
func Print(w io.Writer, lines []Figure) {
	fmt.Fprintln(w, "| role | what | figure | target | kept | worked out from |")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | --- | --- |")
	for _, l := range lines {
		target, kept := "", ""
		if l.Target != 0 {
			target, kept = fmt.Sprintf("%.4g", l.Target), "yes"
			if !l.MeetsTarget() {
				kept = "**no**"
			}
		}
		fmt.Fprintf(w, "| %s | %s | %.4g %s | %s | %s | %s |\n", l.Role, l.Quantity, l.Value, l.Unit, target, kept, l.Basis)
	}
}
