// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package adapter contains narrow adapters to the platform: the model engine,
// the plain service, the configuration service, the list of instances and the
// weight store. Each adapter is a struct of functions, so that a test or a
// benchmark can replace them; the constructors here implement the HTTP
// protocols. This package makes no decisions.
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

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// maxAnswerBytes limits the size of a platform's answer that is not a stream.
const maxAnswerBytes = 8 << 20

// statusError reports an HTTP answer with an unexpected status.
type statusError struct {
	code    int
	text    string
	backoff time.Duration // Requested by the answer; 0 for none.
}

func (e *statusError) Error() string { return http.StatusText(e.code) + ": " + e.text }

// Status returns the HTTP status of the answer that err reports, or 0 when err has none.
func Status(err error) int {
	var se *statusError
	if errors.As(err, &se) {
		return se.code
	}
	return 0
}

// Backoff returns the backoff that the server requested when it failed a call, 0 when it
// requested none.
func Backoff(err error) time.Duration {
	var se *statusError
	if errors.As(err, &se) {
		return se.backoff
	}
	return 0
}

// maxBackoff limits the backoff that is read from an answer, so that it fits a time.Duration.
const maxBackoff = 365 * 24 * time.Hour

// readBackoff returns the backoff that an answer with status 503 requests in Retry-After, in seconds that
// may have a fraction. Any other value is treated as absent.
func readBackoff(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0) { // Also false for NaN.
		return 0
	}
	return time.Duration(min(s, maxBackoff.Seconds()) * float64(time.Second))
}

// notSentError marks the error of a call of which no byte left the process.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// NotSent reports whether err proves that nothing of the call was sent.
func NotSent(err error) bool {
	var ns notSentError
	return errors.As(err, &ns)
}

// FailedDial reports whether a transport error proves that nothing was sent,
// because no connection was established.
func FailedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// markIfNotSent wraps err in a notSentError if it proves that nothing was sent.
func markIfNotSent(err error) error {
	if FailedDial(err) {
		return notSentError{err}
	}
	return err
}

// IdleTimeout is how long a transport keeps an idle connection. Servers of this system keep theirs
// longer, and wait for as long in a planned stop.
const IdleTimeout = 3 * time.Second

// NewTransport returns a transport that pools connections to many peers. It is
// used only for requests that are harmless to repeat: net/http resends some
// requests by itself when a reused connection breaks. source is the local IP
// address of the connections, "" for any.
func NewTransport(source string) *http.Transport {
	d := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        IdleTimeout,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
		ResponseHeaderTimeout:  0,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httpjson.MaxHeadBytes,
	}
}

// NewSingleUseTransport returns a transport that opens a connection for each
// request and closes it afterwards. net/http resends a request by itself only
// if it was sent on a reused connection, so requests sent here are sent once.
func NewSingleUseTransport(source string) *http.Transport {
	t := NewTransport(source)
	t.DisableKeepAlives = true
	return t
}

// getJSON decodes the JSON answer to a GET request into v.
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
		return nil, markIfNotSent(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readOK(resp)
}

// maxQuotedBytes is how much of the body of an unexpected answer an error quotes.
const maxQuotedBytes = 200

// readOK reads the complete body of an answer with status 200; any other status is a statusError.
func readOK(resp *http.Response) (raw []byte, err error) {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxQuotedBytes)) // The text is optional; the status is sufficient.
		return nil, &statusError{resp.StatusCode, string(text), readBackoff(resp)}
	}
	return ReadWhole(resp, maxAnswerBytes)
}

// ReadWhole reads the complete body of an answer, at most limit bytes. An answer with
// neither a length nor chunked encoding ends with its connection, also when the process
// that sent it has died. Nothing proves that it is complete, so it is treated as truncated.
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

// framed reports whether the framing of an answer marks the end of its body, so that a truncated one is detected.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 ||
		resp.Request != nil && resp.Request.Method == http.MethodHead
}
