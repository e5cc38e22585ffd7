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

	"github.com/canvaspulley/canvaspulley/internal/duty"
)

// Cause is what ended a connection.
type Cause string

// The causes.
const (
	Idle         Cause = "idle"        // Its idle timeout expired.
	Stopped      Cause = "stop"        // A planned stop closed it.
	SlowHeader   Cause = "slow-header" // A request header did not end in time.
	CallerClosed Cause = "caller"      // The caller closed it between two requests or in a header.
	Answered     Cause = "answered"    // The server closed it after or during an answer, also to a malformed request, or the caller closed it during one.
	ProcessEnd   Cause = "process-end" // The process ended while its caller could still use it, or under a request.
	Crossed      Cause = "crossed"     // Counted in addition: it was closed with unread bytes of a next request.
	Unused       Cause = "unused"      // Counted in addition: no request was read on it.
)

var causes = []Cause{Idle, Stopped, SlowHeader, CallerClosed, Answered, ProcessEnd, Crossed, Unused}

// state is the state of a connection.
type state int32

const (
	stateIdle          state = iota // The server has read no byte of the next request.
	stateReadingHeader              // The server reads the header of a request.
	stateActive                     // The server serves a request.
	stateEnded                      // The server does not read the connection any more.
)

// Conn is a connection of a server.
type Conn struct {
	*net.TCPConn
	t *Tracker

	current        atomic.Int32 // The state; written under mu.
	reading        atomic.Bool  // A read is under way.
	backgroundByte atomic.Bool  // The last read of net/http was its background read of one byte.
	afterBody      atomic.Bool  // That was the last read, whether or not the byte came: the body is whole.
	drained        atomic.Bool  // Bytes that followed the last read may have been discarded.
	close          sync.Once

	mu         sync.Mutex  // Guards the fields below, and the read deadline in stateIdle.
	idlePeriod             // The last one.
	cause      Cause       // Why the connection ended; "" before.
	why        idleTimeout // The timeout that expired, for the causes Idle and Stopped.
}

// idlePeriod is the time that a connection spends idle; it decides the idle timeout.
type idlePeriod struct {
	since      time.Time     // When the connection became idle.
	advertised time.Duration // Keep-alive timeout of the last answer; 0 if it had none.
	isNew      bool          // The connection has carried no request.
}

type connKey struct{}

// connOf returns the tracked connection below nc, or nil if there is none.
func connOf(nc net.Conn) *Conn {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok { // TLS.
		nc = wrapped.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

func (c *Conn) state() state     { return state(c.current.Load()) }
func (c *Conn) setState(s state) { c.current.Store(int32(s)) }

// onConnState records a state change that the server reports.
func (c *Conn) onConnState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive, http.StateHijacked:
		c.afterBody.Store(false)
		c.setState(stateActive)
	case http.StateIdle:
		c.since, c.isNew = time.Now(), false
		c.setState(stateIdle)
	}
}

// SetReadDeadline sets a deadline of the server. In stateIdle, Read sets the deadlines, and
// SetReadDeadline ignores all but one: the server sets a deadline for a header that it read
// together with the previous request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state() == stateIdle {
		if c.isNew || t.IsZero() {
			return nil
		}
		c.setState(stateReadingHeader)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read reads from the connection. It ends an idle connection when the idle timeout has expired
// and no byte has arrived. The server may call Read again after that, because it takes an error
// within a header line for the end of the line.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	if c.state() == stateIdle && c.backgroundByte.Load() {
		if err = c.startHeader(); err != nil {
			return 0, err
		}
	}
	s := c.state()
	switch s {
	case stateIdle:
		return c.readIdle(p)
	case stateEnded:
		return 0, net.ErrClosed
	}
	n, err = c.TCPConn.Read(p)
	c.afterBody.Store(s == stateActive && len(p) == 1) // The server detects by it that the caller closes.
	c.backgroundByte.Store(c.afterBody.Load() && n == 1)
	switch {
	case err == nil && c.drained.Load():
		return 0, net.ErrClosed
	case s != stateReadingHeader || err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end(SlowHeader, idleTimeout{})
	default:
		c.end(CallerClosed, idleTimeout{})
	}
	return n, err
}

// readIdle reads the first bytes of a request, until the idle timeout expires.
func (c *Conn) readIdle(p []byte) (n int, err error) {
	var notBefore time.Time
	for {
		if err = c.setIdleDeadline(notBefore); err != nil {
			return 0, err
		}
		n, err = c.TCPConn.Read(p)
		switch {
		case n > 0:
			return n, c.startHeader()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.end(CallerClosed, idleTimeout{})
			return n, err
		case c.hasUnread(): // A byte arrived while the machine was suspended or busy.
			notBefore = time.Now().Add(c.t.cfg.ReadHeaderTimeout)
		case c.endIfExpired():
			return 0, err
		}
	}
}

// setIdleDeadline sets the read deadline of an idle connection to the end of its idle timeout,
// but not before the given time.
func (c *Conn) setIdleDeadline(notBefore time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state() != stateIdle {
		return nil
	}
	deadline := c.since.Add(c.t.idleTimeout(c.idlePeriod).timeout)
	if deadline.Before(notBefore) {
		deadline = notBefore
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// startHeader marks that a request has begun, and sets the deadline of its header.
func (c *Conn) startHeader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(stateReadingHeader)
	return c.TCPConn.SetReadDeadline(time.Now().Add(c.t.cfg.ReadHeaderTimeout))
}

// endIfExpired ends an idle connection whose timeout has expired, and reports whether it did.
// It computes the timeout again, because limits may have grown since the deadline was set.
func (c *Conn) endIfExpired() bool {
	var why idleTimeout
	var expired bool
	duty.Locked(&c.mu, func() {
		why = c.t.idleTimeout(c.idlePeriod)
		expired = !time.Now().Before(c.since.Add(why.timeout))
	})
	if expired {
		c.end(why.cause, why)
	}
	return expired
}

// refreshDeadline sets the deadline of an idle connection again after its timeout has changed.
func (c *Conn) refreshDeadline() {
	if c.state() == stateIdle {
		_ = c.setIdleDeadline(time.Time{}) // A closed connection needs no deadline.
	}
}

// hasUnread reports whether unread bytes have arrived. It does not wait for a read that is
// under way.
func (c *Conn) hasUnread() (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// maxDrain bounds the bytes that drain discards, because a caller may send without end.
const maxDrain = 256 << 10

// drain discards unread bytes, because closing a connection with unread bytes resets it, and the
// answer on its way would be lost. It does not wait for more bytes. It returns how many it
// discarded.
func (c *Conn) drain() (discarded int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	c.drained.Store(true)              // Set first: another goroutine may be reading a body.
	_ = raw.Control(func(fd uintptr) { // A closed connection needs no drain.
		var buf [4 << 10]byte
		for discarded < maxDrain {
			n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_DONTWAIT)
			if err != nil || n <= 0 {
				return
			}
			discarded += n
		}
	})
	return discarded
}

// end records why the connection ends; only the first cause counts.
func (c *Conn) end(cause Cause, why idleTimeout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause, c.why = cause, why
	}
	c.setState(stateEnded)
}

// Close closes the connection and counts the cause. It logs the cause if the server ended the
// connection.
func (c *Conn) Close() error {
	c.close.Do(c.recordClose)
	defer c.t.remove(c) // Last: the process may end once no connection is left.
	return c.TCPConn.Close()
}

func (c *Conn) recordClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		switch s := c.state(); {
		case s == stateActive && c.t.ended():
			c.cause = ProcessEnd
		case s != stateIdle && s != stateReadingHeader:
			c.cause = Answered
		case c.reading.Load(): // The server closes it under its reader.
			c.cause = ProcessEnd
		case s == stateReadingHeader: // Its reader has answered a malformed request.
			c.cause = Answered
		default: // Its reader closes it: a caller over TLS leaves with an alert.
			c.cause = CallerClosed
		}
	}
	c.t.counts[c.cause].Inc(1)
	if c.isNew && c.cause != Answered {
		c.t.counts[Unused].Inc(1)
	}
	var crossed bool
	switch {
	case c.cause == CallerClosed:
		return
	case c.cause == Answered, c.state() == stateActive: // An answer may be on its way.
		discarded := c.drain()
		crossed = c.afterBody.Load() && (discarded > 0 || c.backgroundByte.Load())
		if c.cause == Answered && !crossed {
			return
		}
	case c.cause != SlowHeader:
		crossed = c.hasUnread()
	}
	fields := []zap.Field{
		zap.Stringer("caller", c.RemoteAddr()), zap.String("cause", string(c.cause)),
		zap.Duration("idle", time.Since(c.since).Truncate(time.Millisecond)), zap.Duration("advertised", c.advertised),
	}
	if c.why.setting != "" {
		fields = append(fields, zap.String("setting", c.why.setting), zap.Duration("kept", c.why.timeout), zap.Uint64("version", c.why.version))
	}
	log := c.t.log.Info
	if crossed {
		c.t.counts[Crossed].Inc(1)
	}
	if crossed || c.cause == ProcessEnd {
		log = c.t.log.Warn
	}
	log("connection closed", append(fields, zap.Bool("crossed", crossed))...)
}
