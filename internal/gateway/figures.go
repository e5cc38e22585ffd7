// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// figures are the counters and histograms of a gateway.
type figures struct {
	reg       metrics.Registry
	dialed    metrics.Counter      // New connections to endpoints.
	repeats   metrics.Counter      // Requests sent to a further endpoint.
	waited    metrics.Counter      // Requests that waited for room.
	moved     metrics.Counter      // Requests moved away from slow ranks.
	resumed   metrics.Counter      // Streams that went on at another endpoint.
	held      metrics.Counter      // Requests that waited for a group of ranks to open.
	silent    metrics.Counter      // Tries that were given up since nothing came, and went on elsewhere.
	toCold    metrics.Counter      // Requests sent to endpoints that are taken as cold.
	limit     metrics.GaugeFloat64 // Requests that a rank may hold in the mean, as last told by a leader.
	resting   metrics.Gauge        // Endpoints that have asked this gateway for rest.
	leaving   metrics.Gauge        // Endpoints that have said in an answer that they leave.
	toResting metrics.Counter      // Requests sent to endpoints in their rest.
	toLeaving metrics.Counter      // Requests sent to endpoints that have said that they leave.
	limited   metrics.Gauge        // Endpoints that name a rate limit.
	toLimited metrics.Counter      // Requests sent to endpoints that name a rate limit.
	throttled metrics.Counter      // Requests refused since the limits of all endpoints were used up.
	asked     metrics.Counter      // Asks for parts of rate limits that other gateways have.
	borrowed  metrics.Counter      // Grants of such parts that came.
	lent      metrics.Counter      // Grants of such parts that were given.
	badParts  metrics.Counter      // Messages on parts that were left out as not valid.
	invalid   metrics.Counter      // Answers with a header that was left out as not valid.
	evacuated metrics.Gauge        // Failure domains that are evacuated.
	notJoined metrics.Counter      // Answers and events that did not go on where a stream had been cut.
	ended     metrics.Counter      // Tries that broke off as their endpoint ended.
	first     metrics.Histogram    // Milliseconds to the answer or its first event.
	loadAge   metrics.Histogram    // Milliseconds since an endpoint's load was told, when a request goes there.
}

// histogramSize is how many samples a histogram keeps.
const histogramSize = 512

func newFigures(reg metrics.Registry) *figures {
	return &figures{
		reg:       reg,
		dialed:    metrics.GetOrRegisterCounter("gateway.connections", reg),
		repeats:   metrics.GetOrRegisterCounter("gateway.repeats", reg),
		waited:    metrics.GetOrRegisterCounter("gateway.waited", reg),
		moved:     metrics.GetOrRegisterCounter("gateway.moved", reg),
		resumed:   metrics.GetOrRegisterCounter("gateway.resumed", reg),
		held:      metrics.GetOrRegisterCounter("gateway.held-for-group", reg),
		silent:    metrics.GetOrRegisterCounter("gateway.silent-tries", reg),
		toCold:    metrics.GetOrRegisterCounter("gateway.to-cold", reg),
		limit:     metrics.GetOrRegisterGaugeFloat64("gateway.limit-per-rank", reg),
		resting:   metrics.GetOrRegisterGauge("gateway.resting-endpoints", reg),
		leaving:   metrics.GetOrRegisterGauge("gateway.leaving-endpoints", reg),
		toResting: metrics.GetOrRegisterCounter("gateway.to-resting", reg),
		toLeaving: metrics.GetOrRegisterCounter("gateway.to-leaving", reg),
		limited:   metrics.GetOrRegisterGauge("gateway.limited-endpoints", reg),
		toLimited: metrics.GetOrRegisterCounter("gateway.to-limited", reg),
		throttled: metrics.GetOrRegisterCounter("gateway.throttled", reg),
		asked:     metrics.GetOrRegisterCounter("gateway.parts-asked", reg),
		borrowed:  metrics.GetOrRegisterCounter("gateway.parts-borrowed", reg),
		lent:      metrics.GetOrRegisterCounter("gateway.parts-lent", reg),
		badParts:  metrics.GetOrRegisterCounter("gateway.parts-invalid", reg),
		invalid:   metrics.GetOrRegisterCounter("gateway.invalid-headers", reg),
		evacuated: metrics.GetOrRegisterGauge("gateway.evacuated-domains", reg),
		notJoined: metrics.GetOrRegisterCounter("gateway.not-joined", reg),
		ended:     metrics.GetOrRegisterCounter("gateway.ended-under-try", reg),
		loadAge:   metrics.GetOrRegisterHistogram("gateway.load-age", reg, metrics.NewUniformSample(histogramSize)),
		first:     metrics.GetOrRegisterHistogram("gateway.first-ms", reg, metrics.NewUniformSample(histogramSize)),
	}
}

func (f *figures) countBackoffs(resting, leaving int) {
	f.resting.Update(int64(resting))
	f.leaving.Update(int64(leaving))
}

// outcome counts how a request ended.
func (f *figures) outcome(o outcome) {
	metrics.GetOrRegisterCounter("gateway.outcome."+string(o), f.reg).Inc(1)
}

// streamEnd counts by what a stream was taken as whole: the end that its framing
// tells, the end of a connection without framing, or a run without any event.
func (f *figures) streamEnd(r endpointRun) {
	how := "framed"
	switch {
	case r.events == 0:
		how = "empty"
	case !r.framed:
		how = "unframed"
	}
	metrics.GetOrRegisterCounter("gateway.stream-end."+how, f.reg).Inc(1)
}

func (f *figures) firstByte(d time.Duration) { f.first.Update(d.Milliseconds()) }
