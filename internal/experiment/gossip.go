// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/configadopt"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// GossipConfig configures the experiments on membership and on the distribution of
// configuration.
type GossipConfig struct {
	Nodes         int
	Domains       int
	Loss          float64       // Share of messages that are lost.
	PartitionTime time.Duration // How long the last failure domain is partitioned off, from second 10 on.
	PauseTime     time.Duration // How long one process is paused, from second 5 on.
	Seconds       int           // Simulated time.
	Seed          uint64
}

// Settings of the daemon that the simulation uses.
const (
	gossipTick     = 10 * time.Millisecond // Simulated time of one hop, and of a fetch.
	gossipInterval = time.Second
	pushFanout     = 3   // Peers to which a process sends a new generation or a refutation at once.
	headerBytes    = 180 // Added to the size of each message for its headers.
	maxUpdates     = 12  // Member updates per message.
)

// peer is one simulated process.
type peer struct {
	table       *member.Table
	config      *configadopt.State
	phase       time.Duration // Offset of its probes within gossipInterval.
	domain      int
	down        bool
	pausedUntil time.Duration // End of its pause, as time since the start.
	bytes       int
	sent        int
	adoptedAt   time.Duration // Time since the start at which it adopted its current generation.
}

// gossipSim simulates processes that run the decision code of the daemons and
// exchange messages, which take one tick.
type gossipSim struct {
	cfg          GossipConfig
	rnd          *rand.Rand
	peers        []*peer
	index        map[string]int
	elapsed      time.Duration
	fetches      [][2]int // Fetches of the next tick, as pairs of source and destination.
	falseDeaths  int      // Times that a process which ran and was reachable was declared dead.
	detectedAt   map[int]time.Duration
	killed       int
	refuted      []int         // Processes that spread a refutation on the next tick.
	decisionTime time.Duration // Time that all decisions took.
	version      published.Version
}

func newGossipSim(cfg GossipConfig) *gossipSim {
	r := &gossipSim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 6)), index: map[string]int{}, detectedAt: map[int]time.Duration{}, killed: -1}
	rows := make([]member.Member, cfg.Nodes)
	for i := range rows {
		name := fmt.Sprintf("domain-%02d-endpoint-%04d", i%cfg.Domains, i)
		r.index[name] = i
		rows[i] = member.Member{Name: name, Role: "endpoint", Endpoint: name[:20], Domain: name[:9],
			Address: "10.0.0.1:7000", StartedAt: 1_800_000_000_000}
	}
	for i := range rows {
		p := &peer{
			table: member.New(member.Config{ProbeInterval: gossipInterval, SuspicionTimeout: 3 * time.Second,
				ForgetAfter: time.Hour, MaxUpdates: maxUpdates, IndirectProbes: 2}, rows[i]),
			config: configadopt.New(), domain: i % cfg.Domains,
			phase: time.Duration(r.rnd.IntN(int(gossipInterval/gossipTick))) * gossipTick,
		}
		p.table.MergePlatformList(rows, origin)
		r.peers = append(r.peers, p)
	}
	return r
}

// delivers reports whether a message from a reaches b: b must run, not be paused
// and be on the same side of the partition, and the message must not be lost.
func (r *gossipSim) delivers(a, b int) bool {
	partitionedOff := func(i int) bool {
		return r.cfg.PartitionTime > 0 && r.peers[i].domain == r.cfg.Domains-1 &&
			r.elapsed >= 10*time.Second && r.elapsed < 10*time.Second+r.cfg.PartitionTime
	}
	return !r.peers[b].down && r.elapsed >= r.peers[b].pausedUntil && partitionedOff(a) == partitionedOff(b) && r.rnd.Float64() >= r.cfg.Loss
}

// exchange sends one message and its reply. It returns false when the message is
// not delivered.
func (r *gossipSim) exchange(a, b int) bool {
	pa, pb := r.peers[a], r.peers[b]
	now := origin.Add(r.elapsed)
	nameA, nameB := pa.table.Self().Name, pb.table.Self().Name
	outgoing := pa.table.OutgoingTo(nameB)
	r.countMessage(pa, outgoing)
	if !r.delivers(a, b) {
		return false
	}
	r.merge(b, outgoing, now)
	reply := pb.table.OutgoingTo(nameA)
	r.countMessage(pb, reply)
	r.merge(a, reply, now)
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		if r.peers[pair[1]].config.Decide(r.peers[pair[0]].config.Current()) == configadopt.Fetch {
			r.fetches = append(r.fetches, pair)
		}
	}
	return true
}

// merge applies received updates. A process that had to refute one spreads the
// refutation on the next tick.
func (r *gossipSim) merge(i int, rows []member.Member, now time.Time) {
	p := r.peers[i]
	before := p.table.Self().Incarnation
	r.recordDeaths(i, p.table.Merge(rows, now))
	if p.table.Self().Incarnation != before {
		r.refuted = append(r.refuted, i)
	}
}

// countMessage adds a message with the given members to the traffic of p.
func (r *gossipSim) countMessage(p *peer, rows []member.Member) {
	raw, _ := json.Marshal(struct {
		Version published.Version
		Rows    []member.Member
	}{p.config.Current(), rows})
	p.bytes += len(raw) + headerBytes
	p.sent++
}

// recordDeaths records the processes that one process, the argument by, has newly declared dead.
// For the killed process, it records the time of the first such declaration by each process. For
// any other process, it counts a false death, unless that process is paused at the time. If a
// partition is configured, no false deaths are counted in the whole run, since processes on the two
// sides of it rightly declare each other dead.
func (r *gossipSim) recordDeaths(by int, changes []member.Change) {
	for _, c := range changes {
		i := r.index[c.Member.Name]
		if c.Member.State != member.Dead || c.Was == member.Dead {
			continue
		}
		if i == r.killed {
			if _, detected := r.detectedAt[by]; !detected {
				r.detectedAt[by] = r.elapsed
			}
		} else if r.cfg.PartitionTime == 0 && r.elapsed >= r.peers[i].pausedUntil {
			r.falseDeaths++
		}
	}
}

// tick executes the fetches that are due, spreads refutations, and lets each process
// probe once per gossipInterval.
func (r *gossipSim) tick() {
	start := time.Now()
	fetches := r.fetches
	r.fetches = nil
	for _, pair := range fetches {
		r.fetch(pair[0], pair[1])
	}
	refuted := r.refuted
	r.refuted = nil
	for _, i := range refuted {
		r.exchangeWithRandom(i, pushFanout)
	}
	now := origin.Add(r.elapsed)
	for i, p := range r.peers {
		if p.down || r.elapsed < p.pausedUntil || (r.elapsed+p.phase)%gossipInterval != 0 {
			continue
		}
		p.table.DetectPause(now)
		probe, changes, ok := p.table.Tick(now, r.rnd.Uint64())
		r.recordDeaths(i, changes)
		if ok {
			r.probe(i, r.index[probe.Target.Name], now)
		}
	}
	r.decisionTime += time.Since(start)
	r.elapsed += gossipTick
}

func (r *gossipSim) probe(i, target int, now time.Time) {
	p := r.peers[i]
	name := r.peers[target].table.Self().Name
	if r.exchange(i, target) {
		r.recordDeaths(i, p.table.ProbeAnswered(name, now))
		return
	}
	for _, relay := range p.table.PickRandom(name, r.rnd.Uint64()) {
		k := r.index[relay.Name]
		if r.exchange(i, k) && r.exchange(k, target) {
			return
		}
	}
	r.recordDeaths(i, p.table.ProbeUnanswered(name, now))
}

// fetch adopts a newer generation from a peer and sends it on to a few other peers.
func (r *gossipSim) fetch(from, to int) {
	v := r.peers[from].config.Current()
	if !r.delivers(to, from) || !r.peers[to].config.Adopt(v) {
		return
	}
	r.peers[to].adoptedAt = r.elapsed
	r.exchangeWithRandom(to, pushFanout)
}

// exchangeWithRandom exchanges messages with the given number of random peers.
func (r *gossipSim) exchangeWithRandom(i, peers int) {
	t := r.peers[i].table
	for peers > 0 {
		targets := t.PickRandom(t.Self().Name, r.rnd.Uint64())
		if len(targets) == 0 {
			return
		}
		for _, target := range targets[:min(len(targets), peers)] {
			r.exchange(i, r.index[target.Name])
		}
		peers -= len(targets)
	}
}

// publish delivers a new generation to the watchers: two processes of each failure
// domain that reaches the configuration service.
func (r *gossipSim) publish() {
	r.version = published.Version{Generation: r.version.Generation + 1, Hash: "h"}
	for i, p := range r.peers {
		watcher := i < 2*r.cfg.Domains
		partitioned := r.cfg.PartitionTime > 0 && p.domain == r.cfg.Domains-1 && r.elapsed >= 10*time.Second && r.elapsed < 10*time.Second+r.cfg.PartitionTime
		if watcher && !partitioned && p.config.Adopt(r.version) {
			p.adoptedAt = r.elapsed
			r.exchangeWithRandom(i, pushFanout)
		}
	}
}

// runUntil executes ticks until the given time since the start.
func (r *gossipSim) runUntil(until time.Duration) {
	for r.elapsed < until {
		r.tick()
	}
}

// perNode returns the messages and bytes that a process sends per second, and the
// processor time that its decisions take.
func (r *gossipSim) perNode() []Cell {
	bytes, sent := 0, 0
	for _, p := range r.peers {
		bytes += p.bytes
		sent += p.sent
	}
	seconds := r.elapsed.Seconds() * float64(len(r.peers))
	return []Cell{
		{"messages", "a node and second", float64(sent) / seconds},
		{"bytes", "a node and second", float64(bytes) / seconds},
		{"decisions", "us of processor a node and second", float64(r.decisionTime.Microseconds()) / seconds},
	}
}

// Members measures how fast all processes detect that one was killed, and how many
// live processes are declared dead by mistake.
func Members(cfg GossipConfig) Table {
	r := newGossipSim(cfg)
	r.runUntil(5 * time.Second)
	r.killed = cfg.Nodes - 1
	r.peers[r.killed].down = true
	if cfg.PauseTime > 0 {
		r.peers[0].pausedUntil = r.elapsed + cfg.PauseTime
	}
	killedAt := r.elapsed
	r.runUntil(time.Duration(cfg.Seconds) * time.Second)
	var times []float64
	for _, at := range r.detectedAt {
		times = append(times, (at - killedAt).Seconds())
	}
	cells := []Cell{
		{"nodes", "", float64(cfg.Nodes)},
		{"gave it up", "share", float64(len(r.detectedAt)) / float64(cfg.Nodes-1)},
		{"detection p50", "s", quantile(times, 0.5)},
		{"detection p99", "s", quantile(times, 0.99)},
		{"false deaths", "", float64(r.falseDeaths)},
	}
	return Table{Title: fmt.Sprintf("Members: loss %g, one process killed at 5 s, cut %v, pause %v", cfg.Loss, cfg.PartitionTime, cfg.PauseTime),
		Rows: []Row{{fmt.Sprintf("%d nodes", cfg.Nodes), append(cells, r.perNode()...)}}}
}

// Spread measures how long a generation takes to reach all processes. With a
// partition, it is published during the partition, and the time of the partitioned
// domain is counted from the end of the partition.
func Spread(cfg GossipConfig) Table {
	r := newGossipSim(cfg)
	r.runUntil(11 * time.Second)
	publishedAt := r.elapsed
	r.publish()
	r.runUntil(time.Duration(cfg.Seconds) * time.Second)
	var times, healedTimes []float64
	missing := 0
	for _, p := range r.peers {
		switch {
		case p.config.Current() != r.version:
			missing++
		case cfg.PartitionTime > 0 && p.domain == cfg.Domains-1:
			healedTimes = append(healedTimes, (p.adoptedAt - 10*time.Second - cfg.PartitionTime).Seconds())
		default:
			times = append(times, (p.adoptedAt - publishedAt).Seconds())
		}
	}
	cells := []Cell{
		{"nodes", "", float64(cfg.Nodes)},
		{"in force p50", "s", quantile(times, 0.5)},
		{"in force p99", "s", quantile(times, 0.99)},
		{"in force everywhere", "s", quantile(times, 1)},
		{"after healing", "s", quantile(healedTimes, 1)},
		{"without it", "", float64(missing)},
	}
	return Table{Title: fmt.Sprintf("Spread: loss %g, cut %v", cfg.Loss, cfg.PartitionTime),
		Rows: []Row{{fmt.Sprintf("%d nodes", cfg.Nodes), append(cells, r.perNode()...)}}}
}
