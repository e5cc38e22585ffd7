// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// engineModel is one rank's engine, by the platform's published protocol.
type engineModel struct {
	fence    uint64
	mapNow   uint64
	prepared uint64
	armed    rank.Arming
	held     uint64
}

// late is an order whose answer was lost and that may still be carried out.
type late struct {
	rank  int
	order rank.Order
}

// world is a group, its orders on their way and up to two leaders.
type world struct {
	step    uint64 // Newest pass that began.
	ranks   []engineModel
	late    []late // Invariant: at most maxLate.
	leaders []*Machine
	frozen  []bool
	budget  int    // Faults left.
	began   int    // Switches begun.
	newest  uint64 // Highest version given out.
	broken  string
	parent  *world // What it followed from, to tell how a rule was broken.
}

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
	mostStep    = 5
	mostBegun   = 2
	mostStates  = 3_000_000 // A search that grows beyond this is not bounded.
)

// execute carries an order out at an engine.
func (w *world) execute(r int, o rank.Order) rank.Result {
	e := &w.ranks[r]
	if o.Fence < e.fence {
		return rank.Fenced
	}
	result := w.obey(e, o)
	if result == rank.Done {
		e.fence = o.Fence // Refused orders leave no fence behind.
	}
	return result
}

func (w *world) obey(e *engineModel, o rank.Order) rank.Result {
	switch o.Op {
	case rank.Prepare:
		if o.Version <= max(e.mapNow, e.prepared, e.armed.Version) {
			return rank.Conflict
		}
		if e.armed.Version != 0 {
			return rank.Conflict
		}
		e.prepared = o.Version
	case rank.Arm:
		want := rank.Arming{Version: o.Version, Step: o.Step}
		if e.armed == want {
			return rank.Done
		}
		if e.prepared != o.Version || w.step >= o.Step || e.armed.Version != 0 {
			return rank.Conflict
		}
		e.armed = want
	case rank.Disarm:
		if e.mapNow == o.Version && o.Version != 0 {
			return rank.Conflict
		}
		if e.armed.Version == o.Version {
			e.armed = rank.Arming{}
		}
	case rank.Hold:
		if w.step >= o.Step || e.held != 0 && e.held != o.Step {
			return rank.Conflict
		}
		e.held = o.Step
	case rank.Go:
		if e.held == o.Step {
			e.held = 0
		}
	}
	return rank.Done
}

// mayPass reports whether the group may begin its next pass.
func (w *world) mayPass() bool {
	if w.step >= mostStep {
		return false
	}
	for _, e := range w.ranks {
		if e.held == w.step+1 {
			return false
		}
	}
	return true
}

// pass begins the next pass and checks that all ranks are on one map.
func (w *world) pass() {
	w.step++
	for r := range w.ranks {
		e := &w.ranks[r]
		if e.armed.Version != 0 && e.armed.Step == w.step {
			e.mapNow, e.armed, e.prepared = e.armed.Version, rank.Arming{}, 0
		}
	}
	for _, e := range w.ranks {
		if e.mapNow != w.ranks[0].mapNow {
			w.broken = fmt.Sprintf("pass %d on maps %d and %d", w.step, w.ranks[0].mapNow, e.mapNow)
		}
	}
}

func (w *world) reports() []rank.Report {
	list := make([]rank.Report, len(w.ranks))
	for r, e := range w.ranks {
		list[r] = rank.Report{Open: true, Epoch: 1, Step: w.step, Map: e.mapNow, Prepared: e.prepared, Armed: e.armed, Held: e.held}
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
	c.ranks = append([]engineModel(nil), w.ranks...)
	c.late = append([]late(nil), w.late...)
	c.frozen = append([]bool(nil), w.frozen...)
	c.leaders = nil
	for _, m := range w.leaders {
		c.leaders = append(c.leaders, m.clone())
	}
	return &c
}

func (w *world) key() string {
	s := fmt.Sprint(w.step, w.ranks, w.late, w.frozen, w.budget, w.began, w.newest)
	for _, m := range w.leaders {
		s += fmt.Sprint(m.Self, m.Fence, m.Phase, m.Version, m.Step, m.Newest, m.done, m.clear, m.held, m.spent)
	}
	return s
}

// next returns every world that can follow.
func (w *world) next(spoil func(m *Machine, o *rank.Order)) (list []*world) {
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
	return list
}

// act returns what a leader may do next.
func (w *world) act(i int, spoil func(m *Machine, o *rank.Order)) (list []*world) {
	if w.leaders[i].Phase == Deposed {
		return nil
	}
	if w.budget > 0 && i == 0 && len(w.leaders) == 1 { // It stops for a while and another one takes over.
		c := w.clone()
		c.budget--
		c.leaders = append(c.leaders, New(searchRanks, 1, 1, c.leaders[0].Fence+10))
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
			c.leaders[i].GiveUp()
			list = append(list, c)
		}
	}
	for r, o := range w.leaders[i].Next() {
		if o.Op == "" {
			continue
		}
		if spoil != nil {
			spoil(w.leaders[i], &o)
		}
		c := w.clone()
		c.leaders[i].Handle(r, c.execute(r, o))
		list = append(list, c)
		if w.budget > 0 && len(w.late) < maxLate { // The answer is lost; it is carried out later.
			c := w.clone()
			c.budget--
			c.late = append(c.late, late{r, o})
			c.leaders[i].Handle(r, rank.Lost)
			list = append(list, c)
		}
		break // Ranks are asked in order; the other orders of asking are not searched.
	}
	return list
}

// ready begins the next switch, or brings a prepared one into force.
func (w *world) ready(m *Machine) {
	if m.Copied(w.reports()) {
		if w.step+2 <= mostStep && m.Step < mostStep {
			m.Switch(w.step + 2)
		}
		return
	}
	if w.began < mostBegun {
		w.began++
		w.newest++
		m.Begin(max(w.newest, m.Newest+1), nil)
		w.newest = max(w.newest, m.Version)
	}
}

// search visits every reachable world and returns the first that is broken.
func search(faults int, spoil func(m *Machine, o *rank.Order)) (seen int, broken string) {
	first := &world{ranks: make([]engineModel, searchRanks), frozen: make([]bool, 2), budget: faults}
	first.leaders = []*Machine{New(searchRanks, 0, 1, 1)}
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
	seen, broken := search(2, nil)
	t.Logf("%d states", seen)
	g.Expect(broken).To(BeEmpty())
	g.Expect(seen).To(BeNumerically(">", 1000))
}

// The search must find faults that are put into the protocol.
func TestSearchFindsFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(m *Machine, o *rank.Order)
	}{
		{"no hold", func(m *Machine, o *rank.Order) {
			if o.Op == rank.Hold {
				o.Step += 100
			}
		}},
		{"let go before all are armed", func(m *Machine, o *rank.Order) {
			if m.Phase == Arming && m.done[0] {
				o.Op = rank.Go
			}
		}},
		{"a higher fence is not taken to give up", func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing || m.Phase == Freeing {
				o.Fence--
			}
		}},
		{"an arming is not taken back", func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing {
				o.Version = unusedVersion
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			seen, broken := search(2, tc.spoil)
			t.Logf("after %d states: %.40s", seen, broken)
			g.Expect(broken).To(ContainSubstring("on maps"))
		})
	}
}

// From every state in which faults are over, the group goes on: no hold is left
// behind for ever.
func TestHoldsAreLetGo(t *testing.T) {
	g := NewWithT(t)
	m := New(searchRanks, 1, 1, 20)
	w := &world{ranks: make([]engineModel, searchRanks), leaders: []*Machine{m}}
	w.ranks[0].held = 3 // Of a leader that is gone, after two of three were armed.
	w.ranks[0].prepared, w.ranks[1].prepared, w.ranks[2].prepared = 7, 7, 7
	w.ranks[0].armed = rank.Arming{Version: 7, Step: 3}
	w.ranks[1].armed = rank.Arming{Version: 7, Step: 3}
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
	g.Expect(w.ranks[2].mapNow).To(BeZero())
}
