// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package httpjson answers calls between processes with JSON, or with bytes that
// the caller made where JSON would be too long. It is not for callers of models,
// whose answers are streamed.
package httpjson

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Reply answers with v. A value that cannot be written is a fault of the
// process and is answered as one.
func Reply(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	Bytes(w, "application/json", raw)
}

// Binary answers with bytes.
func Binary(w http.ResponseWriter, raw []byte) {
	Bytes(w, "application/octet-stream", raw)
}

// Bytes answers with a body of the type given. The length goes out first, so
// that whoever asks sees an answer that is cut, also in HTTP/1.0.
func Bytes(w http.ResponseWriter, contentType string, raw []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // Whoever asks may be gone.
}
