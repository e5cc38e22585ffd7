// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Cause is what ended a connection.
type Cause string

// The causes.
const (
	Idle       Cause = "idle"        // Its caller may no longer use it.
	Stopped    Cause = "stop"        // The process ends before its caller may no longer use it.
	SlowHeader Cause = "slow-header" // A request began, and its header did not end in time.
	Left       Cause = "caller"      // The caller ended it between two requests or in a header.
	Answered   Cause = "answered"    // The server ended it after an answer or in the middle of one, also to what is no request, or the caller left.
	ProcessEnd Cause = "process-end" // The process ended while its caller could still use it.
	Crossed    Cause = "crossed"     // Counted besides: bytes of a request had come that were not read.
)

var causes = []Cause{Idle, Stopped, SlowHeader, Left, Answered, ProcessEnd, Crossed}

// state is where a connection is between two requests.
type state int32

const (
	idling  state = iota // Nothing of the next request has been read.
	heading              // Its header is being read.
	serving              // It is served.
	ended                // It is not read any more.
)

// Conn is a connection of a server.
type Conn struct {
	*net.TCPConn
	t *Tracker

	current atomic.Int32 // The state; written under mu.
	reading atomic.Bool  // A read is under way.
	drained atomic.Bool  // Bytes may be lost between those that were read and what comes.
	close   sync.Once

	mu       sync.Mutex // Guards what follows, and the read deadline while idling.
	idleness            // The last.
	cause    Cause      // That ended it; "" before.
	why      term       // Of the causes Idle and Stopped.
}

// idleness is what decides for how long a connection is kept.
type idleness struct {
	since time.Time     // When the connection became idle.
	told  time.Duration // For how long its caller was told to keep it; 0 if it was not.
	fresh bool          // It has not carried a request yet.
}

type connKey struct{}

// connOf returns the tracked connection of one that a server knows, nil for others.
func connOf(nc net.Conn) *Conn {
	if over, ok := nc.(interface{ NetConn() net.Conn }); ok { // TLS.
		nc = over.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

func (c *Conn) state() state     { return state(c.current.Load()) }
func (c *Conn) setState(s state) { c.current.Store(int32(s)) }

// enter takes in what the server says of the connection.
func (c *Conn) enter(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive, http.StateHijacked:
		c.setState(serving)
	case http.StateIdle:
		c.since, c.fresh = time.Now(), false
		c.setState(idling)
	}
}

// SetReadDeadline sets the server's own deadlines. Between two requests Read sets them, until
// the server sets the one of a header that it has begun to read together with the request
// before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state() == idling {
		if c.fresh || t.IsZero() {
			return nil
		}
		c.setState(heading)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read reads like the connection itself. While it is idle, it ends when its time is over and
// nothing has come. A server may read again after that: an error within a line of a header
// ends the line.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	s := c.state()
	switch s {
	case idling:
		return c.readIdle(p)
	case ended:
		return 0, net.ErrClosed
	}
	n, err = c.TCPConn.Read(p)
	switch {
	case err == nil && c.drained.Load():
		return 0, net.ErrClosed
	case s != heading || err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end(SlowHeader, term{})
	default:
		c.end(Left, term{})
	}
	return n, err
}

// readIdle reads the first bytes of a request.
func (c *Conn) readIdle(p []byte) (n int, err error) {
	var least time.Time
	for {
		if err = c.bound(least); err != nil {
			return 0, err
		}
		n, err = c.TCPConn.Read(p)
		switch {
		case n > 0:
			return n, c.begin()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.end(Left, term{})
			return n, err
		case c.waiting(): // It came while the machine was suspended or busy.
			least = time.Now().Add(c.t.cfg.Header)
		case c.over():
			return 0, err
		}
	}
}

// bound sets until when an idle connection is read: the end of its time, or later.
func (c *Conn) bound(least time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state() != idling {
		return nil
	}
	until := c.since.Add(c.t.term(c.idleness).kept)
	if until.Before(least) {
		until = least
	}
	return c.TCPConn.SetReadDeadline(until)
}

// begin takes in that a request has begun.
func (c *Conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(heading)
	return c.TCPConn.SetReadDeadline(time.Now().Add(c.t.cfg.Header))
}

// over reports whether the time of an idle connection is over, which ends it: limits may
// have grown since it was bound.
func (c *Conn) over() bool {
	c.mu.Lock()
	why := c.t.term(c.idleness)
	over := !time.Now().Before(c.since.Add(why.kept))
	c.mu.Unlock()
	if over {
		c.end(why.cause, why)
	}
	return over
}

// wake has a read of an idle connection look at its time again.
func (c *Conn) wake() {
	if c.state() == idling {
		_ = c.bound(time.Time{}) // One that is closed already needs no bound.
	}
}

// waiting reports whether bytes have come that were not read. It does not wait for a read
// that is under way.
func (c *Conn) waiting() (some bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return err == nil && some
}

// drainMost bounds what is read of a caller that sends on.
const drainMost = 256 << 10

// drain drops what has come and was not read: with it, closing would reset the connection,
// and the answer that is on its way would be lost. It waits for nothing.
func (c *Conn) drain() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	c.drained.Store(true)              // First: another goroutine may be reading a body.
	_ = raw.Control(func(fd uintptr) { // One that is closed already needs no drain.
		var buf [4 << 10]byte
		for dropped := 0; dropped < drainMost; {
			n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_DONTWAIT)
			if err != nil || n <= 0 {
				return
			}
			dropped += n
		}
	})
}

// end notes what ends the connection; the first cause stays.
func (c *Conn) end(cause Cause, why term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause, c.why = cause, why
	}
	c.setState(ended)
}

// Close closes the connection, counts the cause, and logs it where the server ended it.
func (c *Conn) Close() error {
	c.close.Do(c.account)
	return c.TCPConn.Close()
}

func (c *Conn) account() {
	c.t.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		switch s := c.state(); {
		case s != idling && s != heading:
			c.cause = Answered
		case c.reading.Load(): // It is closed under its reader.
			c.cause = ProcessEnd
		case s == heading: // Its reader has answered to what is no request.
			c.cause = Answered
		default: // Its reader closes it: over TLS callers leave with a message.
			c.cause = Left
		}
	}
	c.t.counts[c.cause].Inc(1)
	switch c.cause {
	case Left:
		return
	case Answered:
		c.drain()
		return
	}
	fields := []zap.Field{
		zap.Stringer("caller", c.RemoteAddr()), zap.String("cause", string(c.cause)),
		zap.Duration("idle", time.Since(c.since).Truncate(time.Millisecond)), zap.Duration("told", c.told),
	}
	if c.why.setting != "" {
		fields = append(fields, zap.String("setting", c.why.setting), zap.Duration("kept", c.why.kept), zap.Uint64("version", c.why.version))
	}
	log := c.t.log.Info
	crossed := c.cause != SlowHeader && c.waiting()
	if crossed {
		c.t.counts[Crossed].Inc(1)
	}
	if crossed || c.cause == ProcessEnd {
		log = c.t.log.Warn
	}
	log("connection closed", append(fields, zap.Bool("crossed", crossed))...)
}
