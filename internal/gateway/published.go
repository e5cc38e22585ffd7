// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// publishedQuery is what a gateway asks of another one.
type publishedQuery struct {
	version     uint64 // Of the asking gateway's configuration.
	incarnation int64  // Of the process that numbered the changes; 0 for none.
	after       uint64 // Number of the newest change that the asking gateway knows.
	hold        bool   // Wait for a change.
}

// parsePublishedQuery parses the query of a call. Only a call that is to be held names an
// incarnation and a change.
func parsePublishedQuery(r *http.Request) (q publishedQuery, err error) {
	values := r.URL.Query()
	if q.version, err = strconv.ParseUint(values.Get("version"), 10, 64); err != nil {
		return q, errors.Wrap(err, "version")
	}
	q.hold = values.Get("hold") == "1"
	if !q.hold {
		return q, nil
	}
	if q.incarnation, err = strconv.ParseInt(values.Get("life"), 10, 64); err != nil {
		return q, errors.Wrap(err, "life")
	}
	q.after, err = strconv.ParseUint(values.Get("after"), 10, 64)
	return q, errors.Wrap(err, "after")
}

// servePublished serves the view of this gateway to another one: all changes after the one that the
// other gateway names, or everything if it names none of this process. The configuration is
// included only if it is newer than that of the other gateway.
func (n *PeerExchange) servePublished(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	q, err := parsePublishedQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.incarnation != n.incarnation {
		q.after = 0
	}
	if q.hold {
		n.awaitChange(r.Context(), q)
	}
	u, s, completeAt := n.g.view.UpdateSince(q.after)
	if s.Config == nil && !q.hold {
		http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
		return
	}
	p := published{Life: n.incarnation, Revision: s.ConfigRevision, Update: u}
	if s.Config != nil {
		p.Version = s.Config.Version()
	}
	if p.Version > q.version {
		p.Config = s.Config.Raw()
	}
	// The held time is taken before the age: the state may only be newer than stated.
	p.Held = time.Since(began)
	p.Age = follow.AgeOf(completeAt, n.g.cfg.Now())
	httpjson.ReplyCompressed(w, r, p)
}

// awaitChange waits until the view changes or is confirmed, but no longer than longPollTime. It
// returns at once if the view holds anything that is new to the other gateway.
func (n *PeerExchange) awaitChange(ctx context.Context, q publishedQuery) {
	updated := n.g.view.Updated()
	s := n.g.view.State()
	if s.Config != nil && s.Config.Version() > q.version || n.g.view.ChangedSince(q.after) {
		return
	}
	timer := time.NewTimer(longPollTime)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}
