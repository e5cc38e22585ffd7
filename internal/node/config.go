// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/decide/spread"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// fetch takes in newer generations, one after another.
func (n *Node) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-n.hints.Out():
			var wanted bool
			duty.Locked(&n.mu, func() { wanted = n.spread.Decide(h.version) == spread.Fetch })
			if !wanted {
				continue
			}
			if err := n.take(ctx, h.from); err != nil {
				n.log.Sugar().Warnw("generation not fetched", "from", h.from, "error", err)
			}
		}
	}
}

// source reads the manifest and the values of one place.
type source struct {
	name     string
	manifest func(ctx context.Context) (m published.Manifest, err error)
	// values reads some of the missing values, at least one.
	values func(ctx context.Context, missing []published.Entry) (values [][]byte, err error)
}

// source returns a peer as a source, or the configuration service for "".
func (n *Node) source(address string) source {
	if address == "" {
		return source{
			name:     "configuration service",
			manifest: n.manifestOfService,
			values: func(ctx context.Context, missing []published.Entry) ([][]byte, error) {
				v, err := n.conf.Get(ctx, missing[0].Key)
				return [][]byte{v}, err
			},
		}
	}
	return source{
		name:     address,
		manifest: func(ctx context.Context) (published.Manifest, error) { return n.manifestOfPeer(ctx, address) },
		values: func(ctx context.Context, missing []published.Entry) ([][]byte, error) {
			return n.valuesOfPeer(ctx, address, missing)
		},
	}
}

func (n *Node) manifestOfService(ctx context.Context) (m published.Manifest, err error) {
	raw, err := n.conf.Get(ctx, published.ManifestKey)
	if err != nil {
		return m, err
	}
	return published.ParseManifest(raw)
}

// manifestOfPeer asks for the difference from what the node has.
func (n *Node) manifestOfPeer(ctx context.Context, address string) (m published.Manifest, err error) {
	var own published.Manifest
	var version published.Version
	duty.Locked(&n.mu, func() { own, version = n.manifest, n.spread.Current() })
	raw, err := n.PeerGet(ctx, address, wire.PathManifest+"?have="+version.Hash)
	if err != nil {
		return m, err
	}
	return published.ParseUpdate(raw, own)
}

// PeerGet reads a path of a peer's listener, for at most a second.
func (n *Node) PeerGet(ctx context.Context, address, path string) (raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.PeerURL(address, path), nil)
	if err != nil {
		return nil, err
	}
	resp, err := n.peers.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: %s", path, resp.Status)
	}
	raw, err = adapter.ReadWhole(resp, published.MaxValueBytes)
	n.count("peer.bytes-in", int64(len(raw)))
	return raw, err
}

// take fetches, judges and adopts what a place has.
func (n *Node) take(ctx context.Context, from string) (err error) {
	src := n.source(from)
	m, err := src.manifest(ctx)
	if err != nil {
		return err
	}
	return n.takeManifest(ctx, src, m)
}

// takeManifest judges a manifest and adopts its generation if that is newer.
func (n *Node) takeManifest(ctx context.Context, src source, m published.Manifest) (err error) {
	v := m.Version()
	if err := m.Verify(n.set.OperatorKey); err != nil {
		n.trail.Add(audit.ConfigRejected, generationName(v), err.Error()+", from "+src.name)
		return err
	}
	var decision spread.Decision
	var clash bool
	duty.Locked(&n.mu, func() {
		decision = n.spread.Decide(v)
		n.spread.RecordValid(v)
		_, clash = n.spread.Conflict()
	})
	if decision == spread.Ignore {
		if clash {
			n.noteClash(v)
		}
		return nil
	}
	byHash, err := n.fetchValues(ctx, src, m)
	if err != nil {
		return err // Not whole; a later hint tries again.
	}
	return n.judge(v, m, byHash, src.name)
}

func generationName(v published.Version) string {
	return fmt.Sprintf("generation %d (%.8s)", v.Generation, v.Hash)
}

func (n *Node) noteClash(v published.Version) {
	var again bool
	duty.Locked(&n.mu, func() {
		again = n.clash == v
		n.clash = v
	})
	if again {
		return
	}
	n.trail.Add(audit.ConfigConflict, generationName(v), "another manifest has the same generation; publish a higher one")
}

// maxAsked and maxToldBytes bound one exchange of values, so that question and
// answer fit into a message.
const (
	maxAsked     = 2000
	maxToldBytes = published.MaxValueBytes / 2
)

func (n *Node) valuesOfPeer(ctx context.Context, address string, missing []published.Entry) (values [][]byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*callTimeout)
	defer cancel()
	var q wire.ValuesRequest
	for _, e := range missing[:min(len(missing), maxAsked)] {
		q.Hashes = append(q.Hashes, e.Hash)
	}
	var reply wire.ValuesReply
	err = n.Call(ctx, address, wire.PathValues, q, &reply)
	return reply.Values, err
}

// serveValues tells a peer as many of the values it asks for as fit. A single
// one is told whatever its size.
func (n *Node) serveValues(w http.ResponseWriter, r *http.Request) {
	var q wire.ValuesRequest
	if !ReadJSON(w, r, &q) {
		return
	}
	var held map[string][]byte
	duty.Locked(&n.mu, func() { held = n.values })
	reply := wire.ValuesReply{}
	size := 0
	for _, h := range q.Hashes {
		v, ok := held[h]
		if !ok || size > 0 && size+len(v) > maxToldBytes {
			continue
		}
		size += len(v)
		reply.Values = append(reply.Values, v)
	}
	httpjson.Reply(w, reply)
}

// fetchValues gets the values that are not held already. Each is known by its
// hash, wherever it comes from.
func (n *Node) fetchValues(ctx context.Context, src source, m published.Manifest) (byHash map[string][]byte, err error) {
	byHash = map[string][]byte{}
	duty.Locked(&n.mu, func() {
		for _, e := range m.Body.Entries {
			if v, ok := n.values[e.Hash]; ok {
				byHash[e.Hash] = v
			}
		}
	})
	for {
		missing := lacking(m, byHash)
		if len(missing) == 0 {
			return byHash, nil
		}
		values, err := src.values(ctx, missing)
		if err != nil {
			return nil, err
		}
		for _, v := range values {
			byHash[published.HashOf(v)] = v
		}
		if len(lacking(m, byHash)) == len(missing) {
			return nil, errors.Newf("%s does not have the manifest's value of %s", src.name, missing[0].Key)
		}
	}
}

// lacking lists the entries of m whose values are not in byHash.
func lacking(m published.Manifest, byHash map[string][]byte) (missing []published.Entry) {
	for _, e := range m.Body.Entries {
		if _, ok := byHash[e.Hash]; !ok {
			missing = append(missing, e)
		}
	}
	return missing
}

// judge parses a whole generation and adopts or refuses it.
func (n *Node) judge(v published.Version, m published.Manifest, byHash map[string][]byte, from string) (err error) {
	byKey := make(map[string][]byte, len(byHash))
	for _, e := range m.Body.Entries {
		byKey[e.Key] = byHash[e.Hash]
	}
	c, err := published.Next(n.config.Load(), v, byKey)
	if err != nil {
		duty.Locked(&n.mu, func() { n.spread.Refuse(v) })
		n.trail.Add(audit.ConfigRejected, generationName(v), err.Error())
		return err
	}
	var old published.Version
	var adopted, clash bool
	duty.Locked(&n.mu, func() {
		old = n.spread.Current()
		adopted = n.spread.Adopt(v)
		_, clash = n.spread.Conflict()
		if adopted {
			n.config.Store(c)
			n.older = append([]olderManifest{{old.Hash, n.manifest}}, n.older[:min(len(n.older), olderManifests-1)]...)
			n.manifest, n.values = m, byHash
			n.life.Apply(eventConfigured)
		}
	})
	if clash {
		n.noteClash(v)
	}
	if adopted {
		n.trail.Add(audit.ConfigAdopted, generationName(v), "from "+from+", after "+generationName(old))
		n.pushSome()
	}
	return nil
}

// olderManifests is how many manifests are kept to tell differences from.
const olderManifests = 4

// olderManifest is a manifest that was in force, under its hash.
type olderManifest struct {
	hash     string
	manifest published.Manifest
}

// serveManifest tells a peer the manifest, as a difference if what the peer has
// is still known here.
func (n *Node) serveManifest(w http.ResponseWriter, r *http.Request) {
	var m published.Manifest
	var v published.Version
	var older []olderManifest
	duty.Locked(&n.mu, func() { m, v, older = n.manifest, n.spread.Current(), n.older })
	if v.Generation == 0 {
		http.Error(w, "no generation yet", http.StatusNotFound)
		return
	}
	have := r.URL.Query().Get("have")
	for _, old := range older {
		if have != "" && old.hash == have {
			d := m.DeltaFrom(old.manifest)
			httpjson.Reply(w, published.ManifestUpdate{Delta: &d})
			return
		}
	}
	httpjson.Reply(w, published.ManifestUpdate{Full: &m})
}
