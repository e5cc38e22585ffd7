// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// pathPublished is the path at which a gateway serves the published state to other gateways.
const pathPublished = "/v1/published"

// published is a gateway's view as sent to another gateway.
type published struct {
	Life     int64         `json:"life"` // Of the sending process; its change numbers are valid within it only.
	Age      time.Duration `json:"age"`  // Since the state was last known to be complete, when the answer was made.
	Held     time.Duration `json:"held"` // How long the call was held to wait for a change.
	Version  uint64        `json:"version"`
	Revision uint64        `json:"revision"`         // Of the configuration.
	Config   []byte        `json:"config,omitempty"` // Text of the version, if newer than the requested one.
	follow.Update
}

// fetchIfStale fetches the published state from another gateway if the store has not confirmed it
// for a while.
func (n *PeerExchange) fetchIfStale(ctx context.Context) {
	age := n.g.view.ConfirmedAge(n.g.cfg.Now())
	if age < fetchAge {
		n.fetching = false
		return
	}
	from, ok := n.chooseFetchPeer()
	if !ok {
		return
	}
	requestedAt := n.g.cfg.Now()
	p, err := n.fetchAll(ctx, from)
	if err != nil {
		n.log.Debug("fetching published state from another gateway failed", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	if err := n.applyPublished(p, requestedAt); err != nil {
		n.log.Warn("fetching published state from another gateway failed", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	if !n.fetching {
		n.fetching = true
		n.log.Info("fetching published state from another gateway", zap.String("from", from), zap.Uint64("version", p.Version), zap.Duration("its-age", p.Age), zap.Duration("own-age", age), zap.Uint64("revision", p.UpTo), zap.Int("endpoints", len(p.Endpoints)))
	}
}

// chooseFetchPeer returns the gateway to fetch from. Every other call draws from the gateways of
// the own failure domain that can read the store, since traffic between domains is expensive. The
// remaining calls draw from all live gateways, since the state of all gateways of a domain may be
// equally old; so does a call that finds none in the domain. If no gateway is known to be alive, it
// draws from the seeds.
func (n *PeerExchange) chooseFetchPeer() (address string, ok bool) {
	n.fetchPeersChosen++
	list := n.neighboursWithStore()
	if len(list) == 0 || n.fetchPeersChosen%2 == 0 {
		list = n.liveGateways()
	}
	if len(list) == 0 {
		list = filter(n.seeds, func(a string) bool { return a != n.self })
	}
	if len(list) == 0 {
		return "", false
	}
	return list[random(len(list))], true
}

// fetchAll fetches all published state from another gateway.
func (n *PeerExchange) fetchAll(ctx context.Context, from string) (p published, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return n.fetch(ctx, from, "")
}

// fetch fetches published state from another gateway. Query holds further query parameters, each
// with a leading "&".
func (n *PeerExchange) fetch(ctx context.Context, from, query string) (p published, err error) {
	defer func() { err = errors.Wrapf(err, "gateway %s", from) }()
	version := uint64(0)
	if c := n.g.view.State().Config; c != nil {
		version = c.Version()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+pathPublished+"?version="+strconv.FormatUint(version, 10)+query, nil)
	if err != nil {
		return p, err
	}
	raw, err := httpjson.Do(n.client, r, maxPublishedBytes)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}

// applyPublished applies another gateway's state to the own view. Its age is taken to be as of
// requestedAt, before the call was sent, plus the time for which the call was held. The other
// gateway determined it no earlier, so the state never counts as newer than it is. What it has removed
// is removed here, too, unless this gateway knows something newer: otherwise the state would prove
// nothing about the endpoints that are left.
func (n *PeerExchange) applyPublished(p published, requestedAt time.Time) error {
	if err := n.offerConfig(p); err != nil {
		return err
	}
	n.g.view.ApplyUpdate(p.Update, n.g.cfg.Now())
	n.g.view.Confirm(p.Version, requestedAt.Add(p.Held-p.Age))
	return nil
}

// offerConfig offers the configuration of another gateway's answer to the view, if it has one.
func (n *PeerExchange) offerConfig(p published) error {
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
