// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Delta is a manifest told as the difference from an older one, so that a
// change of one value does not send the whole list to every process. The
// signature is that of the whole manifest and is checked after Apply.
type Delta struct {
	Base       string   `json:"base"` // Hash of the older manifest.
	Generation uint64   `json:"generation"`
	Parent     string   `json:"parent"`
	Set        []Entry  `json:"set"`  // New and changed entries, in order of key.
	Drop       []string `json:"drop"` // Keys that are gone.
	Signature  []byte   `json:"signature"`
}

// DeltaFrom returns m as the difference from old.
func (m Manifest) DeltaFrom(old Manifest) Delta {
	d := Delta{Base: old.Version().Hash, Generation: m.Body.Generation, Parent: m.Body.Parent, Signature: m.Signature}
	was, is := old.Body.Entries, m.Body.Entries
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(is) == 0 || len(was) > 0 && was[0].Key < is[0].Key:
			d.Drop = append(d.Drop, was[0].Key)
			was = was[1:]
		case len(was) == 0 || is[0].Key < was[0].Key:
			d.Set = append(d.Set, is[0])
			is = is[1:]
		default:
			if is[0] != was[0] {
				d.Set = append(d.Set, is[0])
			}
			was, is = was[1:], is[1:]
		}
	}
	return d
}

// Apply makes the whole manifest again. The caller verifies it.
func (d Delta) Apply(old Manifest) (m Manifest, err error) {
	if old.Version().Hash != d.Base {
		return m, errors.New("delta is from another manifest")
	}
	m.Signature = d.Signature
	m.Body = Body{Generation: d.Generation, Parent: d.Parent}
	drop := map[string]bool{}
	for _, k := range d.Drop {
		drop[k] = true
	}
	set := d.Set
	for _, e := range old.Body.Entries {
		for len(set) > 0 && set[0].Key < e.Key {
			m.Body.Entries = append(m.Body.Entries, set[0])
			set = set[1:]
		}
		switch {
		case len(set) > 0 && set[0].Key == e.Key:
			m.Body.Entries = append(m.Body.Entries, set[0])
			set = set[1:]
		case !drop[e.Key]:
			m.Body.Entries = append(m.Body.Entries, e)
		}
	}
	m.Body.Entries = append(m.Body.Entries, set...)
	return m, nil
}

// ManifestUpdate is how one process tells another its manifest: whole or as a delta.
type ManifestUpdate struct {
	Full  *Manifest `json:"whole,omitempty"`
	Delta *Delta    `json:"delta,omitempty"`
}

// ParseUpdate decodes what a peer told and makes the whole manifest of it.
func ParseUpdate(raw []byte, own Manifest) (m Manifest, err error) {
	defer func() { err = errors.Wrap(err, "manifest of a peer") }()
	var t ManifestUpdate
	if len(raw) > MaxValueBytes {
		return m, errors.Newf("%d bytes is larger than %d", len(raw), MaxValueBytes)
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return m, err
	}
	switch {
	case t.Full != nil:
		return *t.Full, nil
	case t.Delta != nil:
		return t.Delta.Apply(own)
	}
	return m, errors.New("neither whole nor delta")
}
