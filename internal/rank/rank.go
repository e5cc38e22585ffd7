// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package rank defines what an engine that is one rank of a group reports and receives: reports,
// counts, expert maps and orders. It does no I/O; an adapter reads and writes them.
package rank

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Report is an engine's report of its own state.
type Report struct {
	Group       string  `json:"group" cbor:"1,keyasint,omitempty"` // "" if it is in none.
	Epoch       uint64  `json:"epoch" cbor:"2,keyasint,omitempty"` // Of the group; increases each time the group opens again.
	Rank        int     `json:"rank" cbor:"3,keyasint,omitempty"`
	Size        int     `json:"size" cbor:"4,keyasint,omitempty"` // Number of ranks in the group.
	Open        bool    `json:"open" cbor:"5,keyasint,omitempty"`
	Step        uint64  `json:"step" cbor:"6,keyasint,omitempty"`     // Newest pass that has begun.
	Map         uint64  `json:"map" cbor:"7,keyasint,omitempty"`      // Version of the map in force.
	Prepared    uint64  `json:"prepared" cbor:"8,keyasint,omitempty"` // Version of the map whose experts have been copied; 0 for none.
	Armed       Arming  `json:"armed" cbor:"9,keyasint,omitempty"`
	HeldPass    uint64  `json:"held" cbor:"10,keyasint,omitempty"` // Pass that the engine does not begin, because of a hold; 0 for none.
	Copying     bool    `json:"copying" cbor:"11,keyasint,omitempty"`
	Running     int     `json:"running" cbor:"12,keyasint,omitempty"`
	Waiting     int     `json:"waiting" cbor:"13,keyasint,omitempty"`
	UsedTokens  int     `json:"used" cbor:"14,keyasint,omitempty"` // Tokens of memory that cannot be evicted.
	TotalTokens int     `json:"total" cbor:"15,keyasint,omitempty"`
	Slowdown    float64 `json:"pace" cbor:"16,keyasint,omitempty"` // Above 1 if the rank is slow.
	StartedAt   int64   `json:"born" cbor:"17,keyasint,omitempty"` // Start time of the engine process, Unix milliseconds; 0 if not reported.
}

// Arming is a map version that comes into force at the start of a pass.
type Arming struct {
	Version uint64 `json:"version" cbor:"1,keyasint,omitempty"` // 0 for none.
	Step    uint64 `json:"step" cbor:"2,keyasint,omitempty"`    // The pass.
}

// Counts is how often the requests of a rank have chosen each expert since the engine started.
type Counts struct {
	StartedAt int64 // As in Report.
	Epoch     uint64
	Step      uint64
	Flat      []uint64 // Counts of all sets, one set after the other.
}

// HeldExperts is the experts that one rank holds under a map.
type HeldExperts struct {
	StartedAt    int64 // As in Report.
	Epoch        uint64
	Version      uint64
	ExpertsBySet [][]int // The experts of each set.
}

// Op is the operation of an order.
type Op string

// The operations.
const (
	Prepare Op = "prepare" // Copy the experts of a map that the rank does not hold yet.
	Arm     Op = "arm"     // Switch to the prepared map at the start of a pass.
	Disarm  Op = "disarm"  // Revoke an arming.
	Hold    Op = "hold"    // Do not begin pass Step until released; this holds all ranks.
	Release Op = "go"      // Release a hold.
)

// Order is one order to a rank.
type Order struct {
	Op      Op        `json:"op" cbor:"1,keyasint,omitempty"`
	Fence   uint64    `json:"fence" cbor:"2,keyasint,omitempty"`
	Epoch   uint64    `json:"epoch" cbor:"3,keyasint,omitempty"`
	Version uint64    `json:"version,omitempty" cbor:"4,keyasint,omitempty"`
	Step    uint64    `json:"step,omitempty" cbor:"5,keyasint,omitempty"`
	Map     [][][]int `json:"map,omitempty" cbor:"6,keyasint,omitempty"` // Only for Prepare: the experts by set and rank.
}

// Result is the outcome of an order.
type Result string

// The results.
const (
	Begun    Result = "begun"    // This very order was accepted and has begun something.
	Done     Result = "done"     // The order was executed, or its effect was in place already.
	Conflict Result = "conflict" // The order does not fit the rank's state.
	Fenced   Result = "fenced"   // The rank has seen a higher fence.
	Lost     Result = "lost"     // No answer: the order may have been executed or may be executed later.
)

// Outcome returns r without the distinction between Begun and Done, as it is exchanged between sidecars.
func (r Result) Outcome() Result {
	if r == Begun {
		return Done
	}
	return r
}

// ErrMalformed means that an engine's answer could not be parsed.
var ErrMalformed = errors.New("an engine's answer that cannot be read")

// Engine is a client of one engine.
type Engine struct {
	Report      func(ctx context.Context) (Report, error)
	Counts      func(ctx context.Context) (Counts, error)
	HeldExperts func(ctx context.Context) (HeldExperts, error)
	Order       func(ctx context.Context, o Order) (Result, error)
}
