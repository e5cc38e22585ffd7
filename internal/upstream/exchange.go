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
)

// Request is what goes to an endpoint.
type Request struct {
	Method string
	Target string // Path and query as the caller sent them.
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request as it goes on the wire. The body is not copied.
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

// The stages.
const (
	Unsent   Progress = iota // No byte of it left.
	Sent                     // It may have reached the endpoint.
	Answered                 // The head of an answer has arrived.
)

// largeRequest is the size above which a request is written beside the reading
// of its answer, since an endpoint may answer before it has read all.
const largeRequest = 16 << 10

// writeEnd bounds how long the rest of a request is still written once its
// answer is there; after that the connection is given up.
const writeEnd = 300 * time.Millisecond

// writer starts the goroutines that write large requests and look after them; each ends
// with its connection.
var writer errgroup.Group

// Exchange is one request and its answer on a connection.
type Exchange struct {
	conn     *Conn
	resp     *http.Response
	deadline time.Time
	wrote    chan error // Result of a large request's writing; nil for others.
	progress Progress
}

// Send writes r and returns the exchange, whose Progress tells what happened
// when there is an error. Nothing is written after deadline.
func (c *Conn) Send(r *Request, deadline time.Time) (x *Exchange, err error) {
	defer func() { err = errors.Wrap(err, "sending") }()
	x = &Exchange{conn: c, deadline: deadline}
	raw, err := r.encode()
	if err != nil {
		return x, err
	}
	if err = c.nc.SetDeadline(deadline); err != nil {
		return x, err
	}
	if len(raw[0])+len(r.Body) > largeRequest {
		x.progress = Sent
		x.wrote = make(chan error, 1)
		c.long.begin(deadline)
		writer.Go(func() error {
			defer c.long.end()
			_, err := raw.WriteTo(c.nc)
			x.wrote <- err
			return nil // The error is told to Done.
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

// maxSurplus is how many answers to earlier requests are passed over.
const maxSurplus = 2

// maxSurplusBody bounds what is read of each of them.
const maxSurplusBody = 1 << 20

// Watch has reads of the answer end with ErrSilent when it is silent for too long.
func (x *Exchange) Watch(w SilenceWatch) { x.conn.in.watch, x.conn.in.deadline = &w, x.deadline }

// Head reads the head of the answer. Answers that are not ours, as told by the
// function, are read and dropped.
func (x *Exchange) Head(r *Request, ours func(status int, h http.Header) bool) (resp *http.Response, err error) {
	defer func() { err = errors.Wrap(err, "answer's head") }()
	for range maxSurplus + 1 {
		resp, err = http.ReadResponse(x.conn.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 {
			return nil, errors.Newf("status %d", resp.StatusCode) // The caller's server cannot write it.
		}
		if resp.StatusCode < 200 {
			continue
		}
		if ours(resp.StatusCode, resp.Header) {
			x.resp, x.progress = resp, Answered
			return resp, nil
		}
		if !framed(resp) {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody+1))
		if err != nil {
			return nil, err
		}
		if n > maxSurplusBody {
			break // The next answer would be read from within its body.
		}
	}
	return nil, errors.New("it belongs to another request")
}

// framed reports whether the answer tells its own end.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Framed reports whether the answer, whose head has come, tells its own end. The
// end of one that does not is that of its connection, which says as well that the
// endpoint's process ended.
func (x *Exchange) Framed() bool { return framed(x.resp) || bodyless(x.resp) }

// bodyless reports whether an answer has no body by its kind, whatever its head says.
func bodyless(resp *http.Response) bool {
	return resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// Done gives the connection back after a body that was read to its end, or
// closes it when the endpoint will, or when the request was not read whole.
func (x *Exchange) Done(p *Pool) {
	if !x.wroteAll() || x.resp.Close || !framed(x.resp) || x.resp.ProtoMinor == 0 {
		x.conn.Close()
		return
	}
	x.conn.served++
	x.conn.idleAt, x.conn.idleFor = time.Now(), idleTime(x.resp.Header)
	p.Put(x.conn)
}

func (x *Exchange) wroteAll() bool {
	if x.wrote == nil {
		return true
	}
	t := time.NewTimer(writeEnd)
	defer t.Stop()
	select {
	case err := <-x.wrote:
		return err == nil
	case <-t.C:
		return false
	}
}

// Abort closes the connection: the endpoint sees that the caller has gone.
func (x *Exchange) Abort() { x.conn.Close() }

// idleTime reads after which time the endpoint closes an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return defaultIdle
}

// ReadWhole reads a body of at most limit bytes to its end.
func (x *Exchange) ReadWhole(limit int64) (body []byte, err error) {
	defer func() { err = errors.Wrap(err, "answer's body") }()
	var b bytes.Buffer
	if n := x.resp.ContentLength; n > 0 && n <= limit {
		b.Grow(int(n) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(x.resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, errors.Newf("longer than %d bytes", limit)
	}
	return b.Bytes(), nil
}

// Reader returns a buffered reader over the body.
func (x *Exchange) Reader() *bufio.Reader { return bufio.NewReaderSize(x.resp.Body, readBuffer) }
