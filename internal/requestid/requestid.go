// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package requestid creates and parses request ids and idempotency keys. Both are
// UUIDv7 and thus contain the time of their creation. A key also names the
// endpoint that owns it, after an '@': the owner never changes, whatever is
// published later and whatever a partitioned process believes.
package requestid

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// New returns a new request id.
func New() string { return uuid.Must(uuid.NewV7()).String() }

// KeyTimeResolution is how far Minted may lie before the actual creation of a key: a
// UUIDv7 contains its time in whole milliseconds.
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
		panic(err) // The id was just created; only an empty or too long owner fails.
	}
	return k
}

// ParseKey parses a key that a caller sent.
func ParseKey(text string) (k Key, err error) {
	defer func() { err = errors.Wrapf(err, "idempotency key %.80q", text) }()
	if len(text) > 255 {
		return k, errors.New("longer than 255 bytes")
	}
	id, owner, _ := strings.Cut(text, "@")
	if owner == "" {
		return k, errors.New("names no owner; POST /v1/keys makes one that does")
	}
	parsed, err := uuid.Parse(id)
	if err != nil || len(id) != 36 {
		return k, errors.New("not a UUIDv7; POST /v1/keys makes one")
	}
	if parsed.Version() != 7 {
		return k, errors.Newf("UUID of version %d, not 7; POST /v1/keys makes one", parsed.Version())
	}
	sec, nsec := parsed.Time().UnixTime()
	return Key{text: strings.ToLower(id) + text[len(id):], owner: owner, minted: time.Unix(sec, nsec)}, nil
}

// String returns the key in the form that callers send, with the UUID in lower case.
func (k Key) String() string { return k.text }

// Owner returns the name of the endpoint that owns the key.
func (k Key) Owner() string { return k.owner }

// Minted returns the time at which the key was created, by the clock of its creator.
func (k Key) Minted() time.Time { return k.minted }
