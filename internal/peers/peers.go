// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package peers carries short messages between the processes of the system by
// datagrams. They may be lost, doubled or late; whoever sends one repeats it
// while it matters. The package is not for anything that must arrive.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Message is one datagram. Exactly one of the pointers is set.
type Message struct {
	Hello *Hello `json:"hello,omitempty"`
	Load  *Load  `json:"load,omitempty"`
	Lead  *Lead  `json:"lead,omitempty"`
}

// Hello tells that a gateway is there. Sidecars answer it with loads; other
// gateways learn whom they may ask.
type Hello struct {
	Name    string   `json:"n"`
	Life    int64    `json:"l"` // Start of the process, Unix milliseconds.
	Address string   `json:"a"` // Peer listener.
	Domain  string   `json:"d,omitempty"`
	Blind   bool     `json:"b,omitempty"` // The store does not answer it.
	Known   []string `json:"k,omitempty"` // Other gateways that it hears.
	Leaving bool     `json:"x,omitempty"`
}

// Load tells the load of an engine.
type Load struct {
	Address string  `json:"a"` // Of the engine.
	Running int     `json:"r"`
	Waiting int     `json:"w"`
	Group   string  `json:"g,omitempty"`
	Closed  bool    `json:"c,omitempty"`
	Pace    float64 `json:"p,omitempty"`
	PassMs  int     `json:"m,omitempty"` // Time of a pass, smoothed.
	Onward  bool    `json:"o,omitempty"` // The receiver tells the other gateways of its failure domain.
}

// Lead tells that a sidecar leads its group.
type Lead struct {
	Group string `json:"g"`
	Epoch uint64 `json:"e"`
	Rank  int    `json:"r"`
	Fence uint64 `json:"f"`
}

// Beside returns the address of the sidecar beside an engine, which listens on
// the engine's instance at a port that is alike everywhere.
func Beside(engine string, port int) (a netip.AddrPort, err error) {
	defer func() { err = errors.Wrapf(err, "sidecar beside %q", engine) }()
	at, err := netip.ParseAddrPort(engine)
	if err != nil {
		return a, err
	}
	return netip.AddrPortFrom(at.Addr(), uint16(port)), nil
}

// maxDatagram is above any message; a longer one is dropped.
const maxDatagram = 8 << 10

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Listen opens the socket at address. The function closes it.
func Listen(address string, log *zap.Logger) (s *Socket, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "peers") }()
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, nil, err
	}
	return &Socket{conn: conn, log: log}, func() { _ = conn.Close() }, nil
}

// Send sends a message, which may be lost.
func (s *Socket) Send(to netip.AddrPort, m Message) { s.SendAll([]netip.AddrPort{to}, m) }

// SendAll sends a message to each of a list.
func (s *Socket) SendAll(list []netip.AddrPort, m Message) {
	if len(list) == 0 {
		return
	}
	raw, err := json.Marshal(m)
	if err != nil {
		s.log.Error("message not sent", zap.String("error", err.Error()))
		return
	}
	for _, to := range list {
		if _, err := s.conn.WriteToUDPAddrPort(raw, to); err != nil {
			s.log.Debug("message not sent", zap.String("to", to.String()), zap.String("error", err.Error()))
		}
	}
}

// Run hands messages to the function until ctx ends.
func (s *Socket) Run(ctx context.Context, handle func(from netip.AddrPort, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Debug("message not read", zap.String("error", err.Error()))
			continue
		}
		var m Message
		if err := json.Unmarshal(buf[:n], &m); err != nil {
			s.log.Warn("message left out", zap.String("from", from.String()), zap.String("error", err.Error()))
			continue
		}
		handle(from, m)
	}
}
