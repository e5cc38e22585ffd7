// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
)

// BenchmarkParts measures what the parts of prompts cost a request that completes: its keys, the verdict,
// what is known as it is sent, and the record of its completion.
func BenchmarkParts(b *testing.B) {
	for _, perPrompt := range []int{0, 10, 100} {
		for _, distinct := range []int{10_000, 1_000_000} {
			for _, ends := range []int{0, 4} {
				b.Run(fmt.Sprintf("%d parts of %d, %d ends known", perPrompt, distinct, ends), func(b *testing.B) {
					benchmarkParts(b, perPrompt, distinct, ends)
				})
			}
		}
	}
}

func benchmarkParts(b *testing.B, perPrompt, distinct, ends int) {
	s := newSet()
	for i := range ends {
		s.RecordEnds(fmt.Sprint("e", i), []Attempt{{Whole: key, Parts: []quarantine.Key{quarantine.PartKeyOf("m", "bad")}}}, now.Add(time.Duration(i)*5*time.Second))
	}
	ids := make([]string, distinct)
	for i := range ids {
		ids[i] = fmt.Sprintf("%08x", i)
	}
	next := 0
	b.ReportAllocs()
	for b.Loop() {
		c := Subjects{Whole: keyFunc, Parts: make([]quarantine.Key, 0, perPrompt)}
		for range perPrompt {
			next = (next + 7919) % distinct // A prime, so that all are used.
			c.Parts = append(c.Parts, quarantine.PartKeyOf("m", ids[next]))
		}
		s.Judge(c, now)
		s.KnownAtSend(c, nil, now)
		s.RecordSuccess(c, now)
	}
}
