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
	Group       string  `json:"group" cbor:"1,keyasint,omitempty"` // "" when it is in none.
	Epoch       uint64  `json:"epoch" cbor:"2,keyasint,omitempty"` // Of the group; rises each time it opens anew.
	Rank        int     `json:"rank" cbor:"3,keyasint,omitempty"`
	Size        int     `json:"size" cbor:"4,keyasint,omitempty"` // Ranks of the group.
	Open        bool    `json:"open" cbor:"5,keyasint,omitempty"`
	Step        uint64  `json:"step" cbor:"6,keyasint,omitempty"`     // Newest pass that began.
	Map         uint64  `json:"map" cbor:"7,keyasint,omitempty"`      // Version in force.
	Prepared    uint64  `json:"prepared" cbor:"8,keyasint,omitempty"` // Version whose experts have been copied; 0 for none.
	Armed       Arming  `json:"armed" cbor:"9,keyasint,omitempty"`
	HeldPass    uint64  `json:"held" cbor:"10,keyasint,omitempty"` // Pass that it will not begin; 0 for none.
	Copying     bool    `json:"copying" cbor:"11,keyasint,omitempty"`
	Running     int     `json:"running" cbor:"12,keyasint,omitempty"`
	Waiting     int     `json:"waiting" cbor:"13,keyasint,omitempty"`
	UsedTokens  int     `json:"used" cbor:"14,keyasint,omitempty"` // Tokens of memory that cannot give way.
	TotalTokens int     `json:"total" cbor:"15,keyasint,omitempty"`
	Slowdown    float64 `json:"pace" cbor:"16,keyasint,omitempty"` // Above 1 when it is slow.
	StartedAt   int64   `json:"born" cbor:"17,keyasint,omitempty"` // When its life began, Unix milliseconds; 0 when not told.
}

// Arming is a version that comes into force as a pass begins.
type Arming struct {
	Version uint64 `json:"version" cbor:"1,keyasint,omitempty"` // 0 for none.
	Step    uint64 `json:"step" cbor:"2,keyasint,omitempty"`
}

// Counts is how often the requests of a rank chose each expert since its
// start.
type Counts struct {
	StartedAt int64 // As in Report.
	Epoch     uint64
	Step      uint64
	Flat      []uint64 // Set by set.
}

// HeldExperts is the experts of one rank under a map.
type HeldExperts struct {
	StartedAt    int64 // As in Report.
	Epoch        uint64
	Version      uint64
	ExpertsBySet [][]int // Experts by set.
}

// Op is the kind of an order.
type Op string

// The orders.
const (
	Prepare Op = "prepare" // Copy the experts of a map that are new to the rank.
	Arm     Op = "arm"     // Take the prepared map as a pass begins.
	Disarm  Op = "disarm"  // Take an arming back.
	Hold    Op = "hold"    // Do not begin a pass.
	Release Op = "go"      // Let go of a hold.
)

// Order is one order to a rank.
type Order struct {
	Op      Op        `json:"op" cbor:"1,keyasint,omitempty"`
	Fence   uint64    `json:"fence" cbor:"2,keyasint,omitempty"`
	Epoch   uint64    `json:"epoch" cbor:"3,keyasint,omitempty"`
	Version uint64    `json:"version,omitempty" cbor:"4,keyasint,omitempty"`
	Step    uint64    `json:"step,omitempty" cbor:"5,keyasint,omitempty"`
	Map     [][][]int `json:"map,omitempty" cbor:"6,keyasint,omitempty"` // By set and rank, the experts; of Prepare.
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

// ErrMalformed means that an engine's answer could not be read.
var ErrMalformed = errors.New("an engine's answer that cannot be read")

// Engine is the engine beside a process.
type Engine struct {
	Report      func(ctx context.Context) (Report, error)
	Counts      func(ctx context.Context) (Counts, error)
	HeldExperts func(ctx context.Context) (HeldExperts, error)
	Order       func(ctx context.Context, o Order) (Result, error)
}
