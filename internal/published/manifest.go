// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
)

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// MaxValueBytes is the size limit of a value in the configuration service.
const MaxValueBytes = 1 << 20

// Version orders published generations: by number, and manifests of the same number by hash, so that
// all nodes converge on the same one.
type Version struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"` // Hex SHA-256 of the manifest body.
}

// Newer reports whether v supersedes w.
func (v Version) Newer(w Version) bool {
	if v.Generation != w.Generation {
		return v.Generation > w.Generation
	}
	return v.Hash > w.Hash
}

// Entry names one published key and the hash of its value.
type Entry struct {
	Key  string `json:"key"`
	Hash string `json:"hash"` // Hex SHA-256 of the value.
}

// Body is the part of a manifest that is signed.
type Body struct {
	Generation uint64  `json:"generation"`
	Parent     string  `json:"parent"` // Hash of the manifest that this one was derived from; "" for the first.
	Entries    []Entry `json:"entries"`
}

// Manifest is the signed list of all values of one generation.
type Manifest struct {
	Body      Body   `json:"body"`
	Signature []byte `json:"signature"` // Ed25519 over the JSON of Body.
}

// HashOf returns the hex SHA-256 of value.
func HashOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// signedBytes returns the bytes that are hashed and signed. The JSON encoder writes struct fields in
// order, so that equal bodies have equal bytes.
func (b Body) signedBytes() []byte {
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err) // A Body holds only strings and numbers.
	}
	return raw
}

// Version returns the generation number and the hash of m.
func (m Manifest) Version() Version {
	return Version{Generation: m.Body.Generation, Hash: HashOf(m.Body.signedBytes())}
}

// Pack returns a signed manifest of values.
func Pack(generation uint64, parent string, values map[string][]byte, key ed25519.PrivateKey) Manifest {
	b := Body{Generation: generation, Parent: parent}
	for k, v := range values {
		b.Entries = append(b.Entries, Entry{Key: k, Hash: HashOf(v)})
	}
	sort.Slice(b.Entries, func(i, j int) bool { return b.Entries[i].Key < b.Entries[j].Key })
	return Manifest{Body: b, Signature: ed25519.Sign(key, b.signedBytes())}
}

// Verify checks the signature of m and that its keys are in order.
func (m Manifest) Verify(pub ed25519.PublicKey) (err error) {
	if len(pub) != ed25519.PublicKeySize || !ed25519.Verify(pub, m.Body.signedBytes(), m.Signature) {
		return errors.Newf("manifest of generation %d: signature does not match", m.Body.Generation)
	}
	last := ""
	for _, e := range m.Body.Entries {
		if e.Key <= last {
			return errors.Newf("manifest of generation %d: keys out of order at %q", m.Body.Generation, e.Key)
		}
		last = e.Key
	}
	return nil
}

// ParseManifest decodes a published manifest.
func ParseManifest(raw []byte) (m Manifest, err error) {
	if len(raw) > MaxValueBytes {
		return m, errors.Newf("manifest of %d bytes is larger than %d", len(raw), MaxValueBytes)
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, errors.Wrap(err, "manifest")
	}
	return m, nil
}

// Encode returns m in the encoding in which it is published.
func (m Manifest) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // A Manifest holds only strings, numbers and bytes.
	}
	return raw
}
