// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

// restartMode says whether, and how, one rank may restart once under its id.
type restartMode int

const (
	noRestart      restartMode = iota
	groupForgets               // The whole group forgets its maps and armings, as the published engine contract says.
	groupRemembers             // Only the restarted rank forgets them: a fault of the engines.
)

// isolation is what an instance that no other reaches still does.
type isolation int

const (
	frozen isolation = iota + 1 // Its sidecar does nothing; its engine takes part in passes.
	cutOff                      // Its sidecar and its engine reach each other only.
)

// lateOrder is an order whose answer was lost and that may still be carried out.
type lateOrder struct {
	rank      int
	order     rank.Order
	viaHolder bool // It has not reached the sidecar of the leader's holder yet.
}

// scenario says which faults a search plays.
type scenario struct {
	faults         int // Number of faults that may occur.
	leaders        int // Number of leaders at most, one after the other; default 2.
	first          int // Rank of the first leader.
	successors     []int
	isolations     []isolation
	anyOrder       bool // Ranks carry out the orders of a phase in any sequence, not only in ascending order.
	restart        restartMode
	prepared       bool      // The search begins when the first leader has a map prepared everywhere.
	holderRestarts bool      // The sidecar of a holder may restart.
	leaderRestarts bool      // A leader's sidecar may restart and lead again, with nothing remembered.
	passes         uint64    // Number of passes at most; default maxStep.
	copies         bool      // A map is prepared some time after the order; otherwise with it.
	oldReports     bool      // Leaders may act on reports of any time since their last order.
	orders         []rank.Op // The orders that may be late; default all.
	steps          uint64    // The last pass to switch at; default maxStep.
	switches       int       // Number of switches that may begin; default maxSwitches.
	inject         func(m *Machine, orders []rank.Order)
	visit          func(w *world) // Called for each state.
}

// world is a state of the model: a group, the orders in transit, and the leaders.
type world struct {
	*scenario
	step          uint64 // Newest pass that began.
	ranks         []ranktest.State
	lateOrders    []lateOrder // At most maxLate.
	leaders       []*Machine
	seen          map[int][]rank.Report // Reports that leaders have read and not acted on yet, by index of the leader.
	mapsMade      int                   // Number of maps made: each has another content.
	topFence      uint64                // Fence of the newest leader.
	epoch         uint64
	restart       restartMode
	isolated      int // Rank whose instance is isolated, or NoRank.
	isolation     isolation
	own           [searchRanks]OwnArming // By holder, what it knows of its leader's arming.
	faultsLeft    int                    // Number of faults that may still occur.
	switchesBegun int                    // Number of switches begun.
	violation     string
	cause         string
	parent        *world // Predecessor, to print how a violation came about.
}

// trace prints the states that led to w.
func (w *world) trace() (s string) {
	for ; w != nil; w = w.parent {
		if w.cause == "" {
			continue // An intermediate step.
		}
		s = fmt.Sprintf("%-40s pass %d ranks %+v late %+v", w.cause, w.step, w.ranks, w.lateOrders) + w.describeLeaders() + "\n" + s
	}
	return s
}

func (w *world) describeLeaders() (s string) {
	for _, m := range w.leaders {
		s += fmt.Sprintf(" | leader %d fence %d %v v%d s%d %v", m.Self, m.Fence, m.Phase, m.Version, m.Step, m.confirmed)
	}
	return s
}

const (
	maxLate       = 2
	searchRanks   = 3
	successorRank = 1 // Rank of the leader that takes over: the holder of the first one.
	maxStep       = 5
	maxSwitches   = 2
	maxStates     = 8_000_000 // A search that visits more is taken as unbounded.
	// fenceStride separates the fences of leaders, which raise their own fence to abort.
	fenceStride = 10
)

// execute carries out an order at an engine.
func (w *world) execute(r int, o rank.Order) rank.Result {
	if o.Epoch != w.epoch {
		return rank.Conflict
	}
	result := w.ranks[r].Execute(o, w.step)
	if !w.copies {
		w.ranks[r].CompleteCopy()
	}
	w.own[r].ObserveRank(w.ranks[r].HeldPass, w.ranks[r].Armed)
	return result
}

// canPass reports whether the group may begin its next pass.
func (w *world) canPass() bool {
	return w.step < w.passes && !w.held()
}

// held reports whether a rank keeps the group's next pass from beginning.
func (w *world) held() bool {
	for _, e := range w.ranks {
		if e.HeldPass == w.step+1 {
			return true
		}
	}
	return false
}

// pass begins the next pass and checks that all ranks are on one map.
func (w *world) pass() {
	w.step++
	for r := range w.ranks {
		w.ranks[r].Begin(w.step)
	}
	for _, e := range w.ranks {
		if first := w.ranks[0]; e.Map != first.Map || e.Content != first.Content {
			w.violation = fmt.Sprintf("pass %d on maps %d and %d (%x and %x)", w.step, first.Map, e.Map, first.Content, e.Content)
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
	c.confirmed = append([]bool(nil), m.confirmed...)
	c.holds = append([]uint64(nil), m.holds...)
	c.refused = append([]bool(nil), m.refused...)
	return &c
}

// after returns a copy of w in which something may happen next.
func (w *world) after(cause string) *world {
	c := *w
	c.parent, c.cause = w, cause
	c.ranks = append([]ranktest.State(nil), w.ranks...)
	c.lateOrders = append([]lateOrder(nil), w.lateOrders...)
	c.leaders = nil
	for _, m := range w.leaders {
		c.leaders = append(c.leaders, m.clone())
	}
	c.seen = maps.Clone(w.seen)
	return &c
}

// worldKey identifies a state.
type worldKey [16]byte

func (w *world) key() (k worldKey) {
	b := make([]byte, 0, 256)
	number := func(list ...uint64) {
		for _, n := range list {
			b = binary.AppendUvarint(b, n)
		}
	}
	flags := func(list ...bool) {
		for _, f := range list {
			if b = append(b, 0); f {
				b[len(b)-1] = 1
			}
		}
	}
	arming := func(a rank.Arming) { number(a.Version, a.Step) }
	number(w.step, w.topFence, w.epoch, uint64(w.restart), uint64(w.isolated+1), uint64(w.isolation), uint64(w.faultsLeft), uint64(w.switchesBegun), uint64(len(w.lateOrders)))
	for _, e := range w.ranks {
		number(e.Fence, e.Map, e.Content, e.Had, e.NextContent, e.Prepared, e.HeldPass)
		arming(e.Armed)
		flags(e.Copying)
	}
	for _, l := range w.lateOrders {
		b = append(b, l.order.Op...)
		number(uint64(l.rank), l.order.Fence, l.order.Epoch, l.order.Version, l.order.Step, mapNumber(l.order.Map))
		flags(l.viaHolder)
	}
	for _, a := range w.own {
		number(a.epoch, a.fence, a.newest)
		arming(a.requested)
		flags(a.uncertain, a.known)
	}
	for i, m := range w.leaders {
		if number(uint64(m.Self)); m.Phase == Deposed {
			flags(true)
			continue // It does nothing any more.
		}
		for _, e := range w.seen[i] {
			number(e.Step, e.Map, e.Prepared, e.HeldPass)
			arming(e.Armed)
		}
		number(mapNumber(m.layout), m.Epoch, uint64(m.absent.Rank+1), m.Fence, uint64(m.Phase), m.Version, m.Step, m.HighestVersion, uint64(m.holdConflicts), uint64(m.refusals))
		arming(m.absent.Armed)
		arming(m.toDisarm)
		number(m.holds...)
		flags(m.confirmed...)
		flags(m.refused...)
		flags(m.absent.ArmingKnown, m.absenceResolved, m.versionRetired, m.ownRequested)
	}
	h := fnv.New128a()
	_, _ = h.Write(b) // Never fails.
	return worldKey(h.Sum(k[:0]))
}

// successors returns every world that can follow.
func (w *world) successors() (list []*world) {
	if w.canPass() {
		c := w.after("pass")
		c.pass()
		list = append(list, c)
	}
	for i := range w.lateOrders { // A late order is carried out now.
		l := w.lateOrders[i]
		c := w.after(fmt.Sprintf("late %s at %d, via holder %t", l.order.Op, l.rank, l.viaHolder))
		c.lateOrders = append(c.lateOrders[:i], c.lateOrders[i+1:]...)
		if !l.viaHolder {
			c.execute(l.rank, l.order)
		} else if h := Holder(l.rank); w.reaches(h, l.rank) {
			c.armViaHolder(h, l.rank, l.order)
		}
		list = append(list, c)
	}
	for i := range w.leaders {
		list = append(list, w.leaderSteps(i)...)
	}
	for r := range w.ranks {
		if !w.ranks[r].Copying {
			continue
		}
		c := w.after(fmt.Sprintf("rank %d has copied", r))
		c.ranks[r].CompleteCopy()
		list = append(list, c)
	}
	for r := 0; w.restart != noRestart && r < len(w.ranks); r++ {
		c := w.after("rank restarts")
		c.restartRank(r)
		list = append(list, c)
	}
	return append(list, w.faultSteps()...)
}

// faultSteps returns the worlds that follow when an instance is isolated or reached again, another
// leader takes over, or a holder's sidecar restarts.
func (w *world) faultSteps() (list []*world) {
	if w.isolated != NoRank {
		c := w.after("reached again")
		c.isolated, c.isolation = NoRank, 0
		list = append(list, c)
	}
	if w.isolated == NoRank && w.faultsLeft > 0 {
		for _, how := range w.isolations {
			c := w.after("isolated")
			c.faultsLeft--
			c.isolated, c.isolation = w.leaders[len(w.leaders)-1].Self, how
			list = append(list, c)
		}
	}
	if price := w.takeoverPrice(); len(w.leaders) < w.scenario.leaders && price <= w.faultsLeft {
		for _, r := range w.scenario.successors {
			restarts := r == w.leaders[len(w.leaders)-1].Self
			if r == w.isolated || restarts && !w.leaderRestarts || restarts && w.faultsLeft == 0 {
				continue
			}
			c := w.after(fmt.Sprintf("rank %d takes over", r))
			c.faultsLeft -= price
			if w.leaderRestarts {
				c.endProcess(r)
			}
			if m := c.newMachine(r); m != nil {
				c.leaders = append(c.leaders, m)
				list = append(list, c)
			}
		}
	}
	for h := range w.own {
		if !w.holderRestarts || w.faultsLeft == 0 || w.own[h] == (OwnArming{}) {
			continue
		}
		c := w.after("holder restarts")
		c.faultsLeft--
		c.endProcess(h)
		list = append(list, c)
	}
	return list
}

// endProcess has the sidecar of rank r restart: it leads no more and remembers nothing.
func (w *world) endProcess(r int) {
	w.own[r] = OwnArming{}
	for _, m := range w.leaders {
		if m.Self == r {
			m.Phase = Deposed
		}
	}
	w.own[r].ObserveRank(w.ranks[r].HeldPass, w.ranks[r].Armed)
}

// takeoverPrice returns how many faults it takes for another leader to take over: none while the
// newest leader is isolated.
func (w *world) takeoverPrice() int {
	if w.isolated == w.leaders[len(w.leaders)-1].Self {
		return 0
	}
	return 1
}

// newMachine returns the machine of a leader that begins now, or nil if it cannot begin: it must reach
// all ranks except one that has led before.
func (w *world) newMachine(self int) *Machine {
	if w.isolated == self {
		return nil
	}
	fence, absence := w.topFence+fenceStride, NoAbsence
	if w.isolated != NoRank {
		if !w.hasLed(w.isolated) {
			return nil
		}
		absence = Absence{Rank: w.isolated}
		if self == Holder(w.isolated) {
			absence = w.own[self].TakeOver(w.isolated, w.epoch, fence)
		}
	}
	w.topFence = fence
	return New(searchRanks, self, absence, w.epoch, fence)
}

func (w *world) hasLed(r int) bool {
	for _, m := range w.leaders {
		if m.Self == r {
			return true
		}
	}
	return false
}

// reaches reports whether one rank's sidecar reaches the engine or sidecar of another.
func (w *world) reaches(from, to int) bool {
	if from == to {
		return from != w.isolated || w.isolation != frozen
	}
	return from != w.isolated && to != w.isolated
}

// restartRank has a rank crash and restart under its id. The group opens in a new epoch, with nothing
// in force, prepared, armed or held; the restarted rank has forgotten its fence, the others have not.
func (w *world) restartRank(r int) {
	w.epoch++
	for i := range w.ranks {
		if w.restart == groupForgets {
			w.ranks[i] = ranktest.State{Fence: w.ranks[i].Fence}
		}
	}
	w.ranks[r] = ranktest.State{}
	w.restart = noRestart
	for h := range w.own {
		w.own[h].ObserveRank(w.ranks[h].HeldPass, w.ranks[h].Armed)
	}
}

// leaderSteps returns the worlds that can follow from a step of a leader.
func (w *world) leaderSteps(i int) (list []*world) {
	m := w.leaders[i]
	if m.Phase == Deposed || m.Self == w.isolated && w.isolation == frozen {
		return nil
	}
	// The leader notices now that the epoch or the absent rank is another one, or continues as before.
	if m.Self != w.isolated && (m.Epoch != w.epoch || m.AbsentRank() != w.isolated) {
		c := w.after(fmt.Sprintf("leader %d begins again", m.Self))
		if c.leaders[i] = c.newMachine(m.Self); c.leaders[i] != nil {
			list = append(list, c)
		}
	}
	switch m.Phase {
	case Settling, Ready:
		if w.isolated == NoRank || w.isolated == m.AbsentRank() {
			list = append(list, w.observe(i)...)
		}
		return list
	case Holding, Arming:
		c := w.after(fmt.Sprintf("leader %d aborts", m.Self))
		if w.isolated == NoRank {
			c.faultsLeft--
		}
		if c.faultsLeft >= 0 {
			c.leaders[i].Abort()
			list = append(list, c)
		}
	}
	return append(list, w.sendOrders(i)...)
}

// observe returns the world in which a leader has taken in the reports of all ranks that it reaches.
func (w *world) observe(i int) []*world {
	if w.oldReports && w.seen[i] == nil {
		c := w.after(fmt.Sprintf("leader %d reads reports", w.leaders[i].Self))
		if c.seen == nil {
			c.seen = map[int][]rank.Report{}
		}
		c.seen[i] = c.reports()
		return []*world{c}
	}
	c := w.after(fmt.Sprintf("leader %d looks", w.leaders[i].Self))
	lead, reports := c.leaders[i], c.reports()
	if w.oldReports {
		reports = w.seen[i]
		delete(c.seen, i)
	}
	lead.Observe(reports)
	if lead.Phase == Ready {
		c.ready(lead, reports)
	}
	if c.key() == w.key() {
		return nil
	}
	return []*world{c}
}

// sendOrders returns the worlds in which one rank has received its order from leader i: the order is
// answered; or it is lost and carried out later or never; or, if it is sent through the holder, its
// answer is lost to the leader only, or it reaches the holder later.
func (w *world) sendOrders(i int) (list []*world) {
	next := w.after("")
	m := next.leaders[i]
	orders := m.Next()
	if w.inject != nil {
		w.inject(m, orders)
	}
	for r, o := range orders {
		if o.Op == "" {
			continue
		}
		viaHolder := r == m.Self && o.Op == rank.Arm
		to := r
		if viaHolder {
			to = Holder(r)
		}
		base := *next
		base.parent = w
		reached := w.reaches(m.Self, to)
		if reached {
			c := base.after(fmt.Sprintf("leader %d: %s at %d", m.Self, o.Op, r))
			c.leaders[i].Handle(r, c.deliver(r, o, viaHolder))
			list = append(list, c)
		}
		if viaHolder && reached && w.faultsLeft > 0 {
			c := base.after("  the answer is lost to the leader only")
			c.faultsLeft--
			c.deliver(r, o, viaHolder)
			c.leaders[i].Handle(r, rank.Lost)
			list = append(list, c)
		}
		if w.faultsLeft > 0 && len(w.lateOrders) < maxLate && (w.orders == nil || slices.Contains(w.orders, o.Op)) {
			c := base.after(fmt.Sprintf("leader %d: %s at %d is late", m.Self, o.Op, r))
			c.faultsLeft--
			c.lateOrders = append(c.lateOrders, lateOrder{r, o, viaHolder})
			c.leaders[i].Handle(r, rank.Lost)
			list = append(list, c)
			if viaHolder && reached { // Lost between the holder and the engine.
				c := base.after("  the order of the holder is late")
				c.faultsLeft--
				if previous, ok := c.beginOwnArming(to, o); ok {
					c.lateOrders = append(c.lateOrders, lateOrder{r, o, false})
					c.own[to].End(previous, rank.Lost)
				}
				c.leaders[i].Handle(r, rank.Lost)
				list = append(list, c)
			}
		}
		if reached && !w.anyOrder {
			break // Ranks are asked in ascending order.
		}
	}
	return list
}

// deliver delivers an order to rank r.
func (w *world) deliver(r int, o rank.Order, viaHolder bool) rank.Result {
	if viaHolder {
		return w.armViaHolder(Holder(r), r, o)
	}
	return w.execute(r, o)
}

// armViaHolder has the sidecar of rank h arm rank r, as its leader asks.
func (w *world) armViaHolder(h, r int, o rank.Order) rank.Result {
	previous, ok := w.beginOwnArming(h, o)
	if !ok {
		return rank.Fenced
	}
	result := rank.Lost
	if w.reaches(h, r) {
		result = w.execute(r, o)
	}
	w.own[h].End(previous, result)
	return result
}

// beginOwnArming begins an arming at the sidecar of rank h, which has its own engine accept the fence.
func (w *world) beginOwnArming(h int, o rank.Order) (previous OwnArming, ok bool) {
	if w.own[h].IsNewFence(o.Fence) && w.execute(h, FenceOrder(o.Fence, o.Epoch)) == rank.Done {
		w.own[h].ObserveFence(o.Fence)
	}
	return w.own[h].Begin(o)
}

// ready begins the next switch, or switches to the prepared map.
func (w *world) ready(m *Machine, reports []rank.Report) {
	if m.AllPrepared(reports) {
		if w.step+2 <= w.steps && m.Step < w.steps {
			m.SwitchAt(w.step + 2)
		}
		return
	}
	if w.switchesBegun < w.switches {
		w.switchesBegun++
		w.mapsMade++
		m.StartPreparing(time.Time{}, [][][]int{{{w.mapsMade}}}) // The clock tells nothing about earlier versions.
	}
}

// mapNumber returns the number of a map that the search made; 0 for none.
func mapNumber(layout [][][]int) uint64 {
	if layout == nil {
		return 0
	}
	return uint64(layout[0][0][0])
}

// follow has a leader carry out its orders for some rounds, with all ranks that it expects to answer.
func (w *world) follow(m *Machine, rounds int) {
	for range rounds {
		m.Observe(w.reports())
		for r, o := range m.Next() {
			if o.Op != "" {
				m.Handle(r, w.execute(r, o))
			}
		}
	}
}
