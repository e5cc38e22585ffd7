// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"

	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
)

// Ownership compares rendezvous hashing with modulo when one owner is added: the share
// of keys whose owner changes, and how evenly the keys are distributed.
func Ownership(owners, keys int) Table {
	before, after := make([]string, owners), make([]string, owners+1)
	for i := range after {
		after[i] = fmt.Sprintf("endpoint-%03d", i)
	}
	copy(before, after)
	t := Table{Title: fmt.Sprintf("Ownership: %d keys, %d owners, one added (ideal share moved %.4f)", keys, owners, 1/float64(owners+1))}
	for _, m := range []struct {
		name  string
		owner func(string, []string) string
	}{{"modulo", rendezvous.Modulo}, {"rendezvous", rendezvous.Owner}} {
		moved := 0
		load := map[string]int{}
		for k := range keys {
			key := fmt.Sprintf("prefix-%d", k)
			oldOwner := m.owner(key, before)
			load[oldOwner]++
			if m.owner(key, after) != oldOwner {
				moved++
			}
		}
		maxKeys := 0
		for _, n := range load {
			maxKeys = max(maxKeys, n)
		}
		t.Rows = append(t.Rows, Row{m.name, []Cell{
			{"share moved", "", float64(moved) / float64(keys)},
			{"fullest owner to mean", "", float64(maxKeys) * float64(owners) / float64(keys)},
		}})
	}
	return t
}
