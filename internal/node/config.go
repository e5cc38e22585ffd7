// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/decide/configadopt"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// fetch fetches and adopts newer generations that hints name, one after another.
func (n *Node) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-n.hints.Out():
			var wanted bool
			duty.Locked(&n.mu, func() { wanted = n.spread.Decide(h.version) == configadopt.Fetch })
			if !wanted {
				continue
			}
			if err := n.fetchFrom(ctx, h.from); err != nil {
				n.log.Sugar().Warnw("generation not fetched", "from", h.from, "error", err)
			}
		}
	}
}

// source reads a manifest and its values from a peer or from the configuration service.
type source struct {
	name     string
	manifest func(ctx context.Context) (m published.Manifest, err error)
	// values reads at least one of the missing values.
	values func(ctx context.Context, missing []published.Entry) (values [][]byte, err error)
}

// sourceAt returns the source for a peer's address, or that for the configuration service if address is "".
func (n *Node) sourceAt(address string) source {
	if address == "" {
		return source{
			name:     "configuration service",
			manifest: n.manifestFromService,
			values: func(ctx context.Context, missing []published.Entry) ([][]byte, error) {
				v, err := n.configService.Get(ctx, missing[0].Key)
				return [][]byte{v}, err
			},
		}
	}
	return source{
		name:     address,
		manifest: func(ctx context.Context) (published.Manifest, error) { return n.manifestFromPeer(ctx, address) },
		values: func(ctx context.Context, missing []published.Entry) ([][]byte, error) {
			return n.valuesFromPeer(ctx, address, missing)
		},
	}
}

func (n *Node) manifestFromService(ctx context.Context) (m published.Manifest, err error) {
	raw, err := n.configService.Get(ctx, published.ManifestKey)
	if err != nil {
		return m, err
	}
	return published.ParseManifest(raw)
}

// manifestFromPeer requests the peer's manifest as the difference from the node's own.
func (n *Node) manifestFromPeer(ctx context.Context, address string) (m published.Manifest, err error) {
	var own published.Manifest
	var version published.Version
	duty.Locked(&n.mu, func() { own, version = n.manifest, n.spread.Current() })
	raw, err := n.PeerGet(ctx, address, wire.PathManifest+"?have="+version.Hash)
	if err != nil {
		return m, err
	}
	return published.ParseUpdate(raw, own)
}

// PeerGet reads a path of a peer's listener, with a timeout of callTimeout.
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

// fetchFrom fetches the generation of a peer or of the configuration service, and adopts it if it is newer and valid.
func (n *Node) fetchFrom(ctx context.Context, from string) (err error) {
	src := n.sourceAt(from)
	m, err := src.manifest(ctx)
	if err != nil {
		return err
	}
	return n.handleManifest(ctx, src, m)
}

// handleManifest verifies a manifest, fetches the values that the node lacks from src, and adopts the
// generation if it is newer and valid. A manifest with an invalid signature is audited; a second
// manifest of the current generation is recorded as a conflict.
func (n *Node) handleManifest(ctx context.Context, src source, m published.Manifest) (err error) {
	v := m.Version()
	if err := m.Verify(n.cfg.OperatorKey); err != nil {
		n.trail.Add(audit.ConfigRejected, generationName(v), err.Error()+", from "+src.name)
		return err
	}
	var decision configadopt.Decision
	var conflict bool
	duty.Locked(&n.mu, func() {
		decision = n.spread.Decide(v)
		n.spread.RecordValid(v)
		_, conflict = n.spread.Conflict()
	})
	if decision == configadopt.Ignore {
		if conflict {
			n.recordConflict(v)
		}
		return nil
	}
	byHash, err := n.fetchValues(ctx, src, m)
	if err != nil {
		return err // Some values are missing; a later hint triggers another attempt.
	}
	return n.parseAndAdopt(v, m, byHash, src.name)
}

func generationName(v published.Version) string {
	return fmt.Sprintf("generation %d (%.8s)", v.Generation, v.Hash)
}

// recordConflict audits a manifest that conflicts with another one of its generation, unless it was the
// last one audited.
func (n *Node) recordConflict(v published.Version) {
	var known bool
	duty.Locked(&n.mu, func() {
		known = n.lastConflict == v
		n.lastConflict = v
	})
	if known {
		return
	}
	n.trail.Add(audit.ConfigConflict, generationName(v), "another manifest has the same generation; publish a higher one")
}

// maxRequestedValues and maxReplyBytes bound one exchange of values, so that the request and the
// reply each fit into a message.
const (
	maxRequestedValues = 2000
	maxReplyBytes      = published.MaxValueBytes / 2
)

// valuesFromPeer requests missing values from a peer, at most maxRequestedValues. The peer may return
// fewer.
func (n *Node) valuesFromPeer(ctx context.Context, address string, missing []published.Entry) (values [][]byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*callTimeout)
	defer cancel()
	var q wire.ValuesRequest
	for _, e := range missing[:min(len(missing), maxRequestedValues)] {
		q.Hashes = append(q.Hashes, e.Hash)
	}
	var reply wire.ValuesReply
	err = n.Call(ctx, address, wire.PathValues, q, &reply)
	return reply.Values, err
}

// serveValues sends a peer as many of the requested values as fit into the reply. The first one is
// sent whatever its size.
func (n *Node) serveValues(w http.ResponseWriter, r *http.Request) {
	var q wire.ValuesRequest
	if !ReadJSON(w, r, &q) {
		return
	}
	var own map[string][]byte
	duty.Locked(&n.mu, func() { own = n.values })
	reply := wire.ValuesReply{}
	size := 0
	for _, h := range q.Hashes {
		v, ok := own[h]
		if !ok || size > 0 && size+len(v) > maxReplyBytes {
			continue
		}
		size += len(v)
		reply.Values = append(reply.Values, v)
	}
	httpjson.Reply(w, reply)
}

// fetchValues fetches the values that the node does not have yet. The hash identifies a value,
// regardless of its source.
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
		missing := missingEntries(m, byHash)
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
		if len(missingEntries(m, byHash)) == len(missing) {
			return nil, errors.Newf("%s does not have the manifest's value of %s", src.name, missing[0].Key)
		}
	}
}

// missingEntries returns the entries of m whose values are not in byHash.
func missingEntries(m published.Manifest, byHash map[string][]byte) (missing []published.Entry) {
	for _, e := range m.Body.Entries {
		if _, ok := byHash[e.Hash]; !ok {
			missing = append(missing, e)
		}
	}
	return missing
}

// parseAndAdopt parses a complete generation and adopts it, or rejects it if it is invalid.
func (n *Node) parseAndAdopt(v published.Version, m published.Manifest, byHash map[string][]byte, from string) (err error) {
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
	var adopted, conflict bool
	duty.Locked(&n.mu, func() {
		old = n.spread.Current()
		adopted = n.spread.Adopt(v)
		_, conflict = n.spread.Conflict()
		if adopted {
			n.config.Store(c)
			n.olderManifests = append([]olderManifest{{old.Hash, n.manifest}}, n.olderManifests[:min(len(n.olderManifests), maxOlderManifests-1)]...)
			n.manifest, n.values = m, byHash
			n.machine.Apply(eventConfigured)
		}
	})
	if conflict {
		n.recordConflict(v)
	}
	if adopted {
		n.trail.Add(audit.ConfigAdopted, generationName(v), "from "+from+", after "+generationName(old))
		n.pushToPeers()
	}
	return nil
}

// maxOlderManifests is the number of older manifests that are kept to compute differences from.
const maxOlderManifests = 4

// olderManifest is a manifest that was in effect before, with its hash.
type olderManifest struct {
	hash     string
	manifest published.Manifest
}

// serveManifest sends a peer the manifest, as a difference if this node still has the manifest that
// the peer holds.
func (n *Node) serveManifest(w http.ResponseWriter, r *http.Request) {
	var m published.Manifest
	var v published.Version
	var older []olderManifest
	duty.Locked(&n.mu, func() { m, v, older = n.manifest, n.spread.Current(), n.olderManifests })
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
