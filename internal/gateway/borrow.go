// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// pathPublished is the call between gateways for what is published.
const pathPublished = "/v1/published"

// published is a gateway's view as it tells it to another one.
type published struct {
	Life     int64         `json:"life"` // Of the process: its numbers of changes hold for it only.
	Age      time.Duration `json:"age"`
	Held     time.Duration `json:"held"` // How long the call was held until there was news.
	Version  uint64        `json:"version"`
	Revision uint64        `json:"revision"`         // Of the configuration.
	Config   []byte        `json:"config,omitempty"` // Text of the version, when it is newer than the one asked for.
	follow.Update
}

// borrow asks a neighbour for what is published, if the store has not told for
// a while.
func (n *PeerExchange) borrow(ctx context.Context) {
	age := n.g.view.ConfirmedAge(n.g.cfg.Now())
	if age < borrowAge {
		n.borrows = false
		return
	}
	from, ok := n.lender()
	if !ok {
		return
	}
	asked := n.g.cfg.Now()
	p, err := n.ask(ctx, from)
	if err != nil {
		n.log.Debug("nothing borrowed", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	if err := n.take(p, asked); err != nil {
		n.log.Warn("nothing borrowed", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	if !n.borrows {
		n.borrows = true
		n.log.Info("borrows what is published", zap.String("from", from), zap.Uint64("version", p.Version), zap.Duration("its-age", p.Age), zap.Duration("own-age", age))
	}
}

// lender returns whom to ask: by turns one of the own failure domain and any, drawn anew each
// time. Bytes between domains are dear, but all of a domain may be as old.
func (n *PeerExchange) lender() (address string, ok bool) {
	n.lenders++
	list := n.readers()
	if len(list) == 0 || n.lenders%2 == 0 {
		list = n.others()
	}
	if len(list) == 0 {
		list = keep(n.seeds, func(a string) bool { return a != n.self })
	}
	if len(list) == 0 {
		return "", false
	}
	return list[random(len(list))], true
}

// ask asks a neighbour for all that it knows.
func (n *PeerExchange) ask(ctx context.Context, from string) (p published, err error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return n.call(ctx, from, "")
}

// call asks a neighbour for what it knows.
func (n *PeerExchange) call(ctx context.Context, from, query string) (p published, err error) {
	defer func() { err = errors.Wrapf(err, "gateway %s", from) }()
	version := uint64(0)
	if c := n.g.view.State().Config; c != nil {
		version = c.Version()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+pathPublished+"?version="+strconv.FormatUint(version, 10)+query, nil)
	if err != nil {
		return p, err
	}
	raw, err := httpjson.Do(n.client, r, maxPublished)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}

// take puts a neighbour's view into the own one, with its age as seen from the
// moment before it was asked. Nothing is removed by it, since the neighbour may
// be further behind than the own view, and nothing that may have lapsed is taken.
func (n *PeerExchange) take(p published, asked time.Time) error {
	if err := n.takeConfig(p); err != nil {
		return err
	}
	there := slices.DeleteFunc(p.Endpoints, func(e fleet.Endpoint) bool { return slices.Contains(p.Missing, e.ID) })
	n.g.view.Merge(follow.Changes{Endpoints: there, Evacuations: p.Evacuations})
	n.g.view.Confirm(p.Version, asked.Add(p.Held-p.Age))
	return nil
}

func (n *PeerExchange) takeConfig(p published) error {
	if len(p.Config) == 0 {
		return nil
	}
	c, err := n.decode(p.Config)
	if err != nil {
		return err
	}
	n.g.view.Offer(c, p.Revision)
	return nil
}
