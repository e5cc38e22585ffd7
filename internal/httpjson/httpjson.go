// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package httpjson answers calls between processes with JSON, or with bytes that
// the caller made where JSON would be too long, and reads such answers. It is not
// for callers of models, whose answers are streamed.
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

// Do sends a request and returns the body of its answer, up to so many bytes. An answer of
// another status than 200 is an error.
func Do(c *http.Client, r *http.Request, most int64) (raw []byte, err error) {
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if raw, err = io.ReadAll(io.LimitReader(resp.Body, most)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return raw, nil
}

// Reply answers with v. A value that cannot be written is a fault of the
// process and is answered as one.
func Reply(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ReplyBytes(w, "application/json", raw)
}

// ReplyCompressed answers with v, compressed where whoever asked can read that: text of many
// entries that are alike, which goes to many over one link.
func ReplyCompressed(w http.ResponseWriter, r *http.Request, v any) {
	raw, err := json.Marshal(v)
	if err == nil && len(raw) >= leastPacked && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		raw, err = pack(raw)
	}
	if err != nil {
		w.Header().Del("Content-Encoding")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ReplyBytes(w, "application/json", raw)
}

// leastPacked is the length in bytes below which nothing is compressed: it fits a packet.
const leastPacked = 1400

func pack(raw []byte) (packed []byte, err error) {
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

// ReplyBinary answers with bytes.
func ReplyBinary(w http.ResponseWriter, raw []byte) {
	ReplyBytes(w, "application/octet-stream", raw)
}

// ReplyBytes answers with a body of the type given. The length goes out first, so
// that whoever asks sees an answer that is cut, also in HTTP/1.0.
func ReplyBytes(w http.ResponseWriter, contentType string, raw []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // Whoever asks may be gone.
}
