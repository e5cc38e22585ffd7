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

// Cause is the reason why a connection ended.
type Cause string

// The causes.
const (
	Idle         Cause = "idle"        // Its idle timeout expired.
	Stopped      Cause = "stop"        // An idle timeout that applies in a planned stop expired.
	SlowHeader   Cause = "slow-header" // A request header did not end in time.
	CallerClosed Cause = "caller"      // The caller closed it between two requests or within a header.
	Answered     Cause = "answered"    // The server closed it after or during an answer, even to a malformed request; or the caller, during one.
	ProcessEnd   Cause = "process-end" // The process ended while the caller could still use it, or during a request.
	Crossed      Cause = "crossed"     // Counted as well: it was closed with unread bytes of a next request.
	Unused       Cause = "unused"      // Counted as well: no request was read on it.
)

var causes = []Cause{Idle, Stopped, SlowHeader, CallerClosed, Answered, ProcessEnd, Crossed, Unused}

// state is the state of a connection as its server uses it.
type state int32

const (
	stateIdle          state = iota // The server has read no byte of the next request.
	stateReadingHeader              // The server reads the header of a request.
	stateActive                     // The server serves a request.
	stateEnded                      // The server does not read the connection any more.
)

// Conn is a server's connection that a Tracker tracks.
type Conn struct {
	*net.TCPConn
	tracker *Tracker

	currentState   atomic.Int32 // The state; written under mu.
	reading        atomic.Bool  // A read is in progress.
	backgroundByte atomic.Bool  // The last read was net/http's background read of one byte, and returned it.
	afterBody      atomic.Bool  // The last read was that background read, with or without a byte: the body has been read to its end.
	inputDiscarded atomic.Bool  // Bytes that followed the last read may have been discarded.
	closeOnce      sync.Once

	mu             sync.Mutex  // Guards the fields below, and the read deadline in stateIdle.
	idlePeriod                 // The last one.
	cause          Cause       // Why the connection ended; "" before.
	expiredTimeout idleTimeout // The timeout that expired, for the causes Idle and Stopped.
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

func (c *Conn) state() state     { return state(c.currentState.Load()) }
func (c *Conn) setState(s state) { c.currentState.Store(int32(s)) }

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

// SetReadDeadline sets a read deadline on behalf of the server. In stateIdle, Read sets the
// deadlines, and SetReadDeadline ignores the server's. There is one exception: on a connection that
// has carried a request, a deadline other than zero is for a header that the server read together
// with the previous request, and begins stateReadingHeader.
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
// and no byte has arrived. It also ends a connection on which a header fails to arrive. The server
// may call Read again after that, because it treats an error within a header line as the end of the
// line; Read then returns net.ErrClosed.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	if c.state() == stateIdle && c.backgroundByte.Load() { // The background read took the first byte of the next header.
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
	c.afterBody.Store(s == stateActive && len(p) == 1) // The server uses it to detect that the caller closes.
	c.backgroundByte.Store(c.afterBody.Load() && n == 1)
	switch {
	case err == nil && c.inputDiscarded.Load():
		return 0, net.ErrClosed
	case s != stateReadingHeader || err == nil: // The server handles errors within a body itself.
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end(SlowHeader, idleTimeout{})
	default:
		c.end(CallerClosed, idleTimeout{})
	}
	return n, err
}

// readIdle reads the first bytes of a request. If the idle timeout expires and none have arrived, it
// ends the connection and returns the deadline error.
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
			notBefore = time.Now().Add(c.tracker.cfg.ReadHeaderTimeout)
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
	deadline := c.since.Add(c.tracker.chooseTimeout(c.idlePeriod).timeout)
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
	return c.TCPConn.SetReadDeadline(time.Now().Add(c.tracker.cfg.ReadHeaderTimeout))
}

// endIfExpired ends an idle connection whose timeout has expired, and reports whether it did.
// It computes the timeout again, because limits may have grown since the deadline was set.
func (c *Conn) endIfExpired() bool {
	var limit idleTimeout
	var expired bool
	duty.Locked(&c.mu, func() {
		limit = c.tracker.chooseTimeout(c.idlePeriod)
		expired = !time.Now().Before(c.since.Add(limit.timeout))
	})
	if expired {
		c.end(limit.cause, limit)
	}
	return expired
}

// refreshDeadline sets the deadline of an idle connection again after its timeout has changed.
func (c *Conn) refreshDeadline() {
	if c.state() == stateIdle {
		_ = c.setIdleDeadline(time.Time{}) // A closed connection needs no deadline.
	}
}

// hasUnread reports whether unread bytes have arrived. It does not wait for a read in progress.
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

// maxDiscard bounds the bytes that discardUnread discards, because a caller may send without end.
const maxDiscard = 256 << 10

// discardUnread discards unread bytes, because closing a connection with unread bytes resets it, and an
// answer in transit would be lost. It does not wait for more bytes. It returns how many it
// discarded.
func (c *Conn) discardUnread() (discarded int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	c.inputDiscarded.Store(true)       // Set first: another goroutine may be reading a body.
	_ = raw.Control(func(fd uintptr) { // A closed connection has nothing to discard.
		var buf [4 << 10]byte
		for discarded < maxDiscard {
			n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_DONTWAIT)
			if err != nil || n <= 0 {
				return
			}
			discarded += n
		}
	})
	return discarded
}

// end records why the connection ends; only the first cause counts. Later reads return
// net.ErrClosed. It does not close the connection.
func (c *Conn) end(cause Cause, timeout idleTimeout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause, c.expiredTimeout = cause, timeout
	}
	c.setState(stateEnded)
}

// Close closes the connection and counts the cause. It logs the cause if the server ended the
// connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.recordClose)
	defer c.tracker.remove(c) // Last: the process may end once no connection is left.
	return c.TCPConn.Close()
}

// recordClose counts the cause of a close. If no cause was recorded, it derives one from the state of
// the connection. Where an answer may be in transit, it discards unread bytes, so that the close
// does not reset the connection. It logs nothing for a connection that its caller closed, or that
// was closed after an answer and not crossed.
func (c *Conn) recordClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		switch s := c.state(); {
		case s == stateActive && c.tracker.isProcessEnding():
			c.cause = ProcessEnd
		case s != stateIdle && s != stateReadingHeader:
			c.cause = Answered
		case c.reading.Load(): // The server closes it during a read.
			c.cause = ProcessEnd
		case s == stateReadingHeader: // The reading goroutine has answered a malformed request.
			c.cause = Answered
		default: // The reading goroutine closes it: a caller over TLS closes with an alert.
			c.cause = CallerClosed
		}
	}
	c.tracker.counts[c.cause].Inc(1)
	if c.isNew && c.cause != Answered {
		c.tracker.counts[Unused].Inc(1)
	}
	var crossed bool
	switch {
	case c.cause == CallerClosed:
		return
	case c.cause == Answered, c.state() == stateActive: // An answer may be in transit.
		discarded := c.discardUnread()
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
	if c.expiredTimeout.setting != "" {
		fields = append(fields, zap.String("setting", c.expiredTimeout.setting), zap.Duration("kept", c.expiredTimeout.timeout), zap.Uint64("version", c.expiredTimeout.version))
	}
	log := c.tracker.log.Info
	if crossed {
		c.tracker.counts[Crossed].Inc(1)
	}
	if crossed || c.cause == ProcessEnd {
		log = c.tracker.log.Warn
	}
	log("connection closed", append(fields, zap.Bool("crossed", crossed))...)
}
