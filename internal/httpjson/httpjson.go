// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package httpjson answers HTTP calls between processes with JSON, or with bytes encoded by the
// package's user where JSON would be too long, and reads such answers. It is not used for callers
// of models, whose answers are streamed.
package httpjson

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of an answer of another process, and all interim answers before it together, which
// package httphead limits.
// It is the value for http.Transport.MaxResponseHeaderBytes, whose default would take a few hundred times
// as much for each call.
const MaxHeadBytes = 32 << 10

// Do sends a request and returns the first maxBytes bytes of the answer's body. An answer with a
// status other than 200 is an error, and so is one without a length or chunks, as Reply never sends it: its end
// may be that of its connection.
func Do(c *http.Client, r *http.Request, maxBytes int64) (raw []byte, err error) {
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if raw, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	if !marksEnd(resp, raw) {
		return nil, errors.New("answer has neither a length nor chunks")
	}
	return raw, nil
}

// marksEnd reports whether an answer with this body itself marks its end. The length of one that the transport has
// unpacked is not known any more, but its compressed form, if there is any, ends with a length and a checksum.
func marksEnd(resp *http.Response, body []byte) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed && len(body) > 0
}

// Reply answers with v as JSON. A value that cannot be encoded is an internal error, and is
// answered with status 500.
func Reply(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ReplyBytes(w, "application/json", raw)
}

// ReplyCompressed answers with v as JSON, compressed with gzip if the client accepts that. It is for
// lists of many similar entries that are sent to many clients over one network link.
func ReplyCompressed(w http.ResponseWriter, r *http.Request, v any) {
	raw, err := json.Marshal(v)
	if err == nil && len(raw) >= minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		raw, err = compress(raw)
	}
	if err != nil {
		w.Header().Del("Content-Encoding")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ReplyBytes(w, "application/json", raw)
}

// minCompressedBytes is the length in bytes below which nothing is compressed: such an answer fits
// into one packet.
const minCompressedBytes = 1400

func compress(raw []byte) (compressed []byte, err error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = z.Write(raw); err != nil {
		return nil, err
	}
	if err = z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// ReplyBinary answers with raw as application/octet-stream.
func ReplyBinary(w http.ResponseWriter, raw []byte) {
	ReplyBytes(w, "application/octet-stream", raw)
}

// ReplyBytes answers with a body of the given content type. It sends a Content-Length, so that
// clients detect a truncated answer, also with HTTP/1.0.
func ReplyBytes(w http.ResponseWriter, contentType string, raw []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // The client may have disconnected.
}
