// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package peers carries short messages between the processes of the system by
// datagrams. They may be lost, doubled or late; whoever sends one repeats it
// while it matters. The package is not for anything that must arrive.
package peers

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// Message is one datagram, in CBOR. At most one of the pointers is set.
type Message struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	Load  *Load  `cbor:"2,keyasint,omitempty"`
	Lead  *Lead  `cbor:"3,keyasint,omitempty"`
	Loads *Loads `cbor:"4,keyasint,omitempty"`
	Ends  []End  `cbor:"5,keyasint,omitempty"` // MaxEnds at most; also beside a Hello.
	// Limits has MaxLimits at most, beside nothing else.
	Limits  []Limit  `cbor:"6,keyasint,omitempty"`
	Lending *Lending `cbor:"7,keyasint,omitempty"`
}

// Hello tells that a gateway is there. A gateway answers it with a hello of its own; sidecars
// tell loads to those they hear of.
type Hello struct {
	Name             string           `cbor:"1,keyasint"`
	Incarnation      int64            `cbor:"2,keyasint"` // Start of the process, Unix milliseconds.
	Address          string           `cbor:"3,keyasint"` // Peer listener.
	Domain           string           `cbor:"4,keyasint,omitempty"`
	StoreUnreachable bool             `cbor:"5,keyasint,omitempty"` // The store does not answer it.
	KnownGateways    []DomainGateways `cbor:"6,keyasint,omitempty"` // Other gateways; MaxKnownGateways at most.
	Leaving          bool             `cbor:"7,keyasint,omitempty"`
	IsAnswer         bool             `cbor:"8,keyasint,omitempty"` // It answers a hello, and is not answered.
	QueriedDomain    string           `cbor:"9,keyasint,omitempty"` // The failure domain whose gateways the answer is to name.
	// GatewayCount is how many gateways the sender knows of, itself included.
	GatewayCount int `cbor:"10,keyasint,omitempty"`
	// Previous is what the sender of an answer last heard of an earlier life of the receiver.
	Previous *PreviousIncarnation `cbor:"11,keyasint,omitempty"`
}

// PreviousIncarnation is the last word of an earlier life of a gateway.
type PreviousIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64    // As in Hello.
	AgeMs       int64    // Since its last word.
	Leaving     bool     // It was in its planned stop.
}

// Age returns how long ago the last word was.
func (b PreviousIncarnation) Age() time.Duration { return time.Duration(b.AgeMs) * time.Millisecond }

// DomainGateways is some gateways of one failure domain that the sender of a Hello knows of.
type DomainGateways struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Gateways []KnownGateway
}

// KnownGateway is another gateway that the sender of a Hello knows of.
type KnownGateway struct {
	_                struct{} `cbor:",toarray"`
	Address          []byte   // Peer listener: IP number and port, as netip.AddrPort writes them.
	AgeMs            int64    // Since its last word.
	StoreUnreachable bool
	Leaving          bool
}

// PeerAddress returns the peer listener of the gateway.
func (g KnownGateway) PeerAddress() (a netip.AddrPort, err error) {
	err = a.UnmarshalBinary(g.Address)
	return a, errors.Wrap(err, "gateway named by another one")
}

// Age returns how long ago the gateway's last word was.
func (g KnownGateway) Age() time.Duration { return time.Duration(g.AgeMs) * time.Millisecond }

// PackAddress returns an address, IP number and port, as messages name it.
func PackAddress(address string) (raw []byte, err error) {
	defer func() { err = errors.Wrapf(err, "address %q", address) }()
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return a.MarshalBinary()
}

// MaxKnownGateways is how many gateways one Hello names: it stays within a packet of 1,400 bytes.
const MaxKnownGateways = 48

// Load tells the load of an engine.
type Load struct {
	Address   string  `cbor:"1,keyasint"` // Of the engine.
	Running   int     `cbor:"2,keyasint,omitempty"`
	Waiting   int     `cbor:"3,keyasint,omitempty"`
	Group     string  `cbor:"4,keyasint,omitempty"`
	Closed    bool    `cbor:"5,keyasint,omitempty"`
	Slowdown  float64 `cbor:"6,keyasint,omitempty"`
	PassMs    int     `cbor:"7,keyasint,omitempty"`  // Time of a pass, smoothed.
	Forward   bool    `cbor:"8,keyasint,omitempty"`  // The receiver tells the other gateways of its failure domain.
	StartedAt int64   `cbor:"9,keyasint,omitempty"`  // When the engine's life began, Unix milliseconds; 0 when not told.
	Epoch     uint64  `cbor:"10,keyasint,omitempty"` // Of the group; another one when it has formed anew.
	// GatewayCount is how many gateways the sender hears; 0 when it does not tell.
	GatewayCount int `cbor:"11,keyasint,omitempty"`
}

// Loads tells the loads of ranks of one group, as its leader has just seen them: of
// those only that are in the group's epoch, and so in their newest life.
type Loads struct {
	Group   string     `cbor:"1,keyasint"`
	Closed  bool       `cbor:"2,keyasint,omitempty"`
	PassMs  int        `cbor:"3,keyasint,omitempty"`
	Forward bool       `cbor:"4,keyasint,omitempty"` // As in Load.
	Ranks   []RankLoad `cbor:"5,keyasint"`           // MaxRankLoads at most.
	// Epoch and Gateways are as in Load.
	Epoch        uint64 `cbor:"6,keyasint,omitempty"`
	GatewayCount int    `cbor:"7,keyasint,omitempty"`
	// LimitPerRank is how many requests a rank may hold in the mean; 0 when it is not known.
	LimitPerRank float32 `cbor:"8,keyasint,omitempty"`
}

// MaxRankLoads is how many ranks one Loads names: it stays within a packet of 1,400
// bytes.
const MaxRankLoads = 80

// RankLoad is the load of one rank.
type RankLoad struct {
	_        struct{} `cbor:",toarray"`
	Address  []byte   // Of the engine: IP number and port, as netip.AddrPort writes them.
	Running  int
	Waiting  int
	Slowdown float32 // Above 1 when it is slow.
}

// EngineAddress returns the address of a rank's engine.
func (l RankLoad) EngineAddress() (a netip.AddrPort, err error) {
	err = a.UnmarshalBinary(l.Address)
	return a, errors.Wrap(err, "load of a rank")
}

// Lead tells that a sidecar leads its group.
type Lead struct {
	Group      string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Rank       int    `cbor:"3,keyasint"`
	Fence      uint64 `cbor:"4,keyasint"`
	SendsLoads bool   `cbor:"5,keyasint,omitempty"` // It has just told gateways the loads of all ranks.
}

// End tells that an endpoint's process ended while it ran a request.
type End struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte   // Names all requests that are the same.
	Endpoint string   // One life of it.
	Sending  int      // What was known as the request was sent, as package quarantine counts it.
	Void     bool     // It counts no more.
	AgeMs    int64    // Since the end.
}

// MaxEnds is how many ends one message names: beside a Hello it stays within a packet of
// 1,400 bytes.
const MaxEnds = 12

// Limit tells what an endpoint's answer to a gateway said of its rate limit.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  string   // One life of it.
	Limited   bool     // It names a limit.
	PerSecond float64  // Requests from all gateways together.
	AgeMs     int64    // Of the word.
}

// Age returns how long ago the word was.
func (l Limit) Age() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// MaxLimits is how many limits one message names: it stays within a packet of 1,400 bytes.
const MaxLimits = 24

// Lending tells another gateway what is asked for and given of parts of rate limits.
type Lending struct {
	Address string         `cbor:"1,keyasint"` // Peer listener of the sender.
	Shares  []ShareMessage `cbor:"2,keyasint"` // MaxShares at most.
}

// ShareMessage tells of one gateway's part of an endpoint's rate limit.
type ShareMessage struct {
	_             struct{} `cbor:",toarray"`
	Kind          int      // As package throttle counts it.
	Endpoint      string   // One life of it.
	RequestNumber int64    // Of the ask.
	Tokens        float64  // That go with the part.
	LeaseMs       int64    // For which it is lent.
}

// LeaseTime returns for how long a part is lent.
func (p ShareMessage) LeaseTime() time.Duration { return time.Duration(p.LeaseMs) * time.Millisecond }

// MaxShares is how many parts one message names: it stays within a packet of 1,400 bytes.
const MaxShares = 20

// SidecarAddress returns the address of the sidecar beside an engine, which listens on
// the engine's instance at a port that is alike everywhere.
func SidecarAddress(engine string, port int) (a netip.AddrPort, err error) {
	defer func() { err = errors.Wrapf(err, "sidecar beside %q", engine) }()
	at, err := netip.ParseAddrPort(engine)
	if err != nil {
		return a, err
	}
	return netip.AddrPortFrom(at.Addr(), uint16(port)), nil
}

// Times for which connections of calls between processes are kept while they are idle.
// Whoever calls drops one long before whoever serves ends it, so no call meets that end.
const (
	ClientIdleTimeout = 30 * time.Second
	ServerIdleTimeout = 3 * ClientIdleTimeout
)

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

// Address returns where the socket receives.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a message, which may be lost.
func (s *Socket) Send(to netip.AddrPort, m Message) { s.SendAll([]netip.AddrPort{to}, m) }

// SendAll sends a message to each of a list.
func (s *Socket) SendAll(list []netip.AddrPort, m Message) {
	if len(list) == 0 {
		return
	}
	raw, err := cbor.Marshal(m)
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
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			s.log.Warn("message left out", zap.String("from", from.String()), zap.String("error", err.Error()))
			continue
		}
		handle(from, m)
	}
}
