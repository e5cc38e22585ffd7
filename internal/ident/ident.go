// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package ident makes and reads the ids of requests and the idempotency keys.
// Both are UUIDv7 and so carry the time they were made. A key also names the
// endpoint that owns it, after an '@': its owner never changes, whatever is
// published later and whatever a cut-off process believes.
package ident

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// New returns a request id.
func New() string { return uuid.Must(uuid.NewV7()).String() }

// KeyTimeResolution is how much earlier than it was made a key may say that it was: a
// UUIDv7 tells its time in whole milliseconds.
const KeyTimeResolution = time.Millisecond

// Key is an idempotency key.
type Key struct {
	text   string
	owner  string
	minted time.Time
}

// NewKey returns a key that the named endpoint owns.
func NewKey(owner string) Key {
	k, err := ParseKey(New() + "@" + owner)
	if err != nil {
		panic(err) // The text was just made.
	}
	return k
}

// ParseKey reads a key that a caller sent.
func ParseKey(text string) (k Key, err error) {
	defer func() { err = errors.Wrapf(err, "idempotency key %.80q", text) }()
	if len(text) > 255 {
		return k, errors.New("longer than 255 bytes")
	}
	id, owner, _ := strings.Cut(text, "@")
	if owner == "" {
		return k, errors.New("names no owner; POST /v1/keys makes one that does")
	}
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 {
		return k, errors.New("not a UUIDv7; POST /v1/keys makes one")
	}
	if u.Version() != 7 {
		return k, errors.Newf("UUID of version %d, not 7; POST /v1/keys makes one", u.Version())
	}
	sec, nsec := u.Time().UnixTime()
	return Key{text: strings.ToLower(id) + text[len(id):], owner: owner, minted: time.Unix(sec, nsec)}, nil
}

// String returns the key as callers send it.
func (k Key) String() string { return k.text }

// Owner returns the endpoint named in the key.
func (k Key) Owner() string { return k.owner }

// Minted returns the time the key was made, by its maker's clock.
func (k Key) Minted() time.Time { return k.minted }
