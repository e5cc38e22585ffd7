// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package rank holds what an engine that is one rank of a group tells and is
// told: reports, counts, expert maps and orders. It does no I/O; an adapter
// reads and writes them.
package rank

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Report is what an engine says about itself.
type Report struct {
	Group    string  `json:"group"` // "" when it is in none.
	Epoch    uint64  `json:"epoch"` // Of the group; rises each time it opens anew.
	Rank     int     `json:"rank"`
	Size     int     `json:"size"` // Ranks of the group.
	Open     bool    `json:"open"`
	Step     uint64  `json:"step"`     // Newest pass that began.
	Map      uint64  `json:"map"`      // Version in force.
	Prepared uint64  `json:"prepared"` // Version whose experts have been copied; 0 for none.
	Armed    Arming  `json:"armed"`
	Held     uint64  `json:"held"` // Pass that it will not begin; 0 for none.
	Copying  bool    `json:"copying"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Used     int     `json:"used"` // Tokens of memory that cannot give way.
	Total    int     `json:"total"`
	Pace     float64 `json:"pace"` // Above 1 when it is slow.
}

// Arming is a version that comes into force as a pass begins.
type Arming struct {
	Version uint64 `json:"version"` // 0 for none.
	Step    uint64 `json:"step"`
}

// Counts is how often the requests of a rank chose each expert since its
// start.
type Counts struct {
	Epoch uint64
	Step  uint64
	Flat  []uint64 // Set by set.
}

// Held is the experts of one rank under a map.
type Held struct {
	Epoch   uint64
	Version uint64
	Sets    [][]int // Experts by set.
}

// Op is the kind of an order.
type Op string

// The orders.
const (
	Prepare Op = "prepare" // Copy the experts of a map that are new to the rank.
	Arm     Op = "arm"     // Take the prepared map as a pass begins.
	Disarm  Op = "disarm"  // Take an arming back.
	Hold    Op = "hold"    // Do not begin a pass.
	Go      Op = "go"      // Let go of a hold.
)

// Order is one order to a rank.
type Order struct {
	Op      Op        `json:"op"`
	Fence   uint64    `json:"fence"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version,omitempty"`
	Step    uint64    `json:"step,omitempty"`
	Map     [][][]int `json:"map,omitempty"` // By set and rank, the experts; of Prepare.
}

// Result is what became of an order.
type Result string

// The results.
const (
	Done     Result = "done"     // It was carried out, or holds already.
	Conflict Result = "conflict" // It does not fit the rank's state.
	Fenced   Result = "fenced"   // The rank has seen a higher fence.
	Lost     Result = "lost"     // No answer: it may have been taken, or may be carried out later.
)

// ErrBroken means that an engine's answer could not be read.
var ErrBroken = errors.New("an engine's answer that cannot be read")

// Engine is the engine beside a process.
type Engine struct {
	Report func(ctx context.Context) (Report, error)
	Counts func(ctx context.Context) (Counts, error)
	Held   func(ctx context.Context) (Held, error)
	Order  func(ctx context.Context, o Order) (Result, error)
}
