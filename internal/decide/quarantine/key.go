// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package quarantine decides which requests are no longer sent to endpoints because the processes
// of endpoints ended while they ran these requests, or others that share a part of their prompts. Package balance judges endpoints, and package
// retry counts retries.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Key identifies all requests that are identical to an endpoint, or all that share a part. A caller that retries uses a new
// request id, and perhaps another of its API keys or another gateway.
type Key [16]byte

// KeyOf returns the key of a request: a hash of its method, host, target (path and query as sent
// by the caller), customer ("" if none is needed) and body.
func KeyOf(method, host, target, customer string, body []byte) (k Key) {
	h := sha256.New()
	for _, field := range [...][]byte{[]byte(method), []byte(host), []byte(target), []byte(customer), body} {
		hashField(h, field)
	}
	copy(k[:], h.Sum(nil))
	return k
}

// hashField adds a field and its length to a hash.
func hashField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// PartKeyOf returns the key of a part of the prompts of requests to a model, whatever service runs it.
func PartKeyOf(model, part string) (k Key) {
	const typicalSize = 128 // Bytes; a longer text is allocated.
	text := make([]byte, 0, typicalSize)
	for _, field := range [...]string{"part", model, part} {
		text = binary.BigEndian.AppendUint64(text, uint64(len(field)))
		text = append(text, field...)
	}
	sum := sha256.Sum256(text)
	copy(k[:], sum[:])
	return k
}
