// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package httpjson answers calls between processes with JSON, or with bytes that
// the caller made where JSON would be too long. It is not for callers of models,
// whose answers are streamed.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Reply answers with v. A value that cannot be written is a fault of the
// process and is answered as one.
func Reply(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // Whoever asks sees an answer that is cut.
}

// Binary answers with bytes.
func Binary(w http.ResponseWriter, raw []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(raw) // Whoever asks sees an answer that is cut.
}
