// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

// restart says whether a rank may start again under its id, which it does once.
type restart int

const (
	never     restart = iota
	forgets           // The whole group forgets its maps and armings, as is published.
	remembers         // The other ranks do not: a fault of the engines.
)

// late is an order whose answer was lost and that may still be carried out.
type late struct {
	rank  int
	order rank.Order
}

// world is a group, its orders on their way and up to two leaders.
type world struct {
	step    uint64 // Newest pass that began.
	ranks   []ranktest.State
	late    []late // Invariant: at most maxLate.
	leaders []*Machine
	epoch   uint64
	restart restart
	asleep  bool // The first leader's instance is frozen: its engine is not reached either.
	own     ownArming
	budget  int    // Faults left.
	began   int    // Switches begun.
	newest  uint64 // Highest version given out.
	broken  string
	parent  *world // What it followed from, to tell how a rule was broken.
}

// ownArming is what the rank that holds passes for the first leader knows of the
// arming of that leader's own rank.
type ownArming struct {
	armed  rank.Arming // Zero before the first.
	lost   bool        // It may be carried out later.
	closed bool        // It arms the leader's rank no more.
}

// absence is what the second leader, which is that rank, says of the first.
func (o ownArming) absence() Absence { return Absence{Rank: 0, ArmingKnown: !o.lost, Armed: o.armed} }

// story tells the states that led to w.
func (w *world) story() (s string) {
	for ; w != nil; w = w.parent {
		s = fmt.Sprintf("pass %d ranks %+v late %+v", w.step, w.ranks, w.late) + w.told() + "\n" + s
	}
	return s
}

func (w *world) told() (s string) {
	for _, m := range w.leaders {
		s += fmt.Sprintf(" | leader %d fence %d %v v%d s%d %v", m.Self, m.Fence, m.Phase, m.Version, m.Step, m.done)
	}
	return s
}

const (
	maxLate     = 2
	searchRanks = 3
	second      = 1 // Rank of the leader that takes over: at which the first holds passes.
	mostStep    = 5
	mostBegun   = 2
	mostStates  = 3_000_000 // A search that grows beyond this is not bounded.
)

// execute carries an order out at an engine.
func (w *world) execute(r int, o rank.Order) rank.Result {
	if o.Epoch != w.epoch {
		return rank.Conflict
	}
	return w.ranks[r].Execute(o, w.step)
}

// mayPass reports whether the group may begin its next pass.
func (w *world) mayPass() bool {
	if w.step >= mostStep {
		return false
	}
	for _, e := range w.ranks {
		if e.HeldPass == w.step+1 {
			return false
		}
	}
	return true
}

// pass begins the next pass and checks that all ranks are on one map.
func (w *world) pass() {
	w.step++
	for r := range w.ranks {
		w.ranks[r].Begin(w.step)
	}
	for _, e := range w.ranks {
		if e.Map != w.ranks[0].Map {
			w.broken = fmt.Sprintf("pass %d on maps %d and %d", w.step, w.ranks[0].Map, e.Map)
		}
	}
}

func (w *world) reports() []rank.Report {
	list := make([]rank.Report, len(w.ranks))
	for r, e := range w.ranks {
		list[r] = rank.Report{Open: true, Epoch: w.epoch, Step: w.step, Map: e.Map, Prepared: e.Prepared, Armed: e.Armed, HeldPass: e.HeldPass}
	}
	return list
}

func (m *Machine) clone() *Machine {
	c := *m
	c.done = append([]bool(nil), m.done...)
	c.held = append([]uint64(nil), m.held...)
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.parent = w
	c.ranks = append([]ranktest.State(nil), w.ranks...)
	c.late = append([]late(nil), w.late...)
	c.leaders = nil
	for _, m := range w.leaders {
		c.leaders = append(c.leaders, m.clone())
	}
	return &c
}

func (w *world) key() string {
	s := fmt.Sprint(w.step, w.epoch, w.restart, w.ranks, w.late, w.asleep, w.own, w.budget, w.began, w.newest)
	for _, m := range w.leaders {
		s += fmt.Sprint(m.Self, m.Epoch, m.absence, m.Fence, m.Phase, m.Version, m.Step, m.HighestVersion, m.done, m.clear, m.held, m.spent)
	}
	return s
}

// next returns every world that can follow.
func (w *world) next(spoil func(m *Machine, orders []rank.Order)) (list []*world) {
	if w.mayPass() {
		c := w.clone()
		c.pass()
		list = append(list, c)
	}
	for i := range w.late { // An order whose answer was lost is carried out now.
		c := w.clone()
		l := c.late[i]
		c.late = append(c.late[:i], c.late[i+1:]...)
		c.execute(l.rank, l.order)
		list = append(list, c)
	}
	for i := range w.leaders {
		list = append(list, w.act(i, spoil)...)
	}
	for r := 0; w.restart != never && r < len(w.ranks); r++ {
		c := w.clone()
		c.startAgain(r)
		list = append(list, c)
	}
	return list
}

// startAgain has a rank die and start again under its id. The group opens in a new
// epoch, with nothing in force, prepared, armed or held; the rank has forgotten its
// fence, the others have not.
func (w *world) startAgain(r int) {
	w.epoch++
	for i := range w.ranks {
		if w.restart == forgets {
			w.ranks[i] = ranktest.State{Fence: w.ranks[i].Fence}
		}
	}
	w.ranks[r] = ranktest.State{}
	w.restart = never
	w.own = ownArming{}
}

// act returns what a leader may do next.
func (w *world) act(i int, spoil func(m *Machine, orders []rank.Order)) (list []*world) {
	if w.leaders[i].Phase == Deposed {
		return nil
	}
	if w.budget > 0 && i == 0 && len(w.leaders) == 1 { // It stops for a while and another one takes over.
		c := w.clone()
		c.budget--
		c.leaders = append(c.leaders, New(searchRanks, second, NoAbsence, w.leaders[0].Epoch, c.leaders[0].Fence+10))
		list = append(list, c)
		c = w.clone() // The same with its instance, which another one notices.
		c.budget--
		c.asleep, c.own.closed = true, true
		c.leaders = append(c.leaders, New(searchRanks, second, c.own.absence(), w.leaders[0].Epoch, c.leaders[0].Fence+10))
		list = append(list, c)
	}
	if i == 0 && w.asleep {
		c := w.clone()
		c.asleep = false
		return []*world{c}
	}
	if m := w.leaders[i]; m.Epoch != w.epoch { // It sees the new epoch at some time, and goes on until then.
		c := w.clone()
		c.leaders[i] = New(searchRanks, m.Self, NoAbsence, w.epoch, m.Fence+10)
		list = append(list, c)
	}
	if m := w.leaders[i]; m.AbsentRank() != NoRank && !w.asleep { // It answers again: all are asked from now on.
		c := w.clone()
		c.leaders[i] = New(searchRanks, m.Self, NoAbsence, m.Epoch, m.Fence+10)
		list = append(list, c)
	}
	switch m := w.leaders[i]; m.Phase {
	case Settling, Ready:
		c := w.clone()
		lead := c.leaders[i]
		lead.Observe(c.reports())
		if lead.Phase == Ready {
			c.ready(lead)
		}
		if c.key() != w.key() {
			list = append(list, c)
		}
		return list
	case Holding, Arming:
		if w.budget > 0 {
			c := w.clone()
			c.budget--
			c.leaders[i].Abort()
			list = append(list, c)
		}
	}
	orders := w.leaders[i].Next()
	if spoil != nil {
		spoil(w.leaders[i], orders)
	}
	for r, o := range orders {
		if o.Op == "" {
			continue
		}
		c := w.clone()
		c.leaders[i].Handle(r, c.give(i, r, o, false))
		list = append(list, c)
		if w.budget > 0 && len(w.late) < maxLate { // The answer is lost; it is carried out later.
			c := w.clone()
			c.budget--
			c.leaders[i].Handle(r, c.give(i, r, o, true))
			list = append(list, c)
		}
		break // Ranks are asked in order; the other orders of asking are not searched.
	}
	return list
}

// give gives a rank an order of a leader; it may be lost, and is carried out later
// then.
func (w *world) give(i, r int, o rank.Order, lost bool) (result rank.Result) {
	own := i == 0 && r == 0 && o.Op == rank.Arm
	if own && w.own.closed {
		return rank.Fenced
	}
	if result = rank.Lost; lost {
		w.late = append(w.late, late{r, o})
	} else {
		result = w.execute(r, o)
	}
	if own {
		w.own.note(o, result)
	}
	return result
}

func (o *ownArming) note(order rank.Order, result rank.Result) {
	arming := rank.Arming{Version: order.Version, Step: order.Step}
	if arming != o.armed {
		o.lost = false
	}
	switch result {
	case rank.Done:
		o.armed, o.lost = arming, false
	case rank.Lost:
		o.armed, o.lost = arming, true
	}
}

// ready begins the next switch, or brings a prepared one into force.
func (w *world) ready(m *Machine) {
	if m.AllPrepared(w.reports()) {
		if w.step+2 <= mostStep && m.Step < mostStep {
			m.SwitchAt(w.step + 2)
		}
		return
	}
	if w.began < mostBegun {
		w.began++
		w.newest++
		m.StartPreparing(max(w.newest, m.HighestVersion+1), nil)
		w.newest = max(w.newest, m.Version)
	}
}

// search visits every reachable world and returns the first that is broken.
func search(faults int, restart restart, spoil func(m *Machine, orders []rank.Order)) (seen int, broken string) {
	first := &world{ranks: make([]ranktest.State, searchRanks), epoch: 1, restart: restart, budget: faults}
	first.leaders = []*Machine{New(searchRanks, 0, NoAbsence, 1, 1)}
	visited := map[string]bool{first.key(): true}
	queue := []*world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if len(visited) > mostStates {
			return len(visited), "too many states"
		}
		for _, n := range w.next(spoil) {
			if n.broken != "" {
				return len(visited), n.broken + "\n" + n.story()
			}
			if k := n.key(); !visited[k] {
				visited[k] = true
				queue = append(queue, n)
			}
		}
	}
	return len(visited), ""
}

func TestNoPassOnTwoMaps(t *testing.T) {
	g := NewWithT(t)
	seen, broken := search(2, never, nil)
	t.Logf("%d states", seen)
	g.Expect(broken).To(BeEmpty())
	g.Expect(seen).To(BeNumerically(">", 1000))
}

// A rank that starts again under its id, in whatever state the group and its leaders
// are, and with whatever orders on their way, leaves the group on one map.
func TestNoPassOnTwoMapsWhenARankStartsAgain(t *testing.T) {
	g := NewWithT(t)
	seen, broken := search(1, forgets, nil)
	t.Logf("%d states", seen)
	g.Expect(broken).To(BeEmpty())
	g.Expect(seen).To(BeNumerically(">", 10_000))
}

// The search notices what a rank forgets alone.
func TestSearchFindsWhatARestartLeaves(t *testing.T) {
	g := NewWithT(t)
	seen, broken := search(1, remembers, nil)
	t.Logf("after %d states: %.40s", seen, broken)
	g.Expect(broken).To(ContainSubstring("on maps"))
}

// each makes a fault of all orders of one of each.
func each(spoil func(m *Machine, o *rank.Order)) func(m *Machine, orders []rank.Order) {
	return func(m *Machine, orders []rank.Order) {
		for r := range orders {
			if orders[r].Op != "" {
				spoil(m, &orders[r])
			}
		}
	}
}

// The search must find faults that are put into the protocol.
func TestSearchFindsFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(m *Machine, orders []rank.Order)
	}{
		{"no hold", each(func(m *Machine, o *rank.Order) {
			if o.Op == rank.Hold {
				o.Step += 100
			}
		})},
		{"let go before all are armed", each(func(m *Machine, o *rank.Order) {
			if m.Phase == Arming && m.done[1] {
				o.Op = rank.Release
			}
		})},
		{"a higher fence is not taken to give up", each(func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing || m.Phase == Freeing {
				o.Fence--
			}
		})},
		{"an arming is not taken back", each(func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing {
				o.Version = unusedVersion
			}
		})},
		{"the holder arms the leader's rank after all", func(m *Machine, orders []rank.Order) {
			if m.AbsentRank() != NoRank {
				m.absence.ArmingKnown, m.absence.Armed = true, rank.Arming{}
			}
		}},
		{"the own rank is armed first", func(m *Machine, orders []rank.Order) {
			if m.Phase == Arming && !m.done[m.Self] {
				orders[m.Self] = m.order(m.Self)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			seen, broken := search(2, never, tc.spoil)
			t.Logf("after %d states: %.40s", seen, broken)
			g.Expect(broken).To(ContainSubstring("on maps"))
		})
	}
}

// From every state in which faults are over, the group goes on: no hold is left
// behind for ever.
func TestHoldsAreLetGo(t *testing.T) {
	g := NewWithT(t)
	m := New(searchRanks, 1, NoAbsence, 1, 20)
	w := &world{ranks: make([]ranktest.State, searchRanks), epoch: 1, leaders: []*Machine{m}}
	w.ranks[0].HeldPass = 3 // Of a leader that is gone, after two of three were armed.
	w.ranks[0].Prepared, w.ranks[1].Prepared, w.ranks[2].Prepared = 7, 7, 7
	w.ranks[0].Armed = rank.Arming{Version: 7, Step: 3}
	w.ranks[1].Armed = rank.Arming{Version: 7, Step: 3}
	w.step = 2
	for range 50 {
		if m.Phase == Settling {
			m.Observe(w.reports())
		}
		for r, o := range m.Next() {
			if o.Op != "" {
				m.Handle(r, w.execute(r, o))
			}
		}
	}
	g.Expect(m.Phase).To(Equal(Ready))
	g.Expect(w.mayPass()).To(BeTrue())
	w.pass()
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.ranks[2].Map).To(BeZero())
}

// A leader whose instance froze with a hold standing does not keep the group from
// going on, unless it may have armed its own rank.
func TestAHoldOfAFrozenLeaderIsLetGo(t *testing.T) {
	for _, tc := range []struct {
		name  string
		armed []int // Ranks that the frozen leader, rank 0, has armed.
		own   Absence
		goes  bool
		onMap uint64
	}{
		{"none is armed", nil, Absence{}, true, 0},
		{"one of the others is armed", []int{1}, Absence{}, true, 0},
		{"all others are armed, and who knows of the last", []int{1, 2}, Absence{}, false, 0},
		{"all others are armed, and surely not the last", []int{1, 2}, Absence{ArmingKnown: true}, true, 0},
		{"all are armed", []int{0, 1, 2}, Absence{ArmingKnown: true, Armed: rank.Arming{Version: 7, Step: 3}}, true, 7},
		{"the last was armed for a pass before", []int{1, 2}, Absence{ArmingKnown: true, Armed: rank.Arming{Version: 6, Step: 2}}, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := New(searchRanks, second, tc.own, 1, 20)
			w := &world{ranks: make([]ranktest.State, searchRanks), epoch: 1, leaders: []*Machine{m}, step: 2, asleep: true}
			w.ranks[Holder(0)].HeldPass = 3
			for _, r := range tc.armed {
				w.ranks[r].Prepared, w.ranks[r].Armed = 7, rank.Arming{Version: 7, Step: 3}
			}
			for range 20 {
				m.Observe(w.reports())
				for r, o := range m.Next() {
					g.Expect(o.Op == "" || r != 0).To(BeTrue(), "the frozen rank is asked for nothing")
					if o.Op != "" {
						m.Handle(r, w.execute(r, o))
					}
				}
			}
			g.Expect(w.mayPass()).To(Equal(tc.goes))
			g.Expect(m.Phase).To(Equal(Settling), "no map is changed without the absent rank")
			if tc.goes {
				w.pass()
				g.Expect(w.broken).To(BeEmpty())
				g.Expect(w.ranks[0].Map).To(Equal(tc.onMap))
			}
		})
	}
}
