// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package audit records the changes that a process made or refused, each with
// its cause. The newest records are kept in memory for operators to read; all
// records are written to the log, which outlives the process.
package audit

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/ring"
)

// maxRecords is the maximum number of records kept in memory.
const maxRecords = 1024

// Kind is the kind of event that a record describes.
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

// Record is one entry of the trail.
type Record struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"`
	Cause   string    `json:"cause"`
}

// Trail is the audit trail of one process.
type Trail struct {
	node     string
	log      *zap.Logger
	registry metrics.Registry
	ring     *ring.Buffer[Record]
}

// New returns an empty trail of the process node. It also writes its records to log and counts
// them by kind in registry.
func New(node string, log *zap.Logger, registry metrics.Registry) *Trail {
	return &Trail{node: node, log: log, registry: registry, ring: ring.NewBuffer[Record](maxRecords)}
}

// Add adds a record to the trail, logs it and counts it.
func (t *Trail) Add(kind Kind, subject, cause string) {
	r := Record{At: time.Now(), Node: t.node, Kind: kind, Subject: subject, Cause: cause}
	t.ring.Add(r)
	metrics.GetOrRegisterCounter("audit."+string(kind), t.registry).Inc(1)
	t.log.Info("audit", zap.String("kind", string(kind)), zap.String("subject", subject), zap.String("cause", cause))
}

// Records returns the newest records, oldest first, and the number of older ones that were dropped.
func (t *Trail) Records() (list []Record, dropped uint64) { return t.ring.All() }
