// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package adapter holds the narrow adapters to what the system runs on: the
// model engine, the plain service, the configuration service, the list of
// instances and the weight store. Each adapter is a struct of functions, so
// that a test or a bench can put its own in place; the constructors here speak
// the HTTP protocols. Nothing in this package decides anything.
package adapter

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAnswer bounds what is read of a platform answer that is not a stream.
const maxAnswer = 8 << 20

// statusError is an HTTP answer other than the expected one.
type statusError struct {
	code int
	text string
	rest time.Duration // That the answer asks for.
}

func (e *statusError) Error() string { return http.StatusText(e.code) + ": " + e.text }

// Status returns the HTTP status of a failed call, or 0 when err is not one.
func Status(err error) int {
	var se *statusError
	if errors.As(err, &se) {
		return se.code
	}
	return 0
}

// Backoff returns for how long the one that failed a call wants nothing more, 0 when it did not
// say so.
func Backoff(err error) time.Duration {
	var se *statusError
	if errors.As(err, &se) {
		return se.rest
	}
	return 0
}

// longestRest bounds what is read of a time to rest, so that it fits a duration.
const longestRest = 365 * 24 * time.Hour

// restOf reads for how long an answer asks to be left alone. Seconds may have a fraction; what
// is no such number counts as absent.
func restOf(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0) { // No NaN either.
		return 0
	}
	return time.Duration(min(s, longestRest.Seconds()) * float64(time.Second))
}

// notSentError marks a call of which no byte left the process.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// NotSent reports whether err proves that nothing of the call was sent.
func NotSent(err error) bool {
	var ns notSentError
	return errors.As(err, &ns)
}

// FailedDial reports whether a transport error proves that nothing was sent:
// there was no connection.
func FailedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// classify marks a transport error that proves that nothing was sent.
func classify(err error) error {
	if FailedDial(err) {
		return notSentError{err}
	}
	return err
}

// IdleTimeout is how long a transport keeps a connection that rests. Servers of ours keep theirs
// longer, and wait for as long in a planned stop.
const IdleTimeout = 3 * time.Second

// NewTransport returns a transport that keeps connections to many peers. It is
// used only for requests that are harmless to repeat: net/http sends some
// requests again by itself when a kept connection breaks. source is the IP
// number that connections come from, "" for any.
func NewTransport(source string) *http.Transport {
	d := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		Proxy:                 nil,
		DialContext:           d.DialContext,
		MaxIdleConnsPerHost:   256,
		IdleConnTimeout:       IdleTimeout,
		ReadBufferSize:        2 << 10,
		WriteBufferSize:       2 << 10,
		ResponseHeaderTimeout: 0,
		DisableCompression:    true,
	}
}

// NewSingleUseTransport returns a transport that opens a connection for each
// request and closes it afterwards. net/http repeats a request by itself only
// on a connection it has used before, so that one sent here is sent once.
func NewSingleUseTransport(source string) *http.Transport {
	t := NewTransport(source)
	t.DisableKeepAlives = true
	return t
}

// getJSON reads a JSON answer into v.
func getJSON(ctx context.Context, c *http.Client, url string, v any) (err error) {
	raw, err := get(ctx, c, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

func get(ctx context.Context, c *http.Client, url string) (raw []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readOK(resp)
}

// statusText is how much of an unexpected answer is quoted, in bytes.
const statusText = 200

// readOK reads the whole body of an answer with the expected status.
func readOK(resp *http.Response) (raw []byte, err error) {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, statusText)) // The status says enough.
		return nil, &statusError{resp.StatusCode, string(text), restOf(resp)}
	}
	return ReadWhole(resp, maxAnswer)
}

// ReadWhole reads the body of an answer that is at most limit bytes long. An
// answer with neither a length nor chunks ends where its connection ends, also
// when the process that gave it has died: nothing shows that it is whole, so it
// is taken as cut.
func ReadWhole(resp *http.Response, limit int) (raw []byte, err error) {
	raw, err = io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	switch {
	case err != nil:
		return nil, err
	case len(raw) > limit:
		return nil, errors.Newf("answer is larger than %d bytes", limit)
	case !framed(resp):
		return nil, errors.New("answer has neither a length nor chunks")
	}
	return raw, nil
}

// framed reports whether the end of an answer's body shows by itself.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1 ||
		resp.Request != nil && resp.Request.Method == http.MethodHead
}
