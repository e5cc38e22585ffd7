// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Delta is a manifest encoded as the difference from an older one, so that after a change of one value
// the full list need not be sent to every process. The signature is that of the full manifest and is
// verified after Apply.
type Delta struct {
	Base       string   `json:"base"` // Hash of the older manifest.
	Generation uint64   `json:"generation"`
	Parent     string   `json:"parent"`
	Set        []Entry  `json:"set"`  // New and changed entries, in order of key.
	Drop       []string `json:"drop"` // Keys that were removed.
	Signature  []byte   `json:"signature"`
}

// DeltaFrom returns the difference from old to m.
func (m Manifest) DeltaFrom(old Manifest) Delta {
	d := Delta{Base: old.Version().Hash, Generation: m.Body.Generation, Parent: m.Body.Parent, Signature: m.Signature}
	oldEntries, newEntries := old.Body.Entries, m.Body.Entries
	for len(oldEntries) > 0 || len(newEntries) > 0 {
		switch {
		case len(newEntries) == 0 || len(oldEntries) > 0 && oldEntries[0].Key < newEntries[0].Key:
			d.Drop = append(d.Drop, oldEntries[0].Key)
			oldEntries = oldEntries[1:]
		case len(oldEntries) == 0 || newEntries[0].Key < oldEntries[0].Key:
			d.Set = append(d.Set, newEntries[0])
			newEntries = newEntries[1:]
		default:
			if newEntries[0] != oldEntries[0] {
				d.Set = append(d.Set, newEntries[0])
			}
			oldEntries, newEntries = oldEntries[1:], newEntries[1:]
		}
	}
	return d
}

// Apply returns the full manifest, restored from d and old. The caller verifies its signature.
func (d Delta) Apply(old Manifest) (m Manifest, err error) {
	if old.Version().Hash != d.Base {
		return m, errors.New("delta applies to another manifest")
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

// ManifestUpdate is the message in which a process sends its manifest to another one: in full or as a delta.
type ManifestUpdate struct {
	Full  *Manifest `json:"whole,omitempty"`
	Delta *Delta    `json:"delta,omitempty"`
}

// ParseUpdate decodes a ManifestUpdate of a peer and returns the full manifest. A delta is applied to own.
func ParseUpdate(raw []byte, own Manifest) (m Manifest, err error) {
	defer func() { err = errors.Wrap(err, "manifest of a peer") }()
	var u ManifestUpdate
	if len(raw) > MaxValueBytes {
		return m, errors.Newf("%d bytes is larger than %d", len(raw), MaxValueBytes)
	}
	if err := json.Unmarshal(raw, &u); err != nil {
		return m, err
	}
	switch {
	case u.Full != nil:
		return *u.Full, nil
	case u.Delta != nil:
		return u.Delta.Apply(own)
	}
	return m, errors.New("neither a full manifest nor a delta")
}
