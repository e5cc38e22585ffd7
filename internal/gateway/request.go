// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// request is the state of one caller's request.
type request struct {
	g               *Gateway
	ctx             context.Context // Done when the caller leaves.
	reply           reply
	r               *http.Request
	call            fleet.Call
	config          *fleet.Config // The version by which the request is handled.
	route           *fleet.Route
	service         string
	customer        *fleet.Customer // Nil when no key is required.
	body            []byte
	arrived         time.Time
	arrivedBoottime time.Time     // Same moment as arrived, by the clock that counts suspensions.
	configAge       time.Duration // Age of the configuration when the request arrived.
	deadline        time.Time     // Time by which the final answer is due.

	attempted       []string            // Endpoints to which it was sent.
	unreachable     []string            // Endpoints that could not be reached, or were found unusable right before sending.
	closedReused    string              // Endpoint that only closed a reused connection during the last attempt; "" for none.
	notes           []string            // Result of each attempt, for the log.
	mayHaveRun      bool                // An endpoint may have run it.
	stopsTooSoon    bool                // A planned stop ends the process before the request could be expected to end.
	fallback        *fallbackAnswer     // Newest error answer that was held back to try another endpoint; nil if none.
	groupRejected   bool                // A whole group of ranks rejected it.
	allGroupsDown   bool                // All groups of ranks are closed, or no rank has reported yet.
	groupOpensAt    time.Time           // When the first group is expected to open, or ranks to report; zero if not known.
	rejectingGroup  string              // Group that last rejected the request; "" for none.
	groupRejectedAt time.Time           // When rejectingGroup did so.
	configTooOld    bool                // The configuration is too old to verify the request's key.
	buffered        int64               // Bytes buffered for it.
	chosenCold      bool                // The endpoint chosen last is cold.
	noCapacity      bool                // The last choice that looked for capacity found none.
	exclusion       exclusion           // Backoffs and rate limits that leave no endpoint to choose; empty if they do not.
	permitEndpoint  string              // Endpoint whose limit was charged for a request not sent yet; "" for none.
	turnover        grouplimit.Turnover // Of all groups, as of the last choice.
	waited          time.Duration       // From its arrival to the last check for capacity or an open group; 0 if it did not wait.
	inQueue         bool                // It waits in the queue of its service.
	otherDemand     float64             // Demand of other gateways for capacity, in multiples of this one's, as of the last choice.
	lastAsk         *capacityAsk        // Last time it asked for capacity; nil before.
	attemptState
	moved         bool          // moveRequests ended the attempt and took a retry; guarded by g.mu.
	retryTaken    bool          // The retry for the next attempt is already taken.
	retryService  string        // Service whose budget the last retry was taken from; guarded by g.mu.
	retryCause    retryCause    // Why the request needs a retry after the last attempt.
	takeover      *takeover     // Nil unless another endpoint is tried for a silent stream.
	takenOver     bool          // Another endpoint has given the final answer of a silent stream.
	refusedBefore bool          // The caller was refused before.
	maybeRefused  bool          // The caller may have been refused before: too few callers were seen to be sure.
	cursor        cursor        // Position up to which the caller has the stream.
	firstByteAt   time.Time     // When the answer or its first event was sent to the caller.
	events        int           // Events with data that were sent to the caller, over all attempts.
	lastEventAt   time.Time     // When the last event was sent to the caller.
	maxEventGap   time.Duration // Longest time between two events.
	outcome       outcome       // Empty until the request has ended.
	retryAfter    time.Duration // Retry-After of a refusal; 0 for none.
	servedBy      string        // Endpoint whose answer head the caller received.
	suspicion
}

// attemptState is the state of the current attempt, or of the last one.
type attemptState struct {
	sentAt       time.Time // When it was sent to an endpoint.
	sentBoottime time.Time // Same moment, by the clock that counts suspensions.
	// detachConn stops the attempt's connection from being closed when the caller leaves or the
	// process terminates. It returns false if the connection is being closed already.
	detachConn        func() bool
	unregisterMovable func()           // Excludes the attempt from moveRequests; never nil.
	lastResponse      endpointResponse // Sent by the last endpoint whose answer was read.
	known             suspects.Known   // What was known of earlier ends when it was sent.
	attemptFinished   bool             // It came to its end, or was rejected.
}

// capacityAsk records the group in which a request asked for capacity, and the time of the newest
// report that was known then.
type capacityAsk struct {
	group    string
	reportAt time.Time
}

// outcome is how a request ended.
type outcome string

// Outcomes of a request.
const (
	served     outcome = "served"     // An endpoint's complete answer was sent.
	refused    outcome = "refused"    // Not run, and will not be run.
	rejected   outcome = "rejected"   // The request is invalid or not authorized.
	failed     outcome = "failed"     // It may have run, but there is no answer.
	timedOut   outcome = "timed-out"  // Its deadline passed.
	cutStream  outcome = "cut-stream" // The stream could not be continued.
	callerLeft outcome = "left"       // The caller left.
)

// defaultCallerTimeout applies to callers that do not say how long they wait.
const defaultCallerTimeout = 30 * time.Second

// defaultBodyLimit limits request bodies when no limit is published.
const defaultBodyLimit = 4 << 20

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler { return http.HandlerFunc(g.serve) }

// serve handles one request from its arrival to its log line. A request whose handling panics is
// answered as failed, unless its answer has begun.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	q := &request{
		g: g, ctx: r.Context(), r: r, attemptState: attemptState{unregisterMovable: func() {}}, arrived: time.Now(), arrivedBoottime: g.cfg.Now(),
		reply: reply{w: w, r: r, bodyPending: r.Body != http.NoBody, advertise: func() { g.callerConns.Advertise(w, r) }},
	}
	defer q.releaseBuffered()
	decided := q.runRecovered(func() { q.call = g.codec.ReadCall(r.Header) }) && q.runRecovered(q.handle)
	if !decided && !q.reply.begun() {
		q.runRecovered(func() { q.fail(http.StatusInternalServerError, "panic") })
	}
	q.runRecovered(func() {
		g.suspects.EndTrial(q.trialKeys)
	})
	q.runRecovered(q.logAndCount)
	q.reply.close()
}

// runRecovered calls do and reports whether it returned without a panic. A fault in the gateway
// must not close the connection, not even while the answer is still in the server's buffer.
func (q *request) runRecovered(do func()) (returned bool) {
	return duty.RunRecovered("request", q.g.log, q.g.stats.reg, do, zap.String("id", q.call.ID))
}

// handle gives the request its final answer.
func (q *request) handle() {
	if err := q.reply.setWriteDeadline(); err != nil {
		q.note("caller: " + err.Error()) // The next write shows whether the caller is gone.
	}
	begun, refusing := q.g.stopState(q.arrived)
	if begun {
		q.closeAfterAnswer()
	}
	switch {
	case refusing:
		q.refuse("instance is stopping", stopRetry)
	case q.admit() && q.readBody():
		q.run()
	}
}

// admit checks the request by the configuration and sets its route, customer, service, deadline and
// stream position. It returns false if the request already has its final answer.
func (q *request) admit() bool {
	s := q.awaitConfig()
	switch {
	case s.Config != nil:
	case q.g.processCtx.Err() != nil:
		q.refuseOnTermination("process terminates before a configuration was received")
		return false
	default:
		q.refuse("no configuration yet", storeOutageRetry)
		return false
	}
	q.config = s.Config
	if q.headerBytes() > max(s.Config.Limits().HeaderBytes, minHeaderLimit) {
		q.reject(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	if q.call.ID == "" {
		q.reject(http.StatusBadRequest, "no request id")
		return false
	}
	q.configAge = q.g.view.Age(q.g.cfg.Now())
	q.route = s.Config.Route(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		q.rejectIfConfigCurrent(q.configAge, http.StatusNotFound, "no route")
		return false
	}
	if s.Config.NeedsKey(q.route) {
		if q.customer = s.Config.Customer(q.call.Key); q.customer == nil {
			q.rejectIfConfigCurrent(q.configAge, http.StatusUnauthorized, "key not known")
			return false
		}
	}
	q.service = q.pickService()
	duty.Locked(&q.g.mu, func() {
		now := q.g.cfg.Now()
		q.g.retryBudget(q.service, now).RecordRequest(now, rand.Float64)
	})
	callerTimeout := defaultCallerTimeout
	if q.call.HasCallerTimeout {
		callerTimeout = q.call.CallerTimeout
		q.refusedBefore, q.maybeRefused = q.g.callerTimeouts.classify(q.route.Name, callerTimeout, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(min(callerTimeout, q.route.Timeout))
	if q.route.Kind == fleet.Streaming && q.route.Resumable {
		q.cursor = cursorFrom(q.call.LastEventID)
	}
	return true
}

// remaining returns the time left until the request's deadline, 0 if the process terminates.
// Suspensions of the machine count as elapsed: the caller went on waiting meanwhile, and an
// endpoint would otherwise be granted time that has passed.
func (q *request) remaining() time.Duration {
	if q.g.processCtx.Err() != nil {
		return 0
	}
	now := time.Now()
	suspended := q.g.cfg.Now().Sub(q.arrivedBoottime) - now.Sub(q.arrived)
	return q.deadline.Sub(now) - max(suspended, 0)
}

// minHeaderLimit is the header size that is accepted whatever limit is published.
const minHeaderLimit = 4 << 10

// headerBytes returns the size of the request's target and header fields on the wire. Each field
// has four bytes besides its name and value: a colon, a space and the line end.
func (q *request) headerBytes() (n int) {
	n = len(q.r.RequestURI)
	for name, values := range q.r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// maxRejectAge is the configuration age up to which the configuration counts as the newest when a
// request is rejected because of it. A long poll of the store lasts up to 1 s and confirms the
// configuration as of its start, so the age reaches about 2 s while the store answers.
const maxRejectAge = 2200 * time.Millisecond

// rejectIfConfigCurrent rejects a request if the configuration that excludes it is certainly the
// newest; otherwise it refuses the request for a while.
func (q *request) rejectIfConfigCurrent(age time.Duration, status int, cause string) {
	if age > maxRejectAge {
		q.refuse(cause+" in a configuration that may be outdated", staleConfigRetry)
		return
	}
	q.reject(status, cause)
}

// keyFresh reports whether the configuration is recent enough to accept the request's key; the key
// may have been revoked since.
func (q *request) keyFresh() bool {
	return q.customer == nil || q.g.view.Age(q.g.cfg.Now()) < q.g.cfg.MaxKeyAge
}

// revalidate adopts the newest configuration for the request, and reports whether that still allows
// it. The request may have waited, or the process may have been suspended, since the last check. If
// the route no longer leads to the service, another service is drawn. A request whose answer has
// begun must stay with its service, and is not allowed any more in this case.
func (q *request) revalidate() (cause string, ok bool) {
	c := q.g.view.State().Config
	if c == q.config {
		return "", true
	}
	route := c.Route(q.r.Host, q.r.URL.EscapedPath())
	if route == nil {
		return "route dropped", false
	}
	if c.NeedsKey(route) {
		if q.customer = c.Customer(q.call.Key); q.customer == nil {
			return "key revoked", false
		}
	}
	q.config, q.route = c, route
	if !slices.ContainsFunc(route.Split, func(s fleet.Share) bool { return s.Service == q.service && s.Weight > 0 }) {
		if q.reply.begun() {
			return "route moved", false
		}
		q.service = q.pickService()
	}
	return "", true
}

// stillAllowed reports whether the newest configuration would allow another attempt and is recent
// enough for the request's key. Unlike revalidate, it changes nothing. Begun says that the answer
// has begun, so that the request must stay with its service.
func (q *request) stillAllowed(begun bool) bool {
	c := q.g.view.State().Config
	if c != q.config {
		route := c.Route(q.r.Host, q.r.URL.EscapedPath())
		if route == nil || c.NeedsKey(route) && c.Customer(q.call.Key) == nil {
			return false
		}
		if begun && !slices.ContainsFunc(route.Split, func(s fleet.Share) bool { return s.Service == q.service && s.Weight > 0 }) {
			return false
		}
	}
	return q.keyFresh()
}

// pickService draws a service at random by the route's weights. If no weight is positive, it
// returns the first service.
func (q *request) pickService() string {
	total := 0
	for _, s := range q.route.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return q.route.Split[0].Service
	}
	n := random(total)
	for _, s := range q.route.Split {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return q.route.Split[0].Service
}

// readBody reads the whole body, so that it can be sent more than once and no incomplete request is
// sent. It returns false if the request already has its final answer.
func (q *request) readBody() bool {
	limit := q.config.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if q.r.ContentLength > limit {
		q.closeAfterAnswer()
		q.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if !q.reserveBody() {
		q.refuseBufferFull()
		return false
	}
	until := q.deadline.Add(bodyGrace)
	if err := q.reply.setReadDeadline(until); err != nil {
		q.note("caller: " + err.Error()) // The next read fails in the same way.
	}
	stillRunning := q.abortReadOnTermination()
	body, err := io.ReadAll(&countedBody{http.MaxBytesReader(q.reply.w, q.r.Body, limit), q, q.buffered})
	if !stillRunning() {
		q.refuseOnTermination("process terminates while the body is read")
		return false
	}
	if err == nil {
		q.reply.bodyPending = false
		q.addBuffered(len(body) - int(q.buffered)) // The length of the body replaces the reservation.
		q.body = body
		return true
	}
	if errors.Is(err, errBufferFull) {
		q.refuseBufferFull()
		return false
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		q.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	q.note("body: " + err.Error())
	if !time.Now().Before(until) {
		q.closeAfterAnswer()
		q.reject(http.StatusRequestTimeout, "body not received in time")
		return false
	}
	q.outcome = callerLeft
	q.closeAfterAnswer()
	q.answer(http.StatusBadRequest)
	return false
}

// abortReadOnTermination aborts reading the body when the process terminates. The returned function
// cancels that and reports whether the process is still running; it must be called once.
func (q *request) abortReadOnTermination() (stillRunning func() bool) {
	aborted := make(chan struct{})
	stop := context.AfterFunc(q.g.processCtx, func() {
		defer close(aborted)
		_ = q.reply.setReadDeadline(time.Now()) // On a closed connection the read has returned already.
	})
	return func() bool {
		if stop() {
			return true
		}
		<-aborted // The answer sets its own deadline, which must not be overwritten.
		return false
	}
}

// priority returns the priority of the request's customer if it has one, and that of the route
// otherwise; 0 is the most urgent.
func (q *request) priority() int {
	if q.customer != nil && q.customer.HasPriority {
		return q.customer.Priority
	}
	return q.route.Priority
}
