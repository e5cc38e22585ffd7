// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// question is what a gateway wants to know of another one.
type question struct {
	version uint64 // Of its configuration.
	life    int64  // Of the process that gave after.
	after   uint64 // Number of the newest change that it knows.
	hold    bool   // Wait for news.
}

func readQuestion(r *http.Request) (q question, err error) {
	values := r.URL.Query()
	if q.version, err = strconv.ParseUint(values.Get("version"), 10, 64); err != nil {
		return q, errors.Wrap(err, "version")
	}
	q.hold = values.Get("hold") == "1"
	if !q.hold {
		return q, nil
	}
	if q.life, err = strconv.ParseInt(values.Get("life"), 10, 64); err != nil {
		return q, errors.Wrap(err, "life")
	}
	q.after, err = strconv.ParseUint(values.Get("after"), 10, 64)
	return q, errors.Wrap(err, "after")
}

// servePublished tells another gateway what this one knows.
func (n *PeerExchange) servePublished(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	q, err := readQuestion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.life != n.life {
		q.after = 0
	}
	if q.hold {
		n.awaitNews(r.Context(), q)
	}
	s := n.g.view.State()
	if s.Config == nil && !q.hold {
		http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
		return
	}
	p := published{Life: n.life, Revision: s.ConfigRevision, Update: n.g.view.UpdateSince(q.after)}
	if s.Config != nil {
		p.Version = s.Config.Version()
	}
	if p.Version > q.version {
		p.Config = s.Config.Raw()
	}
	// The age is taken after the state, and the time of holding before it: what is
	// told may only be newer than it says.
	p.Held = time.Since(began)
	p.Age = n.g.view.ConfirmedAge(n.g.cfg.Now())
	httpjson.ReplyPacked(w, r, p)
}

// awaitNews waits until the view changes or is confirmed, at most holdTime, if
// it holds nothing that is new to the other gateway.
func (n *PeerExchange) awaitNews(ctx context.Context, q question) {
	moved := n.g.view.Updated()
	s := n.g.view.State()
	if s.Config != nil && s.Config.Version() > q.version || n.g.view.ChangedSince(q.after) {
		return
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-moved:
	case <-timer.C:
	case <-ctx.Done():
	}
}
