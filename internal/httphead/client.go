// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httphead

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// maxInterimAnswers limits the interim answers before an answer.
const maxInterimAnswers = 5

// interimMeter counts the interim answers before an answer, whose number and size net/http does not limit for
// those who look at them.
type interimMeter struct {
	limit   int64 // Bytes of all heads together.
	answers int
	bytes   int64
}

// add counts an interim answer, and returns an error if it exceeds a limit.
func (m *interimMeter) add(h http.Header) error {
	m.answers++
	for name, values := range h {
		for _, v := range values {
			m.bytes += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	if m.answers > maxInterimAnswers || m.bytes > m.limit {
		return errors.Newf("%d interim answers of %d bytes, at most %d answers of %d bytes are allowed", m.answers, m.bytes, maxInterimAnswers, m.limit)
	}
	return nil
}

// NewClient returns a client whose answers are checked: a malformed head, of interim answers also, or a
// malformed trailer is an error and ends the connection.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: &transport{t}}
}

// transport checks the answers of an http.Transport.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	var conn net.Conn // Of the last attempt: the transport repeats a request that it could not write.
	interim := interimMeter{limit: t.MaxResponseHeaderBytes}
	if interim.limit == 0 {
		interim.limit = http.DefaultMaxHeaderBytes
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { // Never called for 101.
			if err := interim.add(http.Header(h)); err != nil {
				return err
			}
			return checkFields(http.Header(h))
		},
	}
	if resp, err = t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))); err != nil {
		return nil, bound(err)
	}
	if err = Check(resp); err != nil {
		_ = conn.Close() // An answer without a body has returned it to the pool.
		_ = resp.Body.Close()
		return nil, err
	}
	CheckTrailer(resp, func() { _ = conn.Close() })
	return resp, nil
}

// boundedError is an error with a bounded text.
type boundedError struct{ error }

// Error implements error.
func (e boundedError) Error() string { return e.error.Error()[:maxErrorBytes] }

// Unwrap returns the error with its whole text.
func (e boundedError) Unwrap() error { return e.error }

// bound bounds the text of an error, since the parser quotes lines that it rejects.
func bound(err error) error {
	if len(err.Error()) <= maxErrorBytes {
		return err
	}
	return boundedError{err}
}
