// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package httphead checks the heads of answers of other processes, which net/http parses more leniently than
// the protocol allows. What it lets through would be passed on to callers, or taken for another framing than
// the sender's.
package httphead

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a head is not one of the protocol. Nothing else that arrives on its connection can
// be trusted.
var ErrMalformed = errors.New("malformed head")

const (
	// maxQuotedBytes limits how much of a malformed part an error quotes.
	maxQuotedBytes = 64
	// maxErrorBytes limits the text of a parser's error, which may quote a whole line.
	maxErrorBytes = 256
)

// Check returns ErrMalformed, with the part that is wrong, for an interim or final answer that net/http has
// parsed.
func Check(resp *http.Response) error {
	if err := errors.CombineErrors(checkVersion(resp), checkStatus(resp)); err != nil {
		return err
	}
	return checkFields(resp.Header)
}

// checkVersion checks the version. RFC 9112, section 2.3: an answer has the major version of its request.
func checkVersion(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errors.Wrapf(ErrMalformed, "version %s", quote(resp.Proto))
	}
	return nil
}

// checkStatus checks the status line. RFC 9110, section 15: a status has three digits, and from 600 on it
// counts like 5xx. No request asks to switch protocols.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols || !httpguts.ValidHeaderFieldValue(resp.Status) {
		return errors.Wrapf(ErrMalformed, "status %s", quote(resp.Status))
	}
	return nil
}

// checkFields checks the fields of a head or trailer. RFC 9110, section 5.1: a name is a token.
func checkFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %s", quote(name))
		}
	}
	return nil
}

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		return fmt.Sprintf("%q and %d more bytes", s[:maxQuotedBytes], len(s)-maxQuotedBytes)
	}
	return strconv.Quote(s)
}

// FromParser returns ErrMalformed for an error with which the parser of net/http rejects a head. Its text is
// bounded.
func FromParser(err error) error {
	return errors.Wrapf(ErrMalformed, "%.*s", maxErrorBytes, err.Error())
}

// oldVersion is a version whose senders do not know chunks.
const oldVersion = "HTTP/1.0"

// Read parses the head of an answer like http.ReadResponse, which ignores the field Transfer-Encoding of
// HTTP/1.0. It returns ErrMalformed for such a field, as RFC 9112, section 6.1, demands, since the end of the
// body is not known. The caller must go on reading from rest.
func Read(br *bufio.Reader, r *http.Request) (resp *http.Response, rest *bufio.Reader, err error) {
	version, err := br.Peek(len(oldVersion))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // As http.ReadResponse returns it.
	}
	if err != nil {
		return nil, br, err // The reader returns it once: a second read would wait again.
	}
	if string(version) != oldVersion {
		resp, err = http.ReadResponse(br, r)
		return resp, br, err
	}
	_, _ = br.Discard(len(oldVersion)) // It is buffered.
	rest = bufio.NewReaderSize(io.MultiReader(strings.NewReader("HTTP/1.1"), br), br.Size())
	if resp, err = http.ReadResponse(rest, r); err != nil {
		return nil, rest, err
	}
	if len(resp.TransferEncoding) > 0 {
		return nil, rest, errors.Wrapf(ErrMalformed, "%s with a transfer encoding", oldVersion)
	}
	resp.Proto, resp.ProtoMinor, resp.Close = oldVersion, 0, true
	return resp, rest, nil
}

// CheckTrailer has reads of the body of an answer return ErrMalformed at its end, and call onMalformed, if its
// trailer is malformed. Only an answer in chunks has a trailer.
func CheckTrailer(resp *http.Response, onMalformed func()) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp, onMalformed: onMalformed}
	}
}

// trailerChecker is a body whose trailer is checked.
type trailerChecker struct {
	io.ReadCloser
	resp        *http.Response // Its trailer is complete when the body ends.
	onMalformed func()
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (n int, err error) {
	n, err = c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkFields(c.resp.Trailer); invalid != nil {
			c.onMalformed()
			return n, errors.Wrap(invalid, "trailer")
		}
	}
	return n, err
}
