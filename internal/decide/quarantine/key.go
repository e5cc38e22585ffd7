// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package quarantine decides which requests are no longer sent to endpoints because the processes
// of endpoints ended while they ran these requests. Package balance judges endpoints, and package
// retry counts retries.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies all requests that are identical to an endpoint. A caller that retries uses a new
// request id, and perhaps another of its API keys or another gateway.
type Key [16]byte

// KeyOf returns the key of a request: a hash of its method, host, target (path and query as sent
// by the caller), customer ("" if none is needed) and body.
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
