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
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/spread"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// message is what peers exchange: the generation in force and news of members.
// The first row is the sender.
type message struct {
	Version published.Version `json:"version"`
	Rows    []member.Member   `json:"rows"`
	Ends    []peers.End       `json:"ends,omitempty"` // Ends of endpoints' processes under requests.
}

// sender returns who a message says that it is from.
func (m message) sender() (h trust.Holder) {
	if len(m.Rows) > 0 {
		h = trust.Holder{Role: m.Rows[0].Role, Domain: m.Rows[0].Domain, Name: m.Rows[0].Name}
	}
	return h
}

// outgoing returns the next message to a peer; the name may be "" when it is
// not known.
func (n *Node) outgoing(name string) message {
	ends := n.suspects.NextToSend(clock.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	return message{Version: n.spread.Current(), Rows: n.table.OutgoingTo(name), Ends: ends}
}

// Suspects returns what is known of requests under which endpoints ended. Every process
// keeps and tells it, entries act by it.
func (n *Node) Suspects() *suspects.Set { return n.suspects }

// gossip probes one peer an interval. A late tick means that the process was
// paused.
func (n *Node) gossip(ctx context.Context) error {
	g := &errgroup.Group{}
	g.SetLimit(8)
	defer func() { _ = g.Wait() }() // Probes return no errors.
	return wait.Every(ctx, n.set.GossipInterval, func() {
		n.noticePause(clock.Now())
		var p member.Probe
		var changes []member.Change
		var ok bool
		duty.Locked(&n.mu, func() { p, changes, ok = n.table.Tick(clock.Now(), rand.Uint64()) })
		n.note(changes)
		if !ok {
			n.confirm() // Nobody to ask: there is no other view.
			return
		}
		g.TryGo(func() error {
			duty.RunRecovered("probe", n.log, n.reg, func() { n.probe(ctx, p.Target) })
			return nil
		})
	})
}

// noticePause takes the node out of service when its clock jumped, until a
// peer has told it what it is believed to be.
func (n *Node) noticePause(now time.Time) {
	var woke bool
	duty.Locked(&n.mu, func() {
		woke = n.table.DetectPause(now)
		if woke {
			n.life.Apply(eventWoke)
		}
	})
	if woke {
		n.trail.Add(audit.PauseDetected, n.set.Name, "clock jumped between two ticks")
		n.pushSome()
	}
}

// CheckPause looks for a pause right now, before something that must not be
// done on old beliefs.
func (n *Node) CheckPause(now time.Time) {
	var paused bool
	duty.Locked(&n.mu, func() { paused = n.table.TickOverdue(now) })
	if paused {
		n.noticePause(now)
	}
}

// confirm takes note that others have heard from the node.
func (n *Node) confirm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life.Apply(eventConfirmed)
	n.heard = clock.Now()
}

// Lease is how long after its last word with a peer a process may still act as
// the one that fills its slot; one that starts anew waits as long.
func (n *Node) Lease() time.Duration { return 3 * n.set.GossipInterval }

// HoldsLease reports whether the process may give orders in the name of its slot: it
// has spoken with a peer, or found itself alone, within the lease, is not
// superseded, and an earlier process in its slot has lost its own lease.
func (n *Node) HoldsLease(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	sound := !n.heir && n.life.State() != Doubting && n.life.State() != Stopped
	return sound && now.Sub(n.heard) < n.Lease() && now.Sub(n.start) >= n.Lease()
}

// probe exchanges messages with the target, through helpers when it is silent.
func (n *Node) probe(ctx context.Context, target member.Member) {
	if n.exchange(ctx, target.Address, target.Name) == nil {
		var changes []member.Change
		duty.Locked(&n.mu, func() { changes = n.table.ProbeAnswered(target.Name, clock.Now()) })
		n.note(changes)
		return
	}
	var ask []member.Member
	duty.Locked(&n.mu, func() { ask = n.table.PickRandom(target.Name, rand.Uint64()) })
	for _, h := range ask {
		if n.probeThrough(ctx, h.Address, target.Address) == nil {
			return
		}
	}
	var changes []member.Change
	duty.Locked(&n.mu, func() { changes = n.table.ProbeUnanswered(target.Name, clock.Now()) })
	n.note(changes)
}

// Exchange sends a message to a peer and merges its answer.
func (n *Node) Exchange(ctx context.Context, address string) (err error) {
	return n.exchange(ctx, address, "")
}

func (n *Node) exchange(ctx context.Context, address, name string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	if err := n.Call(ctx, address, wire.PathGossip, n.outgoing(name), &reply); err != nil {
		return err
	}
	n.receive(reply)
	n.confirm()
	return nil
}

func (n *Node) probeThrough(ctx context.Context, helper, target string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.Call(ctx, helper, wire.PathProbe, probeRequest{Address: target}, nil)
}

// probeRequest asks a helper to exchange messages with a third process.
type probeRequest struct {
	Address string `json:"address"`
}

// Call posts a JSON message to a peer and decodes the answer into reply, if
// that is not nil. Messages are harmless to repeat.
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200)) // The status says enough.
		return errors.Newf("%s: %s", resp.Status, text)
	}
	body, err := adapter.ReadWhole(resp, 2*published.MaxValueBytes) // A value in JSON grows by a third.
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

// receive merges a peer's message.
func (n *Node) receive(m message) {
	n.suspects.MergeEnds(m.Ends, clock.Now())
	if len(m.Rows) == 0 {
		return
	}
	var changes []member.Change
	var leaving, denied, lost bool
	var decision spread.Decision
	duty.Locked(&n.mu, func() {
		before := n.table.Self()
		changes = n.table.Merge(m.Rows, clock.Now())
		leaving = n.table.Self().Leaving && !before.Leaving
		denied = n.table.Self().Incarnation != before.Incarnation
		lost = n.table.Superseded(m.Rows)
		n.heir = n.heir || lost
		decision = n.spread.Decide(m.Version)
	})
	n.note(changes)
	if denied {
		n.pushSome() // Before those who believe it give the process up.
	}
	if leaving {
		n.Leave("a peer has it as leaving")
	}
	if lost {
		n.Leave("a later process has the same name or slot")
	}
	if decision != 0 {
		n.hints.Offer(hint{from: m.Rows[0].Address, version: m.Version})
	}
}

// note puts changes of members on the audit trail.
func (n *Node) note(changes []member.Change) {
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
			n.gone(c.Member)
		}
	}
}

// push tells peers at once what should not wait for the next probe.
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
					_ = n.Exchange(ctx, m.Address) // A silent peer is the probes' matter.
				})
				return nil
			})
		}
	}
}

// PeerMux returns the handlers that every role has on its peer listener.
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
	httpjson.Reply(w, n.outgoing(from))
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

// ReadJSON decodes a bounded message from a peer; on a fault it answers and
// reports false.
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
