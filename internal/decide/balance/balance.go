// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package balance chooses the endpoint of a request among those of its service,
// from what the endpoints report and from what callers got of them. It is a
// pure state machine: time and chance come in as arguments, and the caller
// serialises access.
package balance

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Load is what an endpoint's report says.
type Load struct {
	StartedAt int64         // When the life that tells it began, Unix milliseconds; 0 when not told.
	Running   int           // Requests at work.
	Waiting   int           // Requests in its queue.
	Group     string        // Of ranks that stand and fall together; "" for none.
	Epoch     uint64        // Of the group; another one when it has formed anew.
	Closed    bool          // It serves nothing now, as when its group is broken.
	PassTime  time.Duration // Time between two events of its streams; 0 when not told.
	Slowdown  float64       // Above 1 when it is slow; 0 when not told.
	At        time.Time     // When the report was made, by this process's clock.
}

// Times and limits of judgement.
const (
	// reportAge is how long a report counts: reports come several times a
	// second, and older ones mislead more than they tell.
	reportAge = 1500 * time.Millisecond
	// failLimit is how many failures in a row, with none between them that went
	// well, take an endpoint out.
	failLimit = 3
	// badShare and badLeast take an endpoint out when so large a share of at
	// least so many weighted outcomes failed.
	badShare = 0.3
	badLeast = 4.0
	// outcomeAge halves the weight of outcomes.
	outcomeAge = 3 * time.Second
	// firstOut and longestOut bound the time that an endpoint is out; each time
	// in a row doubles it.
	firstOut   = 1 * time.Second
	longestOut = 6 * time.Second
	// misplacedOut is how long an endpoint is out whose address another one
	// has: its entry lapses after three heartbeats of 1.2 s.
	misplacedOut = 4 * time.Second
	// outShare is the part of a service's endpoints that may be out at once.
	outShare = 0.4
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	own      int   // Requests of this process at work there.
	born     int64 // Of the newest life that told its load; 0 when not told.
	load     Load
	ownThen  int     // own when load was told.
	good     float64 // Weighted outcomes.
	bad      float64
	weighed  time.Time
	inRow    int // Failures since the last success.
	outs     int // Times out in a row.
	outUntil time.Time
	trial    bool // It is back on trial: one request at a time.
	gone     bool // Another endpoint was found at its address.
}

// Table holds what is known of all endpoints.
type Table struct {
	by      map[string]*endpoint
	usual   int                  // Mean requests at ranks whose load is known.
	closed  map[string]time.Time // Groups by the newest report that they serve nothing.
	outages outages
}

// New returns an empty table.
func New() *Table {
	return &Table{by: map[string]*endpoint{}, closed: map[string]time.Time{}, outages: newOutages()}
}

func (t *Table) of(id string) *endpoint {
	e, ok := t.by[id]
	if !ok {
		e = &endpoint{}
		t.by[id] = e
	}
	return e
}

// Report takes in an endpoint's report. One of a later life, whose entry was not seen
// yet, ends what is known of the endpoint but for the requests of this process; it
// reports false for one of an earlier life, which is left out.
func (t *Table) Report(id string, l Load) (counts bool) {
	e := t.of(id)
	switch fleet.CompareIncarnations(e.born, l.StartedAt) {
	case -1:
		return false
	case 1:
		*e = endpoint{own: e.own}
	}
	e.born = max(e.born, l.StartedAt)
	if l.At.Before(e.load.At) {
		return true
	}
	e.load, e.ownThen = l, e.own
	if l.Group == "" {
		return true
	}
	t.outages.note(l.Group, l.Closed, l.At)
	if l.Closed {
		t.closed[l.Group] = l.At
	} else {
		delete(t.closed, l.Group) // All ranks open together.
	}
	return true
}

// Start notes that a request of this process goes to an endpoint.
func (t *Table) Start(id string) { t.of(id).own++ }

// End notes that it has ended there.
func (t *Table) End(id string) {
	e := t.of(id)
	e.own--
	if e.own < e.ownThen {
		// What ended was in the report.
		e.ownThen--
		e.load.Running--
	}
}

// busy estimates the requests at an endpoint.
func (e *endpoint) busy(now time.Time) int {
	if now.Sub(e.load.At) > reportAge {
		return e.own
	}
	return max(e.load.Running+e.load.Waiting+e.own-e.ownThen, e.own)
}

// LoadAge returns how long ago an endpoint's load was told; ok is false when it never was.
func (t *Table) LoadAge(id string, now time.Time) (age time.Duration, ok bool) {
	at := t.of(id).load.At
	return now.Sub(at), !at.IsZero()
}

// Outstanding estimates the requests at an endpoint.
func (t *Table) Outstanding(id string, now time.Time) int { return t.of(id).busy(now) }

// AllClosed reports whether every candidate whose load is known serves nothing now.
func (t *Table) AllClosed(list []Candidate, now time.Time) bool {
	known := false
	for _, c := range list {
		e := t.of(c.ID)
		if now.Sub(e.load.At) > reportAge {
			continue
		}
		if !e.load.Closed {
			return false
		}
		known = true
	}
	return known
}

// LastReport returns when one of the candidates was last heard, zero when none ever was.
func (t *Table) LastReport(list []Candidate) (at time.Time) {
	for _, c := range list {
		if e := t.by[c.ID]; e != nil && e.load.At.After(at) {
			at = e.load.At
		}
	}
	return at
}

// Serving returns the candidates that serve as far as is known: those that say so, and
// those that are silent while a group that may be theirs says so, since all ranks of a
// group open together. What is heard of the first few after an outage so counts for all
// of them. Known is false when nothing is heard of any group.
func (t *Table) Serving(list []Candidate, now time.Time) (serving []Candidate, known bool) {
	open := map[string]bool{} // Groups that are heard, by whether their newest word is that they serve.
	for _, e := range t.by {
		if e.load.Group == "" || now.Sub(e.load.At) > reportAge {
			continue
		}
		at, closed := t.closed[e.load.Group]
		open[e.load.Group] = !closed || now.Sub(at) > reportAge
	}
	anyOpen := false
	for _, serves := range open {
		anyOpen = anyOpen || serves
	}
	for _, c := range list {
		load := t.of(c.ID).load
		serves, heard := open[load.Group]
		if heard && serves || !heard && load.Group == "" && anyOpen {
			serving = append(serving, c)
		}
	}
	return serving, len(open) > 0
}

// LastReportOfAny returns when any endpoint was last heard, zero when none ever was.
func (t *Table) LastReportOfAny() (at time.Time) {
	for _, e := range t.by {
		if e.load.At.After(at) {
			at = e.load.At
		}
	}
	return at
}

// Open reports whether an endpoint says that it serves now.
func (t *Table) Open(id string, now time.Time) bool {
	e := t.of(id)
	return now.Sub(e.load.At) <= reportAge && !e.load.Closed
}

// OpenSince reports whether an endpoint of a group has said after a moment that it
// serves.
func (t *Table) OpenSince(group string, since, now time.Time) bool {
	for _, e := range t.by {
		if e.load.Group == group && e.load.At.After(since) && !e.load.Closed && now.Sub(e.load.At) <= reportAge {
			return true
		}
	}
	return false
}

func (e *endpoint) age(now time.Time) {
	if d := now.Sub(e.weighed); d > 0 && !e.weighed.IsZero() {
		keep := 1 / (1 + d.Seconds()/outcomeAge.Seconds())
		e.good *= keep
		e.bad *= keep
	}
	e.weighed = now
}

// RecordSuccess notes an outcome that an endpoint is not to blame for.
func (t *Table) RecordSuccess(id string, now time.Time) {
	e := t.of(id)
	e.age(now)
	e.good++
	e.inRow = 0
	e.trial = false
	if now.After(e.outUntil.Add(longestOut)) {
		e.outs = 0
	}
}

// RecordFailure notes a failure that an endpoint is to blame for. Weight is 1 for a plain
// failure. It reports whether the endpoint is taken out, and for how long.
func (t *Table) RecordFailure(id string, weight float64, now time.Time) (out time.Duration, ok bool) {
	e := t.of(id)
	e.age(now)
	e.bad += weight
	e.inRow++
	if now.Before(e.outUntil) {
		return 0, false
	}
	judged := e.trial || e.inRow >= failLimit || e.good+e.bad >= badLeast && e.bad/(e.good+e.bad) >= badShare
	if !judged {
		return 0, false
	}
	out = min(firstOut<<min(e.outs, 4), longestOut)
	e.outs++
	e.outUntil = now.Add(out)
	e.trial = true
	e.good, e.bad, e.inRow = 0, 0, 0
	return out, true
}

// MarkMisplaced notes that another endpoint answers at an endpoint's address: it is
// out until the list tells of the change.
func (t *Table) MarkMisplaced(id string, now time.Time) {
	e := t.of(id)
	e.outUntil = now.Add(misplacedOut)
	e.gone = true
}

// Forget drops what is known of endpoints that are no longer listed.
func (t *Table) Forget(listed func(id string) bool) {
	for id, e := range t.by {
		if e.own == 0 && !listed(id) {
			delete(t.by, id)
		}
	}
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID          string
	SameDomain  bool // In the failure domain of the process.
	Cold        bool // Still cold after its start.
	ColdLimited bool // It is cold and bears few requests a second.
	BudgetSpent bool // It is paced and has got all that this process may send to it for now.
	Slots       int  // Requests that it runs at once; 0 when not told.
	FixedCost   int  // Requests whose work equals that of a pass without any; 0 where there are no passes.
}

// Pick returns the index of the least busy candidate that is not out and not spent, ok
// false when there is none. Endpoints that were taken out count again when too many
// are out. Ties go to the own failure domain and then to chance.
func (t *Table) Pick(list []Candidate, random func(n int) int, now time.Time) (index int, ok bool) {
	limit := int(outShare * float64(len(list)))
	out := 0
	t.usual = t.mean(list, now)
	for _, c := range list {
		if now.Before(t.of(c.ID).outUntil) {
			out++
		}
	}
	index, ok = t.least(list, random, now, out <= limit)
	if !ok {
		index, ok = t.least(list, random, now, false)
	}
	if ok && list[index].FixedCost > 0 {
		index = t.fill(list, index, random, now)
	}
	return index, ok
}

// mean returns the mean requests at the candidates whose load is known.
func (t *Table) mean(list []Candidate, now time.Time) int {
	known, sum := 0, 0
	for _, c := range list {
		if e := t.of(c.ID); now.Sub(e.load.At) <= reportAge {
			known++
			sum += e.busy(now)
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// staleShare is the part of the requests at work that arrive, at all gateways,
// until a report tells of them: a request takes about a second, and reports and
// what follows from them are about a quarter of that behind.
const staleShare = 0.25

// leastArriving is taken in its place when little is at work.
const leastArriving = 3

// fill chooses among ranks that other gateways see just like this one. If all
// took the least busy, it would be the busiest a moment later; so each is drawn
// with the part that it gets of the next arrivals, were they poured in from the
// least busy upwards.
func (t *Table) fill(list []Candidate, least int, random func(n int) int, now time.Time) int {
	floor := t.score(t.of(list[least].ID), list[least], now)
	scores := make([]int, 0, len(list))
	open := make([]int, 0, len(list)) // Indexes of scores in list.
	total := 0
	for i, c := range list {
		e := t.of(c.ID)
		s := t.score(e, c, now)
		if c.BudgetSpent || i != least && (s < floor || s >= floor+slowScore/2 || now.Before(e.outUntil) || e.trial && e.own > 0) {
			continue
		}
		scores = append(scores, s)
		open = append(open, i)
		total += e.busy(now)
	}
	arriving := max(int(staleShare*float64(total)), leastArriving) * scoreUnit
	level := waterLevel(scores, arriving)
	n := random(max(arriving, 1))
	for k, s := range scores {
		if n -= max(level-s, 0); n < 0 {
			return open[k]
		}
	}
	return least
}

// waterLevel returns the level to which an amount fills columns that are so
// high already.
func waterLevel(columns []int, amount int) int {
	sorted := slices.Clone(columns)
	slices.Sort(sorted)
	level := sorted[0]
	for i := 1; i < len(sorted); i++ {
		need := (sorted[i] - level) * i
		if need >= amount {
			return level + amount/i
		}
		amount -= need
		level = sorted[i]
	}
	return level + amount/len(sorted)
}

func (t *Table) least(list []Candidate, random func(n int) int, now time.Time, judge bool) (index int, ok bool) {
	best, ties := 0, 0
	for i, c := range list {
		e := t.of(c.ID)
		if c.BudgetSpent || e.gone && now.Before(e.outUntil) {
			continue
		}
		if judge && (now.Before(e.outUntil) || e.trial && e.own > 0) {
			continue
		}
		score := t.score(e, c, now)
		switch {
		case !ok || score < best:
			index, ok, best, ties = i, true, score, 1
		case score == best:
			ties++
			if random(ties) == 0 {
				index = i
			}
		}
	}
	return index, ok
}

// Parts of a score, in requests times scoreUnit.
const (
	scoreUnit    = 4
	farScore     = 1             // Less than one request: it only breaks ties.
	coldScore    = 2 * scoreUnit // Of an endpoint that is still slow.
	closedScore  = 1 << 20       // Of an endpoint whose group is broken.
	slowScore    = 1 << 10
	silentScore  = 1 << 21
	slowestScore = 8 // Pace above which an endpoint is judged alike.
)

func (t *Table) score(e *endpoint, c Candidate, now time.Time) int {
	fresh := now.Sub(e.load.At) <= reportAge
	busy := e.busy(now)
	if c.FixedCost > 0 && (!fresh || c.ColdLimited) {
		// What is not heard, and what is empty since it has just started, gets no more
		// than its part of the work.
		busy = max(busy, t.usual)
	}
	s := busy * scoreUnit
	if fresh && e.load.Slowdown > 1 {
		// A slow rank holds up every pass of its group, even with little to do.
		s = int(float64(s+scoreUnit*(1+c.FixedCost))*min(e.load.Slowdown, slowestScore)) - scoreUnit*(1+c.FixedCost)
		if c.FixedCost > 0 && e.load.Slowdown*float64(c.FixedCost) > float64(c.FixedCost+c.Slots) {
			s += slowScore // Even idle it takes longer than the others when full.
		}
	}
	if fresh && e.load.Closed {
		s += closedScore
	}
	if at, ok := t.closed[e.load.Group]; ok && !fresh && now.Sub(at) <= reportAge {
		s += silentScore // Its group is down, and it cannot even be heard.
	}
	if !c.SameDomain {
		s += farScore
	}
	if c.Cold || c.ColdLimited {
		s += coldScore
	}
	return s
}
