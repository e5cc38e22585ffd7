// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"bytes"
	"net/http"
	"net/http/pprof"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/build"
	"github.com/canvaspulley/canvaspulley/internal/chart"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// Paths of the operators' listener.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathAudit   = "/audit"
	PathStatus  = "/status"
)

// Status is the view that a process has of itself and its peers.
type Status struct {
	Name     string             `json:"name"`
	Role     string             `json:"role"`
	Domain   string             `json:"domain"`
	Endpoint string             `json:"endpoint,omitempty"`
	State    chart.State        `json:"state"`
	Version  published.Version  `json:"version"`
	Conflict *published.Version `json:"clash,omitempty"`
	UptimeS  float64            `json:"uptime_s"`
	Pid      int                `json:"pid"`
	Build    build.Info         `json:"build"`
	Members  []member.Member    `json:"members"`
	Held     []suspects.Suspect `json:"held"` // Requests and parts of prompts that are held or on trial.
	// RetryBudgets is the state of a gateway's retry budgets; empty for other roles.
	RetryBudgets []retry.Report `json:"retry_budgets,omitempty"`
}

// AuditReport holds the newest records of an audit trail.
type AuditReport struct {
	Dropped uint64         `json:"dropped"` // Number of older records, which are in the log only.
	Records []audit.Record `json:"records"`
}

// Status returns the node's current view of itself and its peers.
func (n *Node) Status() Status {
	members := n.Members(func(member.Member) bool { return true })
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Name: n.cfg.Name, Role: string(n.cfg.Role), Domain: n.cfg.Domain, Endpoint: n.cfg.Endpoint,
		State: n.machine.State(), Version: n.spread.Current(),
		UptimeS: time.Since(n.startedAt).Seconds(), Members: members,
		Pid: os.Getpid(), Build: build.Read(), Held: n.suspects.ListHeld(clock.Now()),
	}
	if v, ok := n.spread.Conflict(); ok {
		s.Conflict = &v
	}
	return s
}

// OperatorsMux returns the handlers of the operators' listener.
func (n *Node) OperatorsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n")) // The client may have disconnected.
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if refusal := n.Refusal(); refusal != nil {
			http.Error(w, refusal.Reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // The client may have disconnected.
	})
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		var text bytes.Buffer
		metrics.WriteJSONOnce(n.reg, &text)
		httpjson.ReplyBytes(w, "application/json", text.Bytes())
	})
	mux.HandleFunc("GET "+PathAudit, func(w http.ResponseWriter, _ *http.Request) {
		records, dropped := n.trail.Records()
		httpjson.Reply(w, AuditReport{Dropped: dropped, Records: records})
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { httpjson.Reply(w, n.Status()) })
	n.suspects.AddHandlers(mux, clock.Now)
	if n.cfg.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return mux
}
