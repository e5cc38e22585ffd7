// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	Target string // Path and query as the caller sent them.
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request in wire format. The body is not copied.
func (r *Request) encode() (raw net.Buffers, err error) {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err = r.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return net.Buffers{b.Bytes(), r.Body}, nil
}

// Progress is how far a request got.
type Progress int

// Stages of a request.
const (
	Unsent   Progress = iota // No byte of it was written.
	Sent                     // It may have reached the endpoint.
	Answered                 // The head of an answer has arrived.
)

// largeRequestSize is the size in bytes above which a request is written while its answer is read,
// because an endpoint may answer before it has read the whole request.
const largeRequestSize = 16 << 10

// writeEndTimeout is how long the rest of a request may still be written once its answer has been
// read; after that the connection is closed.
const writeEndTimeout = 300 * time.Millisecond

// background runs the goroutines that write large requests and monitor their acknowledgements; each
// ends with its connection.
var background errgroup.Group

// Exchange is one request and its answer on a connection.
type Exchange struct {
	conn        *Conn
	resp        *http.Response
	deadline    time.Time
	writeResult chan error // Result of writing a large request; nil for others.
	progress    Progress
}

// Send writes r and returns the exchange, also with an error: then Progress tells how far the request
// got. A request above largeRequestSize is written in the background and counts as Sent at once;
// Done checks its result. Nothing is written after deadline.
func (c *Conn) Send(r *Request, deadline time.Time) (x *Exchange, err error) {
	defer func() { err = errors.Wrap(err, "sending") }()
	x = &Exchange{conn: c, deadline: deadline}
	if c.raw.interrupted.Load() {
		return x, errInterrupted
	}
	raw, err := r.encode()
	if err != nil {
		return x, err
	}
	if err = c.nc.SetDeadline(deadline); err != nil {
		return x, err
	}
	if len(raw[0])+len(r.Body) > largeRequestSize {
		x.progress = Sent
		x.writeResult = make(chan error, 1)
		c.longWrites.begin(deadline)
		background.Go(func() error {
			defer c.longWrites.end()
			_, err := raw.WriteTo(c.nc)
			x.writeResult <- err
			return nil // Done receives the error.
		})
		return x, nil
	}
	n, err := raw.WriteTo(c.nc)
	if n > 0 || err == nil {
		x.progress = Sent
	}
	return x, err
}

// Progress returns how far the request got.
func (x *Exchange) Progress() Progress { return x.progress }

// Conn returns the connection.
func (x *Exchange) Conn() *Conn { return x.conn }

// maxForeignAnswers is how many answers are skipped at most: interim ones and those to earlier
// requests.
const maxForeignAnswers = 2

// maxForeignBody limits the bytes that are read of the body of each skipped answer.
const maxForeignBody = 1 << 20

// Watch makes reads of the answer fail with ErrSilent when w abandons it after a silence.
func (x *Exchange) Watch(w SilenceWatch) { x.conn.raw.watch, x.conn.raw.deadline = &w, x.deadline }

// Unwatch ends the watch.
func (x *Exchange) Unwatch() { x.conn.raw.watch = nil }

// Arrived reports whether bytes of the answer, or its end, have arrived and are not read yet. It is
// for use while the answer is silent: bytes that are buffered above the socket do not count.
func (x *Exchange) Arrived() bool { return isReadable(x.conn.nc) }

// Head reads the head of the answer. It skips interim answers (1xx), and reads and discards answers
// for which isOurs returns false. It returns an error for more than maxForeignAnswers of both
// together, for a foreign answer that does not indicate its end or whose body is longer than
// maxForeignBody, ErrTooLong for a head that exceeds maxHeadBytes or maxHeadLines, and
// httphead.ErrMalformed for one that is not of the protocol. Reads of the body return the latter for its trailer.
func (x *Exchange) Head(r *Request, isOurs func(status int, h http.Header) bool) (resp *http.Response, err error) {
	defer func() { err = errors.Wrap(err, "answer's head") }()
	for range maxForeignAnswers + 1 {
		x.conn.raw.head = headMeter{active: true} // Begins anew: a skipped body may have been read with its head.
		resp, x.conn.br, err = httphead.Read(x.conn.br, &http.Request{Method: r.Method})
		tooLong := x.conn.raw.head.check()
		x.conn.raw.head.active = false
		switch {
		case err != nil && tooLong != nil:
			return nil, tooLong // The parser may have reported the line that was cut as malformed.
		case errors.Is(err, httphead.ErrMalformed):
			return nil, err
		case err != nil && !x.conn.raw.head.ended:
			return nil, httphead.FromParser(err)
		case err != nil:
			return nil, err
		}
		if err = checkLines(resp.Header); err != nil {
			return nil, err
		}
		if err = httphead.Check(resp); err != nil {
			return nil, err
		}
		httphead.CheckTrailer(resp, x.Abort)
		if resp.StatusCode < 200 {
			continue
		}
		if isOurs(resp.StatusCode, resp.Header) {
			x.resp, x.progress = resp, Answered
			return resp, nil
		}
		if !isFramed(resp) {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody+1))
		if err != nil {
			return nil, err
		}
		if n > maxForeignBody {
			break // The next answer would be read from within this body.
		}
	}
	return nil, errors.New("it belongs to another request")
}

// HeadBytes returns how many bytes were read for the last head until it was complete.
func (x *Exchange) HeadBytes() int { return x.conn.raw.head.bytes }

// isFramed reports whether the answer itself indicates its end.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Framed reports whether the answer, whose head has arrived, indicates its end itself. An answer
// that does not ends with its connection, which may also mean that the endpoint's process ended.
func (x *Exchange) Framed() bool { return isFramed(x.resp) || hasNoBody(x.resp) }

// hasNoBody reports whether an answer cannot have a body because of its status or the request's
// method, whatever its head says.
func hasNoBody(resp *http.Response) bool {
	return resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// Done returns the connection to the pool after the body was read to its end. It closes the
// connection instead if the request was not written completely, or if the endpoint closes it: it
// said so, the answer does not indicate its end, or the answer is HTTP/1.0.
func (x *Exchange) Done(p *Pool) {
	if !x.awaitWrite() || x.resp.Close || !isFramed(x.resp) || x.resp.ProtoMinor == 0 {
		x.conn.Close()
		return
	}
	x.conn.answers++
	x.conn.idleSince, x.conn.idleTimeout = time.Now(), advertisedIdleTimeout(x.resp.Header)
	p.Put(x.conn)
}

// awaitWrite waits for the end of the writing of a large request, for at most writeEndTimeout. It
// reports whether the request was written completely.
func (x *Exchange) awaitWrite() bool {
	if x.writeResult == nil {
		return true
	}
	t := time.NewTimer(writeEndTimeout)
	defer t.Stop()
	select {
	case err := <-x.writeResult:
		return err == nil
	case <-t.C:
		return false
	}
}

// Abort closes the connection, by which the endpoint learns that the caller has gone.
func (x *Exchange) Abort() { x.conn.Close() }

// advertisedIdleTimeout returns the time after which the endpoint closes an idle connection,
// defaultIdleTimeout if it does not say.
func advertisedIdleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}

// Reader returns a buffered reader over the body.
func (x *Exchange) Reader() *bufio.Reader { return bufio.NewReaderSize(x.resp.Body, readBufferSize) }
