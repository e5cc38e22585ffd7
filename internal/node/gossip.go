// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/configadopt"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// message is what peers exchange: the generation in effect and updates on members. The first row
// is the sender.
type message struct {
	Version        published.Version `json:"version"`
	Rows           []member.Member   `json:"rows"`
	peers.EndBatch                   // Ends of endpoints' processes during requests.
}

// sender returns the sender that a message claims.
func (m message) sender() (h trust.Holder) {
	if len(m.Rows) > 0 {
		h = trust.Holder{Role: m.Rows[0].Role, Domain: m.Rows[0].Domain, Name: m.Rows[0].Name}
	}
	return h
}

// composeMessage returns the next message to the peer with the given name, "" if the name is not known.
// It marks the process ends in the message as sent.
func (n *Node) composeMessage(name string) message {
	ends := n.suspects.NextToSend(clock.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	return message{Version: n.spread.Current(), Rows: n.table.OutgoingTo(name), EndBatch: ends}
}

// Suspects returns what is known of requests during which endpoints ended. Every process stores and
// sends it, but only entries act on it.
func (n *Node) Suspects() *suspects.Set { return n.suspects }

// gossip probes one peer per interval. A late tick means that the process was paused.
func (n *Node) gossip(ctx context.Context) error {
	g := &errgroup.Group{}
	g.SetLimit(8)
	defer func() { _ = g.Wait() }() // Probes never return an error.
	return wait.Every(ctx, n.cfg.GossipInterval, func() {
		n.detectPause(clock.Now())
		var p member.Probe
		var changes []member.Change
		var ok bool
		duty.Locked(&n.mu, func() { p, changes, ok = n.table.Tick(clock.Now(), rand.Uint64()) })
		n.recordChanges(changes)
		if !ok {
			n.recordContact() // There is no peer whose view could differ.
			return
		}
		g.TryGo(func() error {
			duty.RunRecovered("probe", n.log, n.reg, func() { n.probe(ctx, p.Target) })
			return nil
		})
	})
}

// detectPause takes the node out of service if its clock has jumped, until a peer has reported
// which state it believes the node to be in.
func (n *Node) detectPause(now time.Time) {
	var paused bool
	duty.Locked(&n.mu, func() {
		paused = n.table.DetectPause(now)
		if paused {
			n.machine.Apply(eventWoke)
		}
	})
	if paused {
		n.trail.Add(audit.PauseDetected, n.cfg.Name, "clock jumped between two ticks")
		n.pushToPeers()
	}
}

// CheckPause takes the node out of service if the process was paused, without waiting for the next
// tick. It is called before an action that must not be based on an outdated view.
func (n *Node) CheckPause(now time.Time) {
	var paused bool
	duty.Locked(&n.mu, func() { paused = n.table.TickOverdue(now) })
	if paused {
		n.detectPause(now)
	}
}

// recordContact records that a peer has just received a message of the node, or that there is no peer. A
// node that was paused serves again after that.
func (n *Node) recordContact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine.Apply(eventConfirmed)
	n.lastContact = clock.Now()
}

// Lease returns how long after its last contact with a peer a process may still act as the holder of
// its endpoint. A process that starts waits for the same time.
func (n *Node) Lease() time.Duration { return 3 * n.cfg.GossipInterval }

// HoldsLease reports whether the process may give orders for its endpoint: it has exchanged messages
// with a peer, or had no peer to contact, within the lease, it is not superseded, and the lease of an
// earlier process of its endpoint has expired.
func (n *Node) HoldsLease(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	valid := !n.superseded && n.machine.State() != Doubting && n.machine.State() != Stopped
	return valid && now.Sub(n.lastContact) < n.Lease() && now.Sub(n.startedAt) >= n.Lease()
}

// probe exchanges messages with the target. If the target does not answer, relays are asked one after the
// other to exchange messages with it. The probe counts as unanswered if none of them succeeds either.
func (n *Node) probe(ctx context.Context, target member.Member) {
	if n.exchangeNamed(ctx, target.Address, target.Name) == nil {
		var changes []member.Change
		duty.Locked(&n.mu, func() { changes = n.table.ProbeAnswered(target.Name, clock.Now()) })
		n.recordChanges(changes)
		return
	}
	var relays []member.Member
	duty.Locked(&n.mu, func() { relays = n.table.PickRandom(target.Name, rand.Uint64()) })
	for _, relay := range relays {
		if n.probeVia(ctx, relay.Address, target.Address) == nil {
			return
		}
	}
	var changes []member.Change
	duty.Locked(&n.mu, func() { changes = n.table.ProbeUnanswered(target.Name, clock.Now()) })
	n.recordChanges(changes)
}

// Exchange sends a message to a peer whose name is not known, and merges the reply.
func (n *Node) Exchange(ctx context.Context, address string) (err error) {
	return n.exchangeNamed(ctx, address, "")
}

// exchangeNamed is Exchange with the name of the peer, "" if it is not known.
func (n *Node) exchangeNamed(ctx context.Context, address, name string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	if err := n.Call(ctx, address, wire.PathGossip, n.composeMessage(name), &reply); err != nil {
		return err
	}
	n.receive(reply)
	n.recordContact()
	return nil
}

// probeVia asks a relay to exchange messages with the process at the address target.
func (n *Node) probeVia(ctx context.Context, relay, target string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.Call(ctx, relay, wire.PathProbe, probeRequest{Address: target}, nil)
}

// probeRequest asks a relay to exchange messages with a third process.
type probeRequest struct {
	Address string `json:"address"`
}

// Call posts a JSON message to a peer and decodes the answer into reply, unless that is nil. Messages
// are idempotent.
func (n *Node) Call(ctx context.Context, address, path string, msg, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "call %s%s", address, path) }()
	raw, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.PeerURL(address, path), bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	n.count("peer.bytes-out", int64(len(raw)))
	resp, err := n.peers.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200)) // On an error, the status alone suffices.
		return errors.Newf("%s: %s", resp.Status, text)
	}
	body, err := adapter.ReadWhole(resp, 2*published.MaxValueBytes) // Base64 in JSON adds a third.
	if err != nil {
		return err
	}
	n.count("peer.bytes-in", int64(len(body)))
	if reply == nil {
		return nil
	}
	return json.Unmarshal(body, reply)
}

func (n *Node) count(name string, by int64) {
	metrics.GetOrRegisterCounter(name, n.reg).Inc(by)
}

// receive merges a message from a peer and acts on what it says: it begins the planned stop if this
// process is leaving or replaced, informs peers after refuting a suspicion, and queues a hint unless
// the peer's generation is to be ignored.
func (n *Node) receive(m message) {
	n.suspects.MergeEnds(m.EndBatch, clock.Now())
	if len(m.Rows) == 0 {
		return
	}
	var changes []member.Change
	var leaving, refuted, replaced bool
	var decision configadopt.Decision
	duty.Locked(&n.mu, func() {
		before := n.table.Self()
		changes = n.table.Merge(m.Rows, clock.Now())
		leaving = n.table.Self().Leaving && !before.Leaving
		refuted = n.table.Self().Incarnation != before.Incarnation
		replaced = n.table.Superseded(m.Rows)
		n.superseded = n.superseded || replaced
		decision = n.spread.Decide(m.Version)
	})
	n.recordChanges(changes)
	if refuted {
		n.pushToPeers() // Reaches peers before they declare this process dead.
	}
	if leaving {
		n.Leave("a peer reports this process as leaving")
	}
	if replaced {
		n.Leave("a later process has the same name or slot")
	}
	if decision != 0 { // Anything but configadopt.Ignore.
		n.hints.Offer(hint{from: m.Rows[0].Address, version: m.Version})
	}
}

// recordChanges adds changes of members to the audit trail and calls onDead for dead ones.
func (n *Node) recordChanges(changes []member.Change) {
	for _, c := range changes {
		text := c.Member.State.String()
		if c.Member.Leaving {
			text += ", leaving"
		}
		if c.New {
			text += ", new"
		}
		n.trail.Add(audit.MemberChanged, c.Member.Name, text+": "+c.Cause)
		if c.Member.State == member.Dead {
			n.onDead(c.Member)
		}
	}
}

// push exchanges messages with the peers queued by pushToPeers, without waiting for the next probe.
func (n *Node) push(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(8)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case m := <-n.pushes.Out():
			g.Go(func() error {
				duty.RunRecovered("push", n.log, n.reg, func() {
					_ = n.Exchange(ctx, m.Address) // Probes detect a peer that does not answer.
				})
				return nil
			})
		}
	}
}

// PeerMux returns the handlers that every role registers on its peer listener.
func (n *Node) PeerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGossip, n.serveGossip)
	mux.HandleFunc("POST "+wire.PathProbe, n.serveProbe)
	mux.HandleFunc("GET "+wire.PathManifest, n.serveManifest)
	mux.HandleFunc("POST "+wire.PathValues, n.serveValues)
	return mux
}

func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	var m message
	if !ReadJSON(w, r, &m) {
		return
	}
	if err := n.creds.VerifyClaim(r.TLS, m.sender()); err != nil {
		n.trail.Add(audit.PeerRejected, r.RemoteAddr, err.Error())
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	n.receive(m)
	from := ""
	if len(m.Rows) > 0 {
		from = m.Rows[0].Name
	}
	httpjson.Reply(w, n.composeMessage(from))
}

func (n *Node) serveProbe(w http.ResponseWriter, r *http.Request) {
	var p probeRequest
	if !ReadJSON(w, r, &p) {
		return
	}
	if err := n.Exchange(r.Context(), p.Address); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	httpjson.Reply(w, struct{}{})
}

// ReadJSON decodes a message of bounded size from a peer. On an error it sends the answer and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxMessageBytes))
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
