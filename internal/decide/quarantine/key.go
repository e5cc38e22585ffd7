// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package quarantine decides which requests are not sent to endpoints any more since
// endpoints ended under them. It is not for judging endpoints (package balance) or for
// counting repeats (package retry).
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key names all requests that are the same to an endpoint. A caller that comes again
// uses a new id, and perhaps another of its keys or another gateway.
type Key [16]byte

// KeyOf returns the key of a request: its method, host, target (path and query as the
// caller sent them), customer ("" where none is needed) and body.
func KeyOf(method, host, target, customer string, body []byte) (k Key) {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...][]byte{[]byte(method), []byte(host), []byte(target), []byte(customer), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
