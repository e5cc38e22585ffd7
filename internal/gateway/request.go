// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// request is one caller's request on its way.
type request struct {
	g        *Gateway
	ctx      context.Context // Ends when the caller leaves.
	reply    reply
	r        *http.Request
	call     fleet.Call
	config   *fleet.Config // The version that decided.
	route    *fleet.Route
	service  string
	customer *fleet.Customer // Nil when no key is needed.
	body     []byte
	arrived  time.Time
	came     time.Time     // As arrived, by the clock that counts suspensions.
	age      time.Duration // Of the configuration when the request came.
	final    time.Time     // When it must have its final answer.

	tried        []string    // Endpoints that it was sent to.
	unsent       []string    // Endpoints that could not be reached.
	closedUnder  string      // Endpoint that closed a kept connection under the last try and lives on; "" for none.
	notes        []string    // What became of each try, for the log.
	mayRun       bool        // Some endpoint may have run it.
	kept         *keptAnswer // Nil until an endpoint failed by itself.
	groupDown    bool        // A group of ranks turned it away as a whole.
	allDown      bool        // All groups of ranks say that they serve nothing.
	opens        time.Time   // When the first of them is expected to serve again.
	downGroup    string
	downAt       time.Time       // When it did so.
	tooOld       bool            // The configuration is too old for the request's key.
	keeps        int64           // Bytes that are kept for it.
	toCold       bool            // The endpoint that was chosen last is cold.
	full         bool            // No endpoint can take it now.
	barred       barred          // What endpoints ask for that keeps it from all of them.
	permit       string          // Endpoint under whose limit a request was taken that is not sent yet; "" for none.
	turnover     passes.Turnover // Of all groups, as last looked at.
	waited       time.Duration   // For room.
	inLine       bool            // It waits for room.
	asked        *lastAsked      // When it last wanted a place; nil before.
	sentAt       time.Time       // When it was last sent to an endpoint.
	unhold       func() bool     // Ends what closes the try's connection when the caller leaves or the process ends; false if it closes it.
	leavePlace   func()          // Ends what vacate may do to the try; never nil.
	moved        bool            // Its try was ended by vacate, which took a repeat for it; guarded by the gateway's mu.
	paid         bool            // The next try's repeat is taken already.
	again        bool            // The caller was refused before.
	mayHaveTried bool            // The caller may have tried before: too little is known of how long callers wait.
	lastRun      endpointRun     // What the last endpoint whose answer was read sent.
	cursor       cursor          // What the caller has of a stream.
	firstAt      time.Time       // When the answer or its first event went out.
	events       int
	lastAt       time.Time     // When the last event went out.
	pause        time.Duration // Longest between two events.
	outcome      outcome
	retryIn      time.Duration
	endpoint     string // Whose head the caller has.
	suspicion
}

// lastAsked is the group in which a request wanted a place, and the time of the
// newest report that was known then.
type lastAsked struct {
	group string
	at    time.Time
}

// outcome says how a request ended.
type outcome string

// The outcomes.
const (
	served    outcome = "served"     // An endpoint's answer went out whole.
	refused   outcome = "refused"    // Not run, and never will be.
	rejected  outcome = "rejected"   // The request is not one that may be served.
	failed    outcome = "failed"     // It may have run; there is no answer.
	timedOut  outcome = "timed-out"  // Its time was over.
	cutStream outcome = "cut-stream" // The stream could not be gone on with.
	left      outcome = "left"       // The caller left.
)

// defaultPatience holds for callers that do not tell how long they wait.
const defaultPatience = 30 * time.Second

// fallbackBody bounds bodies when nothing is published.
const fallbackBody = 4 << 20

// Handler returns the handler for callers.
func (g *Gateway) Handler() http.Handler { return http.HandlerFunc(g.serve) }

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.busy.Add(1)
	defer g.busy.Add(-1)
	q := &request{
		g: g, ctx: r.Context(), r: r, leavePlace: func() {}, arrived: time.Now(), came: g.cfg.Now(),
		reply: reply{w: w, r: r, bodyLeft: r.Body != http.NoBody, advertise: func() { g.conns.Advertise(w, r) }},
	}
	defer q.letGo()
	decided := q.contained(func() { q.call = g.codec.ReadCall(r.Header) }) && q.contained(q.decide)
	if !decided && !q.reply.begun() {
		q.contained(func() { q.fail(http.StatusInternalServerError, "panic") })
	}
	q.contained(func() {
		if q.onTrial {
			g.suspects.EndTrial(q.key())
		}
	})
	q.contained(q.finish)
	q.reply.close()
}

// contained calls do and reports whether it returned: a fault of the gateway's own must not
// close the connection, also where the answer is still in the server's buffer.
func (q *request) contained(do func()) (returned bool) {
	return duty.Contain("request", q.g.log, q.g.figures.reg, do, zap.String("id", q.call.ID))
}

// decide gives the request its final answer.
func (q *request) decide() {
	if err := q.reply.boundWrite(); err != nil {
		q.note("caller: " + err.Error()) // What is written next tells whether it is gone.
	}
	begun, closed := q.g.leaving(q.arrived)
	if begun {
		q.closeAfter()
	}
	switch {
	case closed:
		q.refuse("instance is stopping", stopRetry)
	case q.admit() && q.readBody():
		q.run()
	}
}

// admit finds the route and the customer; it reports false when the request
// has its final answer.
func (q *request) admit() bool {
	s := q.awaitConfig()
	switch {
	case s.Config != nil:
	case q.g.ended.Err() != nil:
		q.refuseAtEnd("process ends before a configuration comes")
		return false
	default:
		q.refuse("no configuration yet", outageRetry)
		return false
	}
	q.config = s.Config
	if q.headerBytes() > max(s.Config.Limits().HeaderBytes, leastHeader) {
		q.reject(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	if q.call.ID == "" {
		q.reject(http.StatusBadRequest, "no id")
		return false
	}
	q.age = q.g.view.Age(q.g.cfg.Now())
	q.route = s.Config.Route(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		q.rejectIfKnown(q.age, http.StatusNotFound, "no route")
		return false
	}
	if s.Config.NeedsKey(q.route) {
		if q.customer = s.Config.Customer(q.call.Key); q.customer == nil {
			q.rejectIfKnown(q.age, http.StatusUnauthorized, "key not known")
			return false
		}
	}
	q.service = q.pickService()
	patience := defaultPatience
	if q.call.HasCallerTimeout {
		patience = q.call.CallerTimeout
		q.again, q.mayHaveTried = q.g.patience.again(q.route.Name, patience, q.route.Timeout)
	}
	q.final = q.arrived.Add(min(patience, q.route.Timeout))
	if q.route.Kind == fleet.Streaming && q.route.Resumable {
		q.cursor = cursorFrom(q.call.LastEventID)
	}
	return true
}

// left returns how much of the request's time is left. A suspension of the machine counts:
// its caller did not wait the less for it, and an endpoint would be given time that is over.
func (q *request) left() time.Duration {
	if q.g.ended.Err() != nil {
		return 0
	}
	now := time.Now()
	suspended := q.g.cfg.Now().Sub(q.came) - now.Sub(q.arrived)
	return q.final.Sub(now) - max(suspended, 0)
}

// leastHeader is the size of headers that is always taken.
const leastHeader = 4 << 10

func (q *request) headerBytes() (n int) {
	n = len(q.r.RequestURI)
	for name, values := range q.r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// certainAge is the age of the configuration up to which it is taken as the
// newest when a request is turned away by it: one long wait for changes.
const certainAge = 2200 * time.Millisecond

// rejectIfKnown turns a request away for good only if the configuration that
// says so is surely the newest.
func (q *request) rejectIfKnown(age time.Duration, status int, cause string) {
	if age > certainAge {
		q.refuse(cause+" in a configuration that may be old", staleRetry)
		return
	}
	q.reject(status, cause)
}

// keyFresh reports whether the configuration is young enough for the request's
// key; a key may have been taken away since.
func (q *request) keyFresh() bool {
	return q.customer == nil || q.g.view.Age(q.g.cfg.Now()) < q.g.cfg.MaxKeyAge
}

// recheck looks whether the newest configuration still allows the request,
// which may have waited, or the process may have been stopped in between.
func (q *request) recheck() (cause string, ok bool) {
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
			return "key taken away", false
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

// staysAllowed reports whether the newest configuration would let the request be sent once
// more, where it is bound to the same service if its answer has begun. It changes nothing.
func (q *request) staysAllowed(begun bool) bool {
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

// pickService draws a service by the route's weights.
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

// readBody reads the whole body, so that it can be sent more than once and
// nothing is sent of a request that is not whole.
func (q *request) readBody() bool {
	limit := q.config.Limits().BodyBytes
	if limit <= 0 {
		limit = fallbackBody
	}
	if q.r.ContentLength > limit {
		q.closeAfter()
		q.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if !q.keepBody() {
		q.refuseUnkept()
		return false
	}
	until := q.final.Add(bodyMargin)
	if err := q.reply.boundRead(until); err != nil {
		q.note("caller: " + err.Error()) // As of the next read.
	}
	goesOn := q.endRead()
	body, err := io.ReadAll(&keeping{http.MaxBytesReader(q.reply.w, q.r.Body, limit), q, q.keeps})
	if !goesOn() {
		q.refuseAtEnd("process ends while the body comes")
		return false
	}
	if err == nil {
		q.reply.bodyLeft = false
		q.keep(len(body) - int(q.keeps))
		q.body = body
		return true
	}
	if errors.Is(err, errTooMuch) {
		q.refuseUnkept()
		return false
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		q.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	q.note("body: " + err.Error())
	if !time.Now().Before(until) {
		q.closeAfter()
		q.reject(http.StatusRequestTimeout, "body did not come in time")
		return false
	}
	q.outcome = left
	q.closeAfter()
	q.answer(http.StatusBadRequest)
	return false
}

// endRead ends the read of the body when the process ends. The function lifts that, and reports
// whether the process goes on; it must be called once.
func (q *request) endRead() (goesOn func() bool) {
	ended := make(chan struct{})
	stop := context.AfterFunc(q.g.ended, func() {
		defer close(ended)
		_ = q.reply.boundRead(time.Now()) // The read of a connection that is closed has ended.
	})
	return func() bool {
		if stop() {
			return true
		}
		<-ended // The answer sets a deadline of its own.
		return false
	}
}

// priority returns the request's rank, 0 being the most urgent.
func (q *request) priority() int {
	if q.customer != nil && q.customer.HasPriority {
		return q.customer.Priority
	}
	return q.route.Priority
}
