// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package rendezvous computes which endpoint owns an idempotency key, by rendezvous
// hashing over the published endpoints of a service. It does not consider which
// endpoints are alive, because all entries must agree even if their views differ.
//
// The method is Option A of "[RFC] Stable Multi-Disk Placement and Stale KV
// Cache GC for fs_native"; docs/MEASUREMENTS.md compares it with modulo.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the rendezvous score of an owner for a key; the owner with the
// highest score owns the key.
func Score(key, owner string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(owner) // A Digest never fails.
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner returns the owner of key among names, or "" if names is empty. The result
// does not depend on the order of names.
func Owner(key string, names []string) (owner string) {
	var best uint64
	for _, n := range names {
		s := Score(key, n)
		if owner == "" || s > best || s == best && n < owner {
			owner, best = n, s
		}
	}
	return owner
}

// Modulo returns the owner under the naive method: the hash of the key modulo the
// number of names.
func Modulo(key string, names []string) (owner string) {
	if len(names) == 0 {
		return ""
	}
	return names[xxhash.Sum64String(key)%uint64(len(names))]
}
