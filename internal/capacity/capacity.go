// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package capacity computes the resources that a site of a given size needs, from measured costs
// per unit of size (slopes). It measures nothing itself: each slope names the command that
// measured it, and docs/CAPACITY.md gives the figures beside it.
package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// Site describes the size and load of a site.
type Site struct {
	Entries               float64
	Agents                float64
	Domains               float64
	Customers             float64
	PublishedValues       float64 // Published configuration values.
	ChangesPerDay         float64 // Changes of the configuration per day.
	RequestsPerSecond     float64
	TokensPerSecond       float64
	ServiceCallsPerSecond float64 // Calls per second that the configuration service can take.
	HotCustomers          float64 // Customers close to their limit at one entry.
	StreamSeconds         float64 // Mean duration of a stream in seconds.
	Layers                float64
	PlanIntervalSeconds   float64 // Seconds between two rebalancing plans of a group.
}

// Targets of a process. TargetCallShare is the share of the configuration service's rate that all
// processes together may use.
const (
	TargetMemoryMB       = 64
	TargetCores          = 0.012
	TargetBytesPerSecond = 11_000
	TargetCallShare      = 0.1
	TargetEffectTime     = 3 * time.Second
)

// Slope is a measured figure, in most cases a cost per unit of a site's size, with the command that
// measures it.
type Slope struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Command string  `json:"command"`
}

// The slopes, measured on a virtual machine with 8 cores, 24 GB and Linux 6.18.
var (
	memoryIdle                  = Slope{"memory of an idle process", 22.3, "MB", "go test ./internal/e2e -run xxx -bench Fleet -benchtime 1x (24 processes)"}
	memoryPerMember             = Slope{"memory a member", 0.0046, "MB", "the same, 24 to 192 processes"}
	memoryPerValue              = Slope{"memory a published value", 1.672 / 1642, "MB", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	memoryPerStream             = Slope{"memory a live stream", 0.0077, "MB", "go test ./internal/e2e -run xxx -bench Relay -benchtime 2x (1,000 streams, the highest seen)"}
	coresIdle                   = Slope{"processor of an idle process", 0.0058, "core", "go test ./internal/e2e -run xxx -bench Fleet -benchtime 1x (the highest of 24 to 192 processes)"}
	coresPerMember              = Slope{"processor of decisions a member", 1022e-6 / 2980, "core", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
	cpuSecondsPerChangePerValue = Slope{"processor of one change of configuration", 0.00496 / 1642, "core s a value", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	cpuSecondsPerPlanLayer      = Slope{"processor of one plan", 0.0380 / 60, "core s a layer (256 ranks, 64 experts, 2 slots)", "go test ./internal/decide/rebalance -run xxx -bench Plan -cpu 1"}
	cpuSecondsPerEntryToken     = Slope{"processor of the entry a token", 39.8e-6, "core s", "go test ./internal/e2e -run xxx -bench Relay -benchtime 3x (200 streams)"}
	cpuSecondsPerAgentToken     = Slope{"processor of the agent a token", 37.5e-6, "core s", "the same"}
	gossipBytesPerSecond        = Slope{"bytes sent a process", 965, "B/s", "canvaspulley experiment members --nodes 2980 --domains 21 --seconds 25"}
	gossipMessagesPerSecond     = Slope{"messages sent a process", 2.37, "1/s", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
	bytesPerDelta               = Slope{"bytes told of one change", 400, "B", "go test ./internal/published -run xxx -bench Design -cpu 1"}
	exchangesPerChange          = Slope{"exchanges at one change", 4, "messages", "fan-out of the daemon and the fetch"}
	bytesPerExchange            = Slope{"bytes of one exchange", 800, "B", "canvaspulley experiment members: bytes by messages, both ways"}
	listReadBytesPerSecond      = Slope{"bytes of reading the list", 4096, "B/s a watcher", "spacing in the daemon, some 150 B a row"}
	borrowMessagesPerSecond     = Slope{"messages of borrowing", 2.589, "1/s a hot customer and entry", "canvaspulley experiment limits"}
	bytesPerBorrowMessage       = Slope{"bytes of one borrowing message", 260, "B", "body of some 60 B and headers"}
	effectTime                  = Slope{"in force everywhere", 1.18, "s", "canvaspulley experiment spread --nodes 2980 --domains 21 --seconds 16"}
)

// Slopes returns all slopes.
func Slopes() []Slope {
	return []Slope{memoryIdle, memoryPerMember, memoryPerValue, memoryPerStream, coresIdle, coresPerMember, cpuSecondsPerChangePerValue, cpuSecondsPerPlanLayer,
		cpuSecondsPerEntryToken, cpuSecondsPerAgentToken, gossipBytesPerSecond, gossipMessagesPerSecond, bytesPerDelta, exchangesPerChange, bytesPerExchange, listReadBytesPerSecond, borrowMessagesPerSecond, bytesPerBorrowMessage, effectTime}
}

// watchersPerDomain is the number of processes of a failure domain that read the configuration
// service.
const watchersPerDomain = 2

// coldStartReaders is the number of processes that read each value from the configuration service
// when all start at once.
const coldStartReaders = 2

const secondsPerDay = 86400

// Figure is a computed quantity of one role, with its target and what it is computed from.
type Figure struct {
	Role     string  `json:"role"`
	Quantity string  `json:"what"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Target   float64 `json:"target,omitempty"` // Maximum value; 0 for none.
	Basis    string  `json:"how"`
}

// MeetsTarget reports whether the value is within its target.
func (l Figure) MeetsTarget() bool { return l.Target == 0 || l.Value <= l.Target }

// Parse parses and validates the file of a site's size. The error lists all problems found in it.
func Parse(name string, raw []byte) (s Site, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return s, err
	}
	const section = "site"
	readNumber := func(key string, def float64) float64 { return f.Float(section, key, def, 0, 1e12) }
	s = Site{
		Entries: readNumber("entries", 6), Agents: readNumber("agents", 15), Domains: readNumber("domains", 3),
		Customers: readNumber("customers", 10), PublishedValues: readNumber("values", 20), ChangesPerDay: readNumber("changes-a-day", 20),
		RequestsPerSecond: readNumber("requests", 10), TokensPerSecond: readNumber("tokens", 1000), ServiceCallsPerSecond: readNumber("service-calls", 2000),
		HotCustomers: readNumber("hot-customers", 1), StreamSeconds: readNumber("stream-seconds", 5),
		Layers: readNumber("layers", 60), PlanIntervalSeconds: readNumber("plan-every", 60),
	}
	for key, v := range map[string]float64{"entries": s.Entries, "agents": s.Agents, "domains": s.Domains,
		"service-calls": s.ServiceCallsPerSecond, "plan-every": s.PlanIntervalSeconds} {
		if v < 1 {
			f.AddProblem(section, key, "must be at least 1")
		}
	}
	return s, f.Problems().Err()
}

// members returns the number of processes of the site.
func (s Site) members() float64 { return s.Entries + s.Agents }

// controlCores returns the processor use of a process apart from its requests, in cores.
func (s Site) controlCores() float64 {
	return coresIdle.Value + coresPerMember.Value*s.members() + cpuSecondsPerChangePerValue.Value*s.PublishedValues*s.ChangesPerDay/secondsPerDay
}

// controlBytesPerSecond returns the traffic of a process apart from its requests, sent and received,
// in bytes per second.
func (s Site) controlBytesPerSecond() float64 {
	changeBytesPerSecond := s.ChangesPerDay / secondsPerDay * (exchangesPerChange.Value*bytesPerExchange.Value + 2*bytesPerDelta.Value)
	return 2*gossipBytesPerSecond.Value + changeBytesPerSecond
}

func (s Site) memory(streams float64) float64 {
	return memoryIdle.Value + memoryPerMember.Value*s.members() + memoryPerValue.Value*s.PublishedValues + memoryPerStream.Value*streams
}

// Figures returns the computed figures of all roles.
func (s Site) Figures() []Figure {
	streams := s.RequestsPerSecond * s.StreamSeconds
	streamsPerEntry, streamsPerAgent := streams/s.Entries, streams/s.Agents
	borrowBytesPerSecond := s.HotCustomers * borrowMessagesPerSecond.Value * bytesPerBorrowMessage.Value
	callsPerSecond := s.Domains * watchersPerDomain * (1/(25.0) + 1/max(1, 0.04*s.members()) + s.ChangesPerDay/secondsPerDay*2)
	coldStartReads := coldStartReaders*(s.PublishedValues+2) + s.members()
	return []Figure{
		{"entry", "memory, streams included", s.memory(streamsPerEntry), "MB", TargetMemoryMB, "base, a member, a value, a stream"},
		{"entry", "processor of control", s.controlCores(), "core", TargetCores, "idle, decisions a member, judging each change whole"},
		{"entry", "bytes of control", s.controlBytesPerSecond() + borrowBytesPerSecond, "B/s", TargetBytesPerSecond, "gossip both ways, changes as differences, borrowing"},
		{"entry", "messages of control", 2*gossipMessagesPerSecond.Value + s.HotCustomers*borrowMessagesPerSecond.Value, "1/s", 0, "probes, answers, borrowing"},
		{"entry", "processor of the relay", s.TokensPerSecond / s.Entries * cpuSecondsPerEntryToken.Value, "core", 0, "a token"},
		{"agent", "memory, streams included", s.memory(streamsPerAgent), "MB", TargetMemoryMB, "base, a member, a value, a stream"},
		{"agent", "processor of control", s.controlCores(), "core", TargetCores, "as the entry"},
		{"agent", "bytes of control", s.controlBytesPerSecond(), "B/s", TargetBytesPerSecond, "as the entry, without borrowing"},
		{"agent", "processor of the relay", s.TokensPerSecond / s.Agents * cpuSecondsPerAgentToken.Value, "core", 0, "a token"},
		{"leading agent", "processor of planning", cpuSecondsPerPlanLayer.Value * s.Layers / s.PlanIntervalSeconds, "core", TargetCores - s.controlCores(), "one plan each time, on top of control"},
		{"watcher", "bytes of control", s.controlBytesPerSecond() + listReadBytesPerSecond.Value, "B/s", TargetBytesPerSecond, "as the agent, and the list"},
		{"configuration service", "calls while all is well", callsPerSecond, "1/s", TargetCallShare * s.ServiceCallsPerSecond, "two watchers a failure domain: a waiting watch, the list, each change"},
		{"configuration service", "time to read all from nothing", coldStartReads / (TargetCallShare * s.ServiceCallsPerSecond), "s", 0, "everybody reads the list once, two read each value, the others have them from peers; kept to a tenth of the service's rate"},
		{"all", "in force everywhere", effectTime.Value, "s", TargetEffectTime.Seconds(), "pushes to three peers, then probes; measured at 2,980 processes"},
	}
}

// Print writes the figures as a Markdown table.
func Print(w io.Writer, figures []Figure) {
	fmt.Fprintln(w, "| role | what | figure | target | kept | worked out from |")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | --- | --- |")
	for _, l := range figures {
		target, met := "", ""
		if l.Target != 0 {
			target, met = fmt.Sprintf("%.4g", l.Target), "yes"
			if !l.MeetsTarget() {
				met = "**no**"
			}
		}
		fmt.Fprintf(w, "| %s | %s | %.4g %s | %s | %s | %s |\n", l.Role, l.Quantity, l.Value, l.Unit, target, met, l.Basis)
	}
}
