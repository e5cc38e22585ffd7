// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package peers carries short messages between the processes of the system in UDP datagrams. A
// message may be lost, duplicated or delayed; its sender repeats it for as long as it matters. The
// package is not for messages that must arrive.
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

// Message is one datagram, encoded in CBOR. At most one of the pointers is set.
type Message struct {
	Hello    *Hello `cbor:"1,keyasint,omitempty"`
	Load     *Load  `cbor:"2,keyasint,omitempty"`
	Lead     *Lead  `cbor:"3,keyasint,omitempty"`
	Loads    *Loads `cbor:"4,keyasint,omitempty"`
	EndBatch        // May accompany a Hello.
	// Limits has at most MaxLimits elements and is sent without other fields.
	Limits  []Limit  `cbor:"6,keyasint,omitempty"`
	Lending *Lending `cbor:"7,keyasint,omitempty"`
	// SoundParts answers ends of parts: the keys of those with which requests completed at the sender
	// shortly before. At most MaxEnds.
	SoundParts [][]byte `cbor:"9,keyasint,omitempty"`
}

// Hello announces a gateway. A gateway that receives a hello answers it with one of its own. Sidecars
// send no hellos; they send loads to the gateways that they know.
type Hello struct {
	Name             string           `cbor:"1,keyasint"`
	Incarnation      int64            `cbor:"2,keyasint"` // Start time of the process, Unix milliseconds.
	Address          string           `cbor:"3,keyasint"` // Address of the sender's peer listener.
	Domain           string           `cbor:"4,keyasint,omitempty"`
	StoreUnreachable bool             `cbor:"5,keyasint,omitempty"` // The sender gets no answer from the store.
	KnownGateways    []DomainGateways `cbor:"6,keyasint,omitempty"` // Other gateways; at most MaxKnownGateways.
	Leaving          bool             `cbor:"7,keyasint,omitempty"`
	IsAnswer         bool             `cbor:"8,keyasint,omitempty"` // Set if it answers a hello; it is not answered itself.
	QueriedDomain    string           `cbor:"9,keyasint,omitempty"` // Failure domain whose gateways the answer should list.
	// GatewayCount is how many gateways the sender knows, itself included.
	GatewayCount int `cbor:"10,keyasint,omitempty"`
	// Previous is what the sender of an answer last received from an earlier incarnation of the
	// receiver.
	Previous *PreviousIncarnation `cbor:"11,keyasint,omitempty"`
	// GatewaysObserved is the sender's estimate of how many gateways are alive at most, without what
	// others have told it; 0 if it has none.
	GatewaysObserved int `cbor:"12,keyasint,omitempty"`
}

// PreviousIncarnation describes the last message of an earlier incarnation of a gateway.
type PreviousIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64    // As in Hello.
	AgeMs       int64    // Since its last message.
	Leaving     bool     // It was shutting down as planned.
}

// Age returns how long ago the last message was received.
func (b PreviousIncarnation) Age() time.Duration { return time.Duration(b.AgeMs) * time.Millisecond }

// DomainGateways lists gateways of one failure domain that the sender of a Hello knows.
type DomainGateways struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Gateways []KnownGateway
}

// KnownGateway is another gateway that the sender of a Hello knows.
type KnownGateway struct {
	_                struct{} `cbor:",toarray"`
	Address          []byte   // Peer listener: IP address and port, as encoded by netip.AddrPort.MarshalBinary.
	AgeMs            int64    // Since its last message.
	StoreUnreachable bool     // As in Hello.
	Leaving          bool
}

// PeerAddress returns the address of the gateway's peer listener.
func (g KnownGateway) PeerAddress() (a netip.AddrPort, err error) {
	err = a.UnmarshalBinary(g.Address)
	return a, errors.Wrap(err, "gateway listed by another gateway")
}

// Age returns how long ago the gateway's last message was received.
func (g KnownGateway) Age() time.Duration { return time.Duration(g.AgeMs) * time.Millisecond }

// PackAddress encodes an address, IP address and port, for use in messages.
func PackAddress(address string) (raw []byte, err error) {
	defer func() { err = errors.Wrapf(err, "address %q", address) }()
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return a.MarshalBinary()
}

// MaxKnownGateways is how many gateways one Hello lists at most, so that it fits into a packet of
// 1,400 bytes.
const MaxKnownGateways = 48

// Load reports the load of an engine.
type Load struct {
	Address   string  `cbor:"1,keyasint"` // Of the engine, as IP:port.
	Running   int     `cbor:"2,keyasint,omitempty"`
	Waiting   int     `cbor:"3,keyasint,omitempty"`
	Group     string  `cbor:"4,keyasint,omitempty"`
	Closed    bool    `cbor:"5,keyasint,omitempty"`
	Slowdown  float64 `cbor:"6,keyasint,omitempty"`
	PassMs    int     `cbor:"7,keyasint,omitempty"`  // Smoothed duration of a pass, in milliseconds.
	Forward   bool    `cbor:"8,keyasint,omitempty"`  // The receiver forwards it to the other gateways of its failure domain.
	StartedAt int64   `cbor:"9,keyasint,omitempty"`  // Start time of the engine process, Unix milliseconds; 0 if not reported.
	Epoch     uint64  `cbor:"10,keyasint,omitempty"` // Of the group; it changes when the group re-forms.
	// GatewayCount is how many gateways the sender knows; 0 if not reported.
	GatewayCount int `cbor:"11,keyasint,omitempty"`
}

// Loads reports the loads of ranks of one group, as polled by its leader. It contains only ranks
// that are in the group's epoch, and thus in their newest incarnation.
type Loads struct {
	Group   string     `cbor:"1,keyasint"`
	Closed  bool       `cbor:"2,keyasint,omitempty"`
	PassMs  int        `cbor:"3,keyasint,omitempty"`
	Forward bool       `cbor:"4,keyasint,omitempty"` // As in Load.
	Ranks   []RankLoad `cbor:"5,keyasint"`           // At most MaxRankLoads.
	// Epoch and GatewayCount are as in Load.
	Epoch        uint64 `cbor:"6,keyasint,omitempty"`
	GatewayCount int    `cbor:"7,keyasint,omitempty"`
	// LimitPerRank is how many requests a rank may hold on average; 0 if unknown.
	LimitPerRank float32 `cbor:"8,keyasint,omitempty"`
}

// MaxRankLoads is how many ranks one Loads contains at most, so that it fits into a packet of 1,400
// bytes.
const MaxRankLoads = 80

// RankLoad is the load of one rank.
type RankLoad struct {
	_        struct{} `cbor:",toarray"`
	Address  []byte   // Of the engine: IP address and port, as encoded by netip.AddrPort.MarshalBinary.
	Running  int
	Waiting  int
	Slowdown float32 // Above 1 if the rank is slow.
}

// EngineAddress returns the address of the rank's engine.
func (l RankLoad) EngineAddress() (a netip.AddrPort, err error) {
	err = a.UnmarshalBinary(l.Address)
	return a, errors.Wrap(err, "load of a rank")
}

// Lead announces that a sidecar leads its group.
type Lead struct {
	Group      string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Rank       int    `cbor:"3,keyasint"`
	Fence      uint64 `cbor:"4,keyasint"`
	SendsLoads bool   `cbor:"5,keyasint,omitempty"` // The sender has recently sent gateways the loads of all ranks.
}

// End reports that an endpoint's process ended while it ran a request.
type End struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte   // Identifies all requests that are equal.
	Endpoint    string   // One incarnation of it.
	KnownBefore int      // What was known when the request was sent, as a quarantine.Knowledge.
	Void        bool     // The end no longer counts.
	AgeMs       int64    // Since the process ended.
}

// PartEnd reports that an endpoint's process ended while it ran a request with a part, which the key
// identifies.
type PartEnd struct {
	_           struct{} `cbor:",toarray"`
	End         End
	SoundBefore bool // Requests with the part had completed shortly before.
}

// EndBatch is the ends that one message contains, at most MaxEnds of both kinds together.
type EndBatch struct {
	Ends     []End     `cbor:"5,keyasint,omitempty" json:"ends,omitempty"`
	PartEnds []PartEnd `cbor:"8,keyasint,omitempty" json:"part-ends,omitempty"`
}

// Len returns the number of ends.
func (b EndBatch) Len() int { return len(b.Ends) + len(b.PartEnds) }

// MaxEnds is how many ends one message contains at most, so that it fits into a packet of 1,400
// bytes together with a Hello.
const MaxEnds = 12

// Limit reports what an endpoint's answer to a gateway said about its rate limit.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  string   // One incarnation of it.
	Limited   bool     // Whether the answer states a limit.
	PerSecond float64  // Requests per second from all gateways together.
	AgeMs     int64    // Since the answer.
}

// Age returns how long ago the answer was received.
func (l Limit) Age() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// MaxLimits is how many limits one message contains at most, so that it fits into a packet of 1,400
// bytes.
const MaxLimits = 24

// Lending sends another gateway requests for, and answers about, shares of rate limits.
type Lending struct {
	Address string         `cbor:"1,keyasint"` // Address of the sender's peer listener.
	Shares  []ShareMessage `cbor:"2,keyasint"` // At most MaxShares.
}

// ShareMessage is a message on one gateway's share of an endpoint's rate limit.
type ShareMessage struct {
	_             struct{} `cbor:",toarray"`
	Kind          int      // A throttle.Kind.
	Endpoint      string   // One incarnation of it.
	RequestNumber int64    // Number of the request for the share.
	Tokens        float64  // Tokens that are transferred with the share.
	LeaseMs       int64    // Time for which the share is lent.
}

// LeaseTime returns for how long the share is lent.
func (p ShareMessage) LeaseTime() time.Duration { return time.Duration(p.LeaseMs) * time.Millisecond }

// MaxShares is how many shares one message contains at most, so that it fits into a packet of 1,400
// bytes.
const MaxShares = 20

// SidecarAddress returns the address of the sidecar of an engine. It listens on the engine's
// instance, on a port that is the same everywhere.
func SidecarAddress(engine string, port int) (a netip.AddrPort, err error) {
	defer func() { err = errors.Wrapf(err, "sidecar of engine %q", engine) }()
	at, err := netip.ParseAddrPort(engine)
	if err != nil {
		return a, err
	}
	return netip.AddrPortFrom(at.Addr(), uint16(port)), nil
}

// Idle timeouts of connections for calls between processes. The client's timeout is much shorter
// than the server's, so that no call is sent on a connection that the server is closing.
const (
	ClientIdleTimeout = 30 * time.Second
	ServerIdleTimeout = 3 * ClientIdleTimeout
)

// maxDatagramBytes is larger than any valid message; longer ones are dropped.
const maxDatagramBytes = 8 << 10

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Listen opens a socket at address; cleanup closes it.
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

// Address returns the local address of the socket.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a message, which may be lost.
func (s *Socket) Send(to netip.AddrPort, m Message) { s.SendAll([]netip.AddrPort{to}, m) }

// SendAll sends a message to each address of a list. Each copy may be lost.
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

// Run calls handle for each received message until ctx ends.
func (s *Socket) Run(ctx context.Context, handle func(from netip.AddrPort, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Debug("cannot receive message", zap.String("error", err.Error()))
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			s.log.Warn("malformed message dropped", zap.String("from", from.String()), zap.String("error", err.Error()))
			continue
		}
		handle(from, m)
	}
}
