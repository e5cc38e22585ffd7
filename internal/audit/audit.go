// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package audit keeps the trail of changes that a process made or refused,
// each with its cause. The newest records are held in memory for operators to
// read; all go to the log, which outlives the process.
package audit

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/ring"
)

// kept is the number of records held in memory.
const kept = 1024

// Kind names what a record is about.
type Kind string

// The kinds of records.
const (
	ConfigAdopted  Kind = "config-adopted"
	ConfigRejected Kind = "config-refused"
	ConfigConflict Kind = "config-clash"
	MemberChanged  Kind = "member-changed"
	PolicyFailed   Kind = "policy-failed"
	StrayAnswer    Kind = "stray-answer"
	StreamMoved    Kind = "stream-moved"
	Drain          Kind = "drain"
	PauseDetected  Kind = "woke"
	Stalled        Kind = "stalled"
	ShareChanged   Kind = "share-changed"
	PeerRejected   Kind = "peer-refused"
	MapSwitch      Kind = "map-switch"
)

// Record is one line of the trail.
type Record struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"`
	Cause   string    `json:"cause"`
}

// Trail is the audit trail of one process.
type Trail struct {
	node string
	log  *zap.Logger
	reg  metrics.Registry
	ring *ring.Buffer[Record]
}

// New returns an empty trail that also writes to log and counts in reg.
func New(node string, log *zap.Logger, reg metrics.Registry) *Trail {
	return &Trail{node: node, log: log, reg: reg, ring: ring.NewBuffer[Record](kept)}
}

// Add puts a record on the trail.
func (t *Trail) Add(kind Kind, subject, cause string) {
	r := Record{At: time.Now(), Node: t.node, Kind: kind, Subject: subject, Cause: cause}
	t.ring.Add(r)
	metrics.GetOrRegisterCounter("audit."+string(kind), t.reg).Inc(1)
	t.log.Info("audit", zap.String("kind", string(kind)), zap.String("subject", subject), zap.String("cause", cause))
}

// Records returns the newest records, oldest first, and how many were dropped.
func (t *Trail) Records() (list []Record, dropped uint64) { return t.ring.All() }
