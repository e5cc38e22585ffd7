// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/own"
	"github.com/canvaspulley/canvaspulley/internal/decide/spread"
	"github.com/canvaspulley/canvaspulley/internal/platform"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// watchers is how many processes of a failure domain watch the configuration
// service; the others hear from peers.
const watchers = 2

// maxWatchPause bounds the wait after a failed call to the platform.
const maxWatchPause = 5 * time.Second

// fetch takes in newer generations, one after another.
func (n *Node) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-n.hints.Out():
			n.mu.Lock()
			wanted := n.spread.Heard(h.version) == spread.Fetch
			n.mu.Unlock()
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
	value    func(ctx context.Context, e published.Entry) (raw []byte, err error)
}

// source returns a peer as a source, or the configuration service for "".
func (n *Node) source(address string) source {
	if address == "" {
		return source{
			name:     "configuration service",
			manifest: n.manifestOfService,
			value:    func(ctx context.Context, e published.Entry) ([]byte, error) { return n.conf.Get(ctx, e.Key) },
		}
	}
	return source{
		name:     address,
		manifest: func(ctx context.Context) (published.Manifest, error) { return n.manifestOfPeer(ctx, address) },
		value: func(ctx context.Context, e published.Entry) ([]byte, error) {
			return n.PeerGet(ctx, address, wire.PathValue+e.Hash)
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
	n.mu.Lock()
	own, version := n.manifest, n.spread.Current()
	n.mu.Unlock()
	raw, err := n.PeerGet(ctx, address, wire.PathManifest+"?have="+version.Hash)
	if err != nil {
		return m, err
	}
	return published.ParseTold(raw, own)
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
	raw, err = io.ReadAll(io.LimitReader(resp.Body, published.MaxValueBytes+1))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("%s: %s", path, resp.Status)
	}
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
		n.trail.Add(audit.ConfigRefused, generationName(v), err.Error()+", from "+src.name)
		return err
	}
	n.mu.Lock()
	decision := n.spread.Heard(v)
	n.spread.Seen(v)
	_, clash := n.spread.Clash()
	n.mu.Unlock()
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
	n.mu.Lock()
	again := n.clash == v
	n.clash = v
	n.mu.Unlock()
	if again {
		return
	}
	n.trail.Add(audit.ConfigClash, generationName(v), "another manifest has the same generation; publish a higher one")
}

// fetchValues gets the values that are not held already.
func (n *Node) fetchValues(ctx context.Context, src source, m published.Manifest) (byHash map[string][]byte, err error) {
	byHash = map[string][]byte{}
	n.mu.Lock()
	for _, e := range m.Body.Entries {
		if v, ok := n.values[e.Hash]; ok {
			byHash[e.Hash] = v
		}
	}
	n.mu.Unlock()
	for _, e := range m.Body.Entries {
		if _, ok := byHash[e.Hash]; ok {
			continue
		}
		v, err := src.value(ctx, e)
		if err != nil {
			return nil, err
		}
		if published.HashOf(v) != e.Hash {
			return nil, errors.Newf("value of %s from %s is not the manifest's", e.Key, src.name)
		}
		byHash[e.Hash] = v
	}
	return byHash, nil
}

// judge parses a whole generation and adopts or refuses it.
func (n *Node) judge(v published.Version, m published.Manifest, byHash map[string][]byte, from string) (err error) {
	byKey := make(map[string][]byte, len(byHash))
	for _, e := range m.Body.Entries {
		byKey[e.Key] = byHash[e.Hash]
	}
	c, err := published.New(v, byKey)
	if err != nil {
		n.mu.Lock()
		n.spread.Refuse(v)
		n.mu.Unlock()
		n.trail.Add(audit.ConfigRefused, generationName(v), err.Error())
		return err
	}
	n.mu.Lock()
	old := n.spread.Current()
	adopted := n.spread.Adopt(v)
	_, clash := n.spread.Clash()
	if adopted {
		n.config.Store(c)
		n.older = append([]olderManifest{{old.Hash, n.manifest}}, n.older[:min(len(n.older), olderManifests-1)]...)
		n.manifest, n.values = m, byHash
		n.life.Apply(eventConfigured)
	}
	n.mu.Unlock()
	if clash {
		n.noteClash(v)
	}
	if adopted {
		n.trail.Add(audit.ConfigAdopted, generationName(v), "from "+from+", after "+generationName(old))
		n.pushSome()
	}
	return nil
}

// watch follows the configuration service while the node is one of the
// watchers of its failure domain.
func (n *Node) watch(ctx context.Context) error {
	n.bootstrap(ctx)
	pause := n.set.GossipInterval
	seen := n.manifestHash() // Hash of what the service showed last, which may be stale.
	for ctx.Err() == nil {
		if !n.isWatcher() {
			sleep(ctx, n.set.GossipInterval)
			continue
		}
		raw, err := n.conf.Wait(ctx, published.ManifestKey, seen)
		if err == nil && raw != nil {
			err = n.takeWatched(ctx, raw)
		}
		if err != nil {
			n.count("config.watch-failed", 1)
			sleep(ctx, pause)
			pause = min(maxWatchPause, 2*pause)
			continue
		}
		pause = n.set.GossipInterval
		if raw != nil {
			seen = published.HashOf(raw)
		}
	}
	return nil
}

// takeWatched takes in what a watch of the configuration service showed.
func (n *Node) takeWatched(ctx context.Context, raw []byte) (err error) {
	m, err := published.ParseManifest(raw)
	if err != nil {
		return err
	}
	return n.takeManifest(ctx, n.source(""), m)
}

// bootstrap asks peers for the highest generation before the service, which
// may be stale, is trusted.
func (n *Node) bootstrap(ctx context.Context) {
	for _, address := range n.set.Seeds {
		if address != n.set.Advertise {
			_ = n.Exchange(ctx, address) // Whoever is silent now is heard later.
		}
	}
	n.readListOnce(ctx)
	for range bootstrapRounds {
		n.askSome(ctx)
		if _, ok := n.Config(); ok || n.isWatcher() {
			break
		}
		sleep(ctx, n.set.GossipInterval)
	}
	if _, ok := n.Config(); ok {
		return
	}
	if err := n.take(ctx, ""); err != nil {
		n.log.Sugar().Warnw("configuration service not read at the start", "error", err)
	}
}

// bootstrapRounds is how often a process that is no watcher asks peers before
// it reads the configuration service by itself: when all restart at once, the
// watchers alone read it.
const bootstrapRounds = 5

// askSome exchanges messages with a few random peers and gives what they have
// the time to be fetched.
func (n *Node) askSome(ctx context.Context) {
	n.mu.Lock()
	some := n.table.Helpers(n.set.Name, rand.Uint64())
	n.mu.Unlock()
	for _, m := range some {
		if n.Exchange(ctx, m.Address) == nil && n.awaitConfig(ctx) {
			return
		}
	}
}

// awaitConfig waits for a generation that a peer has named, for a moment.
func (n *Node) awaitConfig(ctx context.Context) bool {
	for range 10 {
		if _, ok := n.Config(); ok || n.hints.Len() == 0 {
			return ok
		}
		sleep(ctx, n.set.GossipInterval/20)
	}
	return false
}

// isWatcher reports whether the node is among the first of its failure domain
// in rendezvous order. Wrong views cost extra reads only.
func (n *Node) isWatcher() bool {
	near := n.Members(func(m member.Member) bool {
		return m.Domain == n.set.Domain && m.State != member.Dead && !m.Leaving
	})
	mine := own.Score("watch", n.set.Name)
	ahead := 0
	for _, m := range near {
		if m.Name != n.set.Name && own.Score("watch", m.Name) > mine {
			ahead++
		}
	}
	return ahead < watchers
}

func (n *Node) manifestHash() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spread.Current().Generation == 0 {
		return ""
	}
	return published.HashOf(n.manifest.Encode())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// readList follows the platform's list while the node is a watcher.
func (n *Node) readList(ctx context.Context) error {
	rows := 0
	for ctx.Err() == nil {
		sleep(ctx, max(n.set.GossipInterval, time.Duration(rows)*listPerRow))
		if n.isWatcher() {
			rows = n.readListOnce(ctx)
		}
	}
	return nil
}

// listPerRow spaces reads of the list by its length: at some 150 bytes a row it
// keeps them to 4 KB a second.
const listPerRow = 40 * time.Millisecond

// readListOnce takes the list in and returns its length.
func (n *Node) readListOnce(ctx context.Context) (length int) {
	list, err := n.list.List(ctx)
	if err != nil {
		n.count("list.failed", 1)
		return 0
	}
	rows := make([]member.Member, 0, len(list))
	for _, in := range list {
		rows = append(rows, fromInstance(in))
	}
	n.mu.Lock()
	before := n.table.Self().Leaving
	changes := n.table.Seed(rows, time.Now())
	leaving := n.table.Self().Leaving && !before
	n.mu.Unlock()
	n.note(changes)
	if leaving {
		n.Leave("the platform's list has it as leaving")
	}
	return len(list)
}

func fromInstance(in platform.Instance) member.Member {
	return member.Member{
		Name: in.Name, Role: string(in.Role), Endpoint: in.Endpoint,
		Domain: in.Domain, Address: in.Address, Leaving: in.Leaving,
	}
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
	n.mu.Lock()
	m, v, older := n.manifest, n.spread.Current(), n.older
	n.mu.Unlock()
	if v.Generation == 0 {
		http.Error(w, "no generation yet", http.StatusNotFound)
		return
	}
	have := r.URL.Query().Get("have")
	for _, old := range older {
		if have != "" && old.hash == have {
			d := m.DeltaFrom(old.manifest)
			WriteJSON(w, published.Told{Delta: &d})
			return
		}
	}
	WriteJSON(w, published.Told{Whole: &m})
}

func (n *Node) serveValue(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	v, ok := n.values[r.PathValue("hash")]
	n.mu.Unlock()
	if !ok {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	_, _ = w.Write(v) // The peer may be gone.
}
