// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/spread"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// GossipConfig sizes the experiments on membership and the spread of
// configuration.
type GossipConfig struct {
	Nodes         int
	Domains       int
	Loss          float64       // Share of messages that are lost.
	PartitionTime time.Duration // The last failure domain is cut off for so long, from second 10 on.
	PauseTime     time.Duration // One process is paused for so long, from second 5 on.
	Seconds       int
	Seed          uint64
}

// Figures of the daemon that the loop repeats.
const (
	gossipTick     = 10 * time.Millisecond // Time of one hop, and of a fetch.
	gossipInterval = time.Second
	pushes         = 3 // Peers told at once of a new generation.
	headerBytes    = 180
	newsRows       = 12
)

// peer is one process in the loop.
type peer struct {
	table  *member.Table
	conf   *spread.State
	phase  time.Duration // Of its ticks.
	domain int
	down   bool
	paused time.Duration // End of its pause, in time since the start.
	bytes  int
	sent   int
	since  time.Duration // When it took the present generation in.
}

// gossipRun is the loop: the daemons' decisions, and messages that take a tick.
type gossipRun struct {
	cfg     GossipConfig
	rnd     *rand.Rand
	peers   []*peer
	index   map[string]int
	at      time.Duration
	due     [][2]int // Pushes and fetches of the next tick: from, to.
	wrong   int      // Deaths of processes that lived and were reachable.
	found   map[int]time.Duration
	killed  int
	denied  []int         // Processes that tell of a denial at the next tick.
	cpu     time.Duration // Of all decisions.
	version published.Version
}

func newGossipRun(cfg GossipConfig) *gossipRun {
	r := &gossipRun{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 6)), index: map[string]int{}, found: map[int]time.Duration{}, killed: -1}
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
				ForgetAfter: time.Hour, MaxUpdates: newsRows, IndirectProbes: 2}, rows[i]),
			conf: spread.New(), domain: i % cfg.Domains,
			phase: time.Duration(r.rnd.IntN(int(gossipInterval/gossipTick))) * gossipTick,
		}
		p.table.MergePlatformList(rows, origin)
		r.peers = append(r.peers, p)
	}
	return r
}

func (r *gossipRun) reach(a, b int) bool {
	cutOff := func(i int) bool {
		return r.cfg.PartitionTime > 0 && r.peers[i].domain == r.cfg.Domains-1 &&
			r.at >= 10*time.Second && r.at < 10*time.Second+r.cfg.PartitionTime
	}
	return !r.peers[b].down && r.at >= r.peers[b].paused && cutOff(a) == cutOff(b) && r.rnd.Float64() >= r.cfg.Loss
}

// exchange is one message and its answer.
func (r *gossipRun) exchange(a, b int) bool {
	pa, pb := r.peers[a], r.peers[b]
	now := origin.Add(r.at)
	nameA, nameB := pa.table.Self().Name, pb.table.Self().Name
	out := pa.table.OutgoingTo(nameB)
	r.charge(pa, out)
	if !r.reach(a, b) {
		return false
	}
	r.merge(b, out, now)
	back := pb.table.OutgoingTo(nameA)
	r.charge(pb, back)
	r.merge(a, back, now)
	for _, way := range [][2]int{{a, b}, {b, a}} {
		if r.peers[way[1]].conf.Decide(r.peers[way[0]].conf.Current()) == spread.Fetch {
			r.due = append(r.due, way)
		}
	}
	return true
}

// merge takes news in; a process that had to deny something tells a few peers
// at the next tick.
func (r *gossipRun) merge(i int, rows []member.Member, now time.Time) {
	p := r.peers[i]
	was := p.table.Self().Incarnation
	r.note(i, p.table.Merge(rows, now))
	if p.table.Self().Incarnation != was {
		r.denied = append(r.denied, i)
	}
}

func (r *gossipRun) charge(p *peer, rows []member.Member) {
	raw, _ := json.Marshal(struct {
		Version published.Version
		Rows    []member.Member
	}{p.conf.Current(), rows})
	p.bytes += len(raw) + headerBytes
	p.sent++
}

// note counts detections and false deaths.
func (r *gossipRun) note(by int, changes []member.Change) {
	for _, c := range changes {
		i := r.index[c.Member.Name]
		if c.Member.State != member.Dead || c.Was == member.Dead {
			continue
		}
		if i == r.killed {
			if _, old := r.found[by]; !old {
				r.found[by] = r.at
			}
		} else if r.cfg.PartitionTime == 0 && r.at >= r.peers[i].paused {
			r.wrong++
		}
	}
}

// tick lets every process that is due probe, and carries pushes out.
func (r *gossipRun) tick() {
	start := time.Now()
	due := r.due
	r.due = nil
	for _, way := range due {
		r.fetch(way[0], way[1])
	}
	denied := r.denied
	r.denied = nil
	for _, i := range denied {
		r.tell(i, pushes)
	}
	now := origin.Add(r.at)
	for i, p := range r.peers {
		if p.down || r.at < p.paused || (r.at+p.phase)%gossipInterval != 0 {
			continue
		}
		p.table.DetectPause(now)
		probe, changes, ok := p.table.Tick(now, r.rnd.Uint64())
		r.note(i, changes)
		if ok {
			r.probe(i, r.index[probe.Target.Name], now)
		}
	}
	r.cpu += time.Since(start)
	r.at += gossipTick
}

func (r *gossipRun) probe(i, target int, now time.Time) {
	p := r.peers[i]
	name := r.peers[target].table.Self().Name
	if r.exchange(i, target) {
		r.note(i, p.table.ProbeAnswered(name, now))
		return
	}
	for _, h := range p.table.PickRandom(name, r.rnd.Uint64()) {
		k := r.index[h.Name]
		if r.exchange(i, k) && r.exchange(k, target) {
			return
		}
	}
	r.note(i, p.table.ProbeUnanswered(name, now))
}

// fetch takes a newer generation from a peer and tells a few others.
func (r *gossipRun) fetch(from, to int) {
	v := r.peers[from].conf.Current()
	if !r.reach(to, from) || !r.peers[to].conf.Adopt(v) {
		return
	}
	r.peers[to].since = r.at
	r.tell(to, pushes)
}

// tell exchanges messages with so many random peers.
func (r *gossipRun) tell(i, peers int) {
	t := r.peers[i].table
	for peers > 0 {
		some := t.PickRandom(t.Self().Name, r.rnd.Uint64())
		if len(some) == 0 {
			return
		}
		for _, h := range some[:min(len(some), peers)] {
			r.exchange(i, r.index[h.Name])
		}
		peers -= len(some)
	}
}

// publish gives a new generation to the watchers: two of each failure domain
// that reaches the configuration service.
func (r *gossipRun) publish() {
	r.version = published.Version{Generation: r.version.Generation + 1, Hash: "h"}
	for i, p := range r.peers {
		watcher := i < 2*r.cfg.Domains
		cut := r.cfg.PartitionTime > 0 && p.domain == r.cfg.Domains-1 && r.at >= 10*time.Second && r.at < 10*time.Second+r.cfg.PartitionTime
		if watcher && !cut && p.conf.Adopt(r.version) {
			p.since = r.at
			r.tell(i, pushes)
		}
	}
}

// run goes on until the given time.
func (r *gossipRun) run(until time.Duration) {
	for r.at < until {
		r.tick()
	}
}

// perNode returns the messages and bytes that a process sends in a second, and
// the processor time its decisions take.
func (r *gossipRun) perNode() []Cell {
	bytes, sent := 0, 0
	for _, p := range r.peers {
		bytes += p.bytes
		sent += p.sent
	}
	seconds := r.at.Seconds() * float64(len(r.peers))
	return []Cell{
		{"messages", "a node and second", float64(sent) / seconds},
		{"bytes", "a node and second", float64(bytes) / seconds},
		{"decisions", "us of processor a node and second", float64(r.cpu.Microseconds()) / seconds},
	}
}

// Members measures how fast a killed process is given up by all, and how many
// living ones are given up by mistake.
func Members(cfg GossipConfig) Table {
	r := newGossipRun(cfg)
	r.run(5 * time.Second)
	r.killed = cfg.Nodes - 1
	r.peers[r.killed].down = true
	if cfg.PauseTime > 0 {
		r.peers[0].paused = r.at + cfg.PauseTime
	}
	killedAt := r.at
	r.run(time.Duration(cfg.Seconds) * time.Second)
	var times []float64
	for _, at := range r.found {
		times = append(times, (at - killedAt).Seconds())
	}
	cells := []Cell{
		{"nodes", "", float64(cfg.Nodes)},
		{"gave it up", "share", float64(len(r.found)) / float64(cfg.Nodes-1)},
		{"detection p50", "s", quantile(times, 0.5)},
		{"detection p99", "s", quantile(times, 0.99)},
		{"false deaths", "", float64(r.wrong)},
	}
	return Table{Title: fmt.Sprintf("Members: loss %g, one process killed at 5 s, cut %v, pause %v", cfg.Loss, cfg.PartitionTime, cfg.PauseTime),
		Rows: []Row{{fmt.Sprintf("%d nodes", cfg.Nodes), append(cells, r.perNode()...)}}}
}

// Spread measures how long a generation takes to be in force everywhere. With
// a cut, it is published in the cut, and the time of the cut domain is counted
// from the healing.
func Spread(cfg GossipConfig) Table {
	r := newGossipRun(cfg)
	r.run(11 * time.Second)
	at := r.at
	r.publish()
	r.run(time.Duration(cfg.Seconds) * time.Second)
	var times, healed []float64
	missing := 0
	for _, p := range r.peers {
		switch {
		case p.conf.Current() != r.version:
			missing++
		case cfg.PartitionTime > 0 && p.domain == cfg.Domains-1:
			healed = append(healed, (p.since - 10*time.Second - cfg.PartitionTime).Seconds())
		default:
			times = append(times, (p.since - at).Seconds())
		}
	}
	cells := []Cell{
		{"nodes", "", float64(cfg.Nodes)},
		{"in force p50", "s", quantile(times, 0.5)},
		{"in force p99", "s", quantile(times, 0.99)},
		{"in force everywhere", "s", quantile(times, 1)},
		{"after healing", "s", quantile(healed, 1)},
		{"without it", "", float64(missing)},
	}
	return Table{Title: fmt.Sprintf("Spread: loss %g, cut %v", cfg.Loss, cfg.PartitionTime),
		Rows: []Row{{fmt.Sprintf("%d nodes", cfg.Nodes), append(cells, r.perNode()...)}}}
}
