// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package balance picks the endpoint of a request among the endpoints of its service, from the load
// that they report and from the outcomes of earlier requests. It is a pure state machine: time and
// randomness are passed in as arguments, and the caller serialises access.
package balance

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Load is the load report of an endpoint.
type Load struct {
	StartedAt int64         // Start of the reporting process, Unix milliseconds; 0 when unknown.
	Running   int           // Requests being executed.
	Waiting   int           // Requests in the endpoint's queue.
	Group     string        // Group of ranks that fail together; "" for none.
	Epoch     uint64        // Epoch of the group; it changes when the group forms anew.
	Closed    bool          // The endpoint serves nothing now, for example because its group is broken.
	PassTime  time.Duration // Time between two events of its streams, one forward pass; 0 when unknown.
	Slowdown  float64       // Slowdown factor: above 1 when the endpoint is slow; 0 when unknown.
	At        time.Time     // Time of the report, by this process's clock.
}

// Limits on the age of reports and outcomes, and on the ejection of failing endpoints.
const (
	// maxReportAge is the age up to which a report is used. Reports arrive several times a second, and
	// older ones mislead more than they inform.
	maxReportAge = 1500 * time.Millisecond
	// maxConsecutiveFailures is the number of failures without a success in between that ejects an
	// endpoint.
	maxConsecutiveFailures = 3
	// maxFailureShare and minOutcomeWeight eject an endpoint when at least this share of its outcomes
	// failed and their total weight is at least minOutcomeWeight.
	maxFailureShare  = 0.3
	minOutcomeWeight = 4.0
	// outcomeHalfLife is the time in which the weight of an outcome halves.
	outcomeHalfLife = 3 * time.Second
	// minEjection and maxEjection bound the time for which an endpoint is ejected; it doubles with
	// each consecutive ejection.
	minEjection = 1 * time.Second
	maxEjection = 6 * time.Second
	// misplacedEjection is the time for which an endpoint is ejected when another endpoint answers at
	// its address: its entry expires after three heartbeats of 1.2 s.
	misplacedEjection = 4 * time.Second
	// maxEjectedShare is the share of a service's endpoints that may be ejected at once; above it,
	// ejections are ignored.
	maxEjectedShare = 0.4
)

// endpoint is the state kept for one endpoint.
type endpoint struct {
	inFlight             int   // Requests of this process in flight at the endpoint.
	startedAt            int64 // Start of the newest process that has reported load, Unix milliseconds; 0 when unknown.
	load                 Load
	inFlightAtReport     int       // inFlight at the time of the report in load.
	successes            float64   // Decayed weight of the successes.
	failures             float64   // Decayed weight of the failures.
	decayedAt            time.Time // When the weights were last decayed.
	consecutiveFailures  int       // Failures since the last success or ejection.
	consecutiveEjections int       // Ejections in a row; a success later than maxEjection after the end of the last one resets it.
	ejectedUntil         time.Time // End of the last ejection; zero when it was never ejected.
	probation            bool      // Admitted after an ejection: one request at a time until one succeeds.
	misplaced            bool      // Another endpoint answered at its address; counts until ejectedUntil.
}

// Table holds the state of all endpoints.
type Table struct {
	endpoints    map[string]*endpoint
	meanLoad     int                  // Mean of the outstanding requests at the candidates with a fresh report; set by each Pick.
	closedGroups map[string]time.Time // By group, the time of its newest report, if that report says it is closed.
	outages      outages
}

// New returns an empty table.
func New() *Table {
	return &Table{endpoints: map[string]*endpoint{}, closedGroups: map[string]time.Time{}, outages: newOutages()}
}

func (t *Table) getOrCreate(id string) *endpoint {
	e, ok := t.endpoints[id]
	if !ok {
		e = &endpoint{}
		t.endpoints[id] = e
	}
	return e
}

// Report records the load report of an endpoint, and whether its group is open. If the report comes
// from a later process of the endpoint than the known one, the endpoint's state is reset; only the
// number of requests that this process has in flight is kept. The new process need not be listed
// yet. Report returns false for a report of an earlier process, which is ignored. A report older
// than the last one of the same process is accepted but has no effect.
func (t *Table) Report(id string, l Load) (accepted bool) {
	e := t.getOrCreate(id)
	switch fleet.CompareIncarnations(e.startedAt, l.StartedAt) {
	case -1:
		return false
	case 1:
		*e = endpoint{inFlight: e.inFlight}
	}
	e.startedAt = max(e.startedAt, l.StartedAt)
	if l.At.Before(e.load.At) {
		return true
	}
	e.load, e.inFlightAtReport = l, e.inFlight
	if l.Group == "" {
		return true
	}
	t.outages.record(l.Group, l.Closed, l.At)
	if l.Closed {
		t.closedGroups[l.Group] = l.At
	} else {
		delete(t.closedGroups, l.Group) // All ranks of a group open together.
	}
	return true
}

// Start records that a request of this process is sent to an endpoint.
func (t *Table) Start(id string) { t.getOrCreate(id).inFlight++ }

// End records that a request of this process has ended at an endpoint.
func (t *Table) End(id string) {
	e := t.getOrCreate(id)
	e.inFlight--
	if e.inFlight < e.inFlightAtReport {
		// The request that ended was included in the report.
		e.inFlightAtReport--
		e.load.Running--
	}
}

// InFlight returns the number of requests of this process that are in flight at an endpoint.
func (t *Table) InFlight(id string) int { return t.getOrCreate(id).inFlight }

// outstanding estimates the number of requests at an endpoint. It takes the requests of the last
// report, adds those that this process has sent since, and subtracts those that it has seen end. When
// the report is too old, it counts only the requests of this process.
func (e *endpoint) outstanding(now time.Time) int {
	if now.Sub(e.load.At) > maxReportAge {
		return e.inFlight
	}
	return max(e.load.Running+e.load.Waiting+e.inFlight-e.inFlightAtReport, e.inFlight)
}

// LoadAge returns the age of an endpoint's last load report; ok is false when there is none.
func (t *Table) LoadAge(id string, now time.Time) (age time.Duration, ok bool) {
	at := t.getOrCreate(id).load.At
	return now.Sub(at), !at.IsZero()
}

// Outstanding estimates the number of requests at an endpoint.
func (t *Table) Outstanding(id string, now time.Time) int { return t.getOrCreate(id).outstanding(now) }

// AllClosed reports whether every candidate with a fresh load report is closed; it is false when there
// is no such candidate.
func (t *Table) AllClosed(list []Candidate, now time.Time) bool {
	known := false
	for _, c := range list {
		e := t.getOrCreate(c.ID)
		if now.Sub(e.load.At) > maxReportAge {
			continue
		}
		if !e.load.Closed {
			return false
		}
		known = true
	}
	return known
}

// LastReport returns the time of the newest report of any of the candidates, zero when there is none.
func (t *Table) LastReport(list []Candidate) (at time.Time) {
	for _, c := range list {
		if e := t.endpoints[c.ID]; e != nil && e.load.At.After(at) {
			at = e.load.At
		}
	}
	return at
}

// Serving returns the candidates that are presumed to serve. All ranks of a group open together, so a
// fresh report of one rank counts for the whole group, and after an outage the first few reports
// count for all ranks. A candidate is presumed to serve when its group is reported open. A candidate
// that never named a group is presumed to serve when any group is reported open. known is false when
// there is no fresh report of any group.
func (t *Table) Serving(list []Candidate, now time.Time) (serving []Candidate, known bool) {
	open := map[string]bool{} // Groups with fresh reports; true when the newest report says that the group serves.
	for _, e := range t.endpoints {
		if e.load.Group == "" || now.Sub(e.load.At) > maxReportAge {
			continue
		}
		at, closed := t.closedGroups[e.load.Group]
		open[e.load.Group] = !closed || now.Sub(at) > maxReportAge
	}
	anyOpen := false
	for _, serves := range open {
		anyOpen = anyOpen || serves
	}
	for _, c := range list {
		load := t.getOrCreate(c.ID).load
		serves, reported := open[load.Group]
		if reported && serves || !reported && load.Group == "" && anyOpen {
			serving = append(serving, c)
		}
	}
	return serving, len(open) > 0
}

// LastReportOfAny returns the time of the newest report of any endpoint, zero when there is none.
func (t *Table) LastReportOfAny() (at time.Time) {
	for _, e := range t.endpoints {
		if e.load.At.After(at) {
			at = e.load.At
		}
	}
	return at
}

// Open reports whether an endpoint's fresh report says that it serves.
func (t *Table) Open(id string, now time.Time) bool {
	e := t.getOrCreate(id)
	return now.Sub(e.load.At) <= maxReportAge && !e.load.Closed
}

// OpenSince reports whether an endpoint of a group has reported after the time since, and recently,
// that it serves.
func (t *Table) OpenSince(group string, since, now time.Time) bool {
	for _, e := range t.endpoints {
		if e.load.Group == group && e.load.At.After(since) && !e.load.Closed && now.Sub(e.load.At) <= maxReportAge {
			return true
		}
	}
	return false
}

// decay reduces the weights of the earlier outcomes by the time since the last call: by half after
// outcomeHalfLife.
func (e *endpoint) decay(now time.Time) {
	if d := now.Sub(e.decayedAt); d > 0 && !e.decayedAt.IsZero() {
		keep := 1 / (1 + d.Seconds()/outcomeHalfLife.Seconds())
		e.successes *= keep
		e.failures *= keep
	}
	e.decayedAt = now
}

// RecordSuccess records an outcome that does not count against the endpoint. It ends the probation
// after an ejection. Later than maxEjection after the end of the last ejection, it also resets the
// number of consecutive ejections, so that the next ejection is short.
func (t *Table) RecordSuccess(id string, now time.Time) {
	e := t.getOrCreate(id)
	e.decay(now)
	e.successes++
	e.consecutiveFailures = 0
	e.probation = false
	if now.After(e.ejectedUntil.Add(maxEjection)) {
		e.consecutiveEjections = 0
	}
}

// RecordFailure records a failure that counts against the endpoint; a plain failure has a weight of 1.
// If the failure ejects the endpoint, it returns the duration of the ejection and true. A failure of
// an endpoint that is already ejected is counted but does not eject it again.
func (t *Table) RecordFailure(id string, weight float64, now time.Time) (ejection time.Duration, ok bool) {
	e := t.getOrCreate(id)
	e.decay(now)
	e.failures += weight
	e.consecutiveFailures++
	if now.Before(e.ejectedUntil) {
		return 0, false
	}
	eject := e.probation || e.consecutiveFailures >= maxConsecutiveFailures || e.successes+e.failures >= minOutcomeWeight && e.failures/(e.successes+e.failures) >= maxFailureShare
	if !eject {
		return 0, false
	}
	ejection = min(minEjection<<min(e.consecutiveEjections, 4), maxEjection)
	e.consecutiveEjections++
	e.ejectedUntil = now.Add(ejection)
	e.probation = true
	e.successes, e.failures, e.consecutiveFailures = 0, 0, 0
	return ejection, true
}

// MarkMisplaced records that another endpoint answers at an endpoint's address. The endpoint is
// ejected for misplacedEjection; by then the list of endpoints shows the change.
func (t *Table) MarkMisplaced(id string, now time.Time) {
	e := t.getOrCreate(id)
	e.ejectedUntil = now.Add(misplacedEjection)
	e.misplaced = true
}

// Forget drops the state of endpoints that are no longer listed and have no requests of this process
// in flight.
func (t *Table) Forget(listed func(id string) bool) {
	for id, e := range t.endpoints {
		if e.inFlight == 0 && !listed(id) {
			delete(t.endpoints, id)
		}
	}
}

// Candidate is an endpoint that Pick may choose.
type Candidate struct {
	ID          string
	SameDomain  bool // In the failure domain of the process.
	Cold        bool // Still cold after its start.
	ColdLimited bool // Cold, and can take only a few requests a second.
	BudgetSpent bool // ColdLimited, and this process has used up its share of that rate for now.
	Slots       int  // Number of requests that it runs at once; 0 when unknown.
	FixedCost   int  // Cost of a forward pass without requests, in requests; 0 for endpoints that run no passes.
}

// Pick returns the index of the candidate to use. Normally this is the least loaded one that is
// neither ejected nor out of budget. Ties are broken in favor of the process's own failure domain,
// then at random. Among endpoints that run passes, the pick is drawn at random with the weights of
// drawByWaterFilling.
//
// Ejections are ignored when too many candidates are ejected, and when otherwise no candidate is left.
// Misplaced endpoints and those out of budget are never picked; ok is false when there are no others.
// The function random returns a number from 0 up to, but not including, its argument.
func (t *Table) Pick(list []Candidate, random func(n int) int, now time.Time) (index int, ok bool) {
	maxEjected := int(maxEjectedShare * float64(len(list)))
	ejected := 0
	t.meanLoad = t.meanOutstanding(list, now)
	for _, c := range list {
		if now.Before(t.getOrCreate(c.ID).ejectedUntil) {
			ejected++
		}
	}
	index, ok = t.leastLoaded(list, random, now, ejected <= maxEjected)
	if !ok {
		index, ok = t.leastLoaded(list, random, now, false)
	}
	if ok && list[index].FixedCost > 0 {
		index = t.drawByWaterFilling(list, index, random, now)
	}
	return index, ok
}

// meanOutstanding returns the mean number of outstanding requests at the candidates with a fresh
// report.
func (t *Table) meanOutstanding(list []Candidate, now time.Time) int {
	known, sum := 0, 0
	for _, c := range list {
		if e := t.getOrCreate(c.ID); now.Sub(e.load.At) <= maxReportAge {
			known++
			sum += e.outstanding(now)
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// arrivingShare is the number of requests that arrive at all gateways before a report shows them, as a
// share of the running requests: a request takes about a second, and a report takes effect about a
// quarter of a second late.
const arrivingShare = 0.25

// minArriving is the least number of arrivals assumed, for endpoints with little work.
const minArriving = 3

// drawByWaterFilling picks among ranks whose load all gateways see alike. If all gateways took the
// least loaded rank, it would soon be the most loaded one. Each rank is therefore drawn with the share
// of the next arrivals that it would get if these filled the ranks up from the least loaded one. The
// index of the least loaded candidate, as leastLoaded returned it, is least.
func (t *Table) drawByWaterFilling(list []Candidate, least int, random func(n int) int, now time.Time) int {
	lowest := t.score(t.getOrCreate(list[least].ID), list[least], now)
	scores := make([]int, 0, len(list))
	indexes := make([]int, 0, len(list)) // By position in scores, the index in list.
	total := 0
	for i, c := range list {
		e := t.getOrCreate(c.ID)
		s := t.score(e, c, now)
		// Left out are ranks that leastLoaded passed over, such as any with a lower score, and ranks
		// that are far worse, as closed, silent and very slow ones are.
		if c.BudgetSpent || i != least && (s < lowest || s >= lowest+slowScore/2 || now.Before(e.ejectedUntil) || e.probation && e.inFlight > 0) {
			continue
		}
		scores = append(scores, s)
		indexes = append(indexes, i)
		total += e.outstanding(now)
	}
	// Like the scores, arriving is in units of 1/scoreUnit request.
	arriving := max(int(arrivingShare*float64(total)), minArriving) * scoreUnit
	level := waterLevel(scores, arriving)
	n := random(max(arriving, 1))
	for k, s := range scores {
		if n -= max(level-s, 0); n < 0 {
			return indexes[k]
		}
	}
	return least
}

// waterLevel returns the level that columns of the given heights reach when amount is poured over
// them, lowest first.
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

// leastLoaded returns the index of the candidate with the lowest score, one of them at random when
// there are several; ok is false when no candidate is eligible. Endpoints that are out of budget or
// misplaced are never eligible. With skipEjected, neither are ejected ones, nor those on probation
// that already have a request of this process in flight.
func (t *Table) leastLoaded(list []Candidate, random func(n int) int, now time.Time, skipEjected bool) (index int, ok bool) {
	best, ties := 0, 0
	for i, c := range list {
		e := t.getOrCreate(c.ID)
		if c.BudgetSpent || e.misplaced && now.Before(e.ejectedUntil) {
			continue
		}
		if skipEjected && (now.Before(e.ejectedUntil) || e.probation && e.inFlight > 0) {
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

// Terms of a score, in units of 1/scoreUnit request. The lowest score is picked.
const (
	scoreUnit   = 4
	farScore    = 1             // Other failure domain: less than one request, so that it only breaks ties.
	coldScore   = 2 * scoreUnit // Cold endpoint.
	closedScore = 1 << 20       // Endpoint whose group is closed.
	slowScore   = 1 << 10       // Rank that is slower when idle than the others are when full.
	silentScore = 1 << 21       // Endpoint of a closed group without a fresh report of its own.
	maxSlowdown = 8             // Slowdowns above this one count the same.
)

// score rates a candidate by its outstanding requests, its slowdown and the terms above, in units of
// 1/scoreUnit request; lower is better.
func (t *Table) score(e *endpoint, c Candidate, now time.Time) int {
	fresh := now.Sub(e.load.At) <= maxReportAge
	requests := e.outstanding(now)
	if c.FixedCost > 0 && (!fresh || c.ColdLimited) {
		// A rank without a fresh report, or one that is empty because it has just started, gets no
		// more than its share of the work.
		requests = max(requests, t.meanLoad)
	}
	s := requests * scoreUnit
	if fresh && e.load.Slowdown > 1 {
		// A slow rank delays every pass of its group, even with little to do. The slowdown therefore
		// applies to the cost of a whole pass: the fixed cost, the requests, and the one to be sent.
		s = int(float64(s+scoreUnit*(1+c.FixedCost))*min(e.load.Slowdown, maxSlowdown)) - scoreUnit*(1+c.FixedCost)
		if c.FixedCost > 0 && e.load.Slowdown*float64(c.FixedCost) > float64(c.FixedCost+c.Slots) {
			s += slowScore // It is slower when idle than the others are when full.
		}
	}
	if fresh && e.load.Closed {
		s += closedScore
	}
	if at, ok := t.closedGroups[e.load.Group]; ok && !fresh && now.Sub(at) <= maxReportAge {
		s += silentScore // Its group is closed, and the rank itself does not report either.
	}
	if !c.SameDomain {
		s += farScore
	}
	if c.Cold || c.ColdLimited {
		s += coldScore
	}
	return s
}
