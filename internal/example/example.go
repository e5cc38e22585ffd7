// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package example describes small sites: the configuration that the operators
// publish, the stand-ins and the settings of each process. The demonstration,
// the README and the tests use it. It starts no processes itself.
package example

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/published"
)

// User is one of the first two users of the load balancer, which a site resembles.
type User string

// The users.
const (
	Archive    User = "archive"
	RefundDesk User = "refunds"
)

// Process is one daemon of a site. Addresses are IP:port.
type Process struct {
	Name              string
	Role              string
	Domain            string
	Endpoint          string
	SourceIP          string // Source IP address of its connections, the same for all processes of a failure domain.
	AdvertisedAddress string // Relay in front of the peer listener; peers connect to it.
	PeerAddress       string // Peer listener.
	OperatorAddress   string
	CallerAddress     string
	BackendAddress    string // Engine or service of an agent.
}

// Site describes the processes and the configuration of one site.
type Site struct {
	User               User
	Model              string
	Path               string // Path of the plain service.
	Domains            []string
	Entries            []Process
	Agents             []Process
	Groups             map[string][]Process // By group name, in order of rank.
	DirectoryAddresses map[string]string    // Address of the stand-in for the platform services, by failure domain.
	SourceIPs          map[string]string    // Source IP address of connections, by failure domain.
	ControlAddress     string               // Control listener of the stand-ins.
	Customers          []Customer
	RebalanceInterval  time.Duration // Published setting rebalance-every of the groups.
	MaxConcurrency     int           // Requests that an agent runs at once; 0 for the default of the daemon.
	GossipInterval     time.Duration // Time between two probes; 0 for 200 ms.
	TLSDir             string        // Directory of ca.crt and each process's certificate and key; "" for no TLS.
	VerifyKey          ed25519.PublicKey
	SigningKey         ed25519.PrivateKey
}

// Customer is a caller with its bearer key and its rate limit.
type Customer struct {
	Name string
	Key  string
	Rate float64
}

// Size is the number of processes and customers of a site.
type Size struct {
	Domains           int
	EntriesPerDomain  int
	RanksPerDomain    int // Each failure domain has one group.
	ServicesPerDomain int
	Customers         int
}

// FullSize is the present size of each user's site.
var FullSize = Size{Domains: 3, EntriesPerDomain: 2, RanksPerDomain: 4, ServicesPerDomain: 1, Customers: 10}

// MinimalSize is the smallest site with a process of each kind.
var MinimalSize = Size{Domains: 1, EntriesPerDomain: 1, RanksPerDomain: 1, ServicesPerDomain: 1, Customers: 2}

// New returns the description of a site; it starts no process. The addresses have ports
// that were free on this host: New reserves them and releases them before it returns. The
// seed determines the signing key, one of only 26.
func New(user User, size Size, seed byte) (s *Site, err error) {
	defer func() { err = errors.Wrap(err, "create example site") }()
	s = &Site{User: user, Groups: map[string][]Process{}, DirectoryAddresses: map[string]string{}, SourceIPs: map[string]string{}}
	city := "krk"
	s.Model, s.Path = "plates", "/catalogue/"
	if user == RefundDesk {
		city = "sof"
		s.Model, s.Path = "receipts", "/payments/"
	}
	s.SigningKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+seed%26)), ed25519.SeedSize)))
	s.VerifyKey = s.SigningKey.Public().(ed25519.PublicKey)
	p := newPorts()
	defer p.release()
	s.ControlAddress = p.reserve()
	for d := range size.Domains {
		domain := fmt.Sprintf("%s-%c", city, 'a'+d)
		s.Domains = append(s.Domains, domain)
		s.DirectoryAddresses[domain] = p.reserve()
		s.SourceIPs[domain] = fmt.Sprintf("127.0.%d.1", d+1)
		s.addDomain(domain, size, p)
	}
	for i := range size.Customers {
		name := fmt.Sprintf("%s-%d", user, i+1)
		c := Customer{Name: name, Key: "key-of-" + name, Rate: 1000}
		s.Customers = append(s.Customers, c)
	}
	return s, p.err
}

func (s *Site) addDomain(domain string, size Size, p *ports) {
	for i := range size.EntriesPerDomain {
		s.Entries = append(s.Entries, Process{
			Name: fmt.Sprintf("%s-entry-%d", domain, i+1), Role: "entry", Domain: domain,
			SourceIP: s.SourceIPs[domain], AdvertisedAddress: p.reserve(), PeerAddress: p.reserve(), OperatorAddress: p.reserve(), CallerAddress: p.reserve(),
		})
	}
	group := "group-" + domain
	for i := range size.RanksPerDomain {
		a := s.addAgent(domain, fmt.Sprintf("%s-rank-%d", domain, i), p)
		s.Groups[group] = append(s.Groups[group], a)
	}
	for i := range size.ServicesPerDomain {
		s.addAgent(domain, fmt.Sprintf("%s-svc-%d", domain, i+1), p)
	}
}

func (s *Site) addAgent(domain, endpoint string, p *ports) Process {
	a := Process{
		Name: endpoint + "-vm1", Role: "endpoint", Domain: domain, Endpoint: endpoint,
		SourceIP: s.SourceIPs[domain], AdvertisedAddress: p.reserve(), PeerAddress: p.reserve(), OperatorAddress: p.reserve(), BackendAddress: p.reserve(),
	}
	s.Agents = append(s.Agents, a)
	return a
}

// IsRank reports whether p is the agent of an engine.
func (s *Site) IsRank(p Process) bool {
	return strings.Contains(p.Endpoint, "-rank-")
}

// ports reserves free ports by listening on them until release. Between release and
// the start of the site's processes, another program could take the ports. They are
// therefore ports of a loopback address that hardly any other program uses: most
// programs, including tests that run at the same time, listen on 127.0.0.1.
type ports struct {
	ip        string // Loopback address, drawn at random for each site.
	listeners []net.Listener
	err       error
}

// Addresses of sites are drawn from 127.64.0.1 to 127.127.255.1 and end in .1.
const (
	minSecondOctet   = 64
	secondOctetCount = 64
)

func newPorts() *ports {
	return &ports{ip: fmt.Sprintf("127.%d.%d.1", minSecondOctet+rand.IntN(secondOctetCount), rand.IntN(256))}
}

func (p *ports) reserve() string {
	l, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
	if err != nil {
		p.err = err
		return ""
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String()
}

func (p *ports) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// policies are the published policies of the users.
var policies = map[User]string{
	Archive: `; Streams that pace a researcher go before scripts.
[policy]
priority = class == "script" ? 1 : (class == "batch" ? 0 : 5)
retry = attempt < 3
move = reason != "endpoint is leaving"
retry-share = 0.1
skew-price = 10
move-price = 1
`,
	RefundDesk: `; Kiosks before tills, tills before the office.
[policy]
priority = class == "kiosk" ? 9 : (class == "till" ? 6 : 1)
retry = attempt < 3 && (deadline_ms == 0 || deadline_ms > 500)
move = tokens < 2000
retry-share = 0.05
skew-price = 1
move-price = 10
`,
}

// Published returns the configuration values that the site's operators publish.
func (s *Site) Published() map[string][]byte {
	values := map[string][]byte{}
	policy := string(s.User)
	values["policy/"+policy+".ini"] = []byte(policies[s.User])
	for _, c := range s.Customers {
		sum := sha256.Sum256([]byte(c.Key))
		values["customer/"+c.Name+".ini"] = fmt.Appendf(nil,
			"[customer]\nkey-hash = %s\npolicy = %s\nrate = %v\nburst = %v\n",
			hex.EncodeToString(sum[:]), policy, c.Rate, c.Rate)
	}
	for name, ranks := range s.Groups {
		text := fmt.Appendf(nil, "[group]\nmodel = %s\nexperts = 64\nslots = %d\npolicy = %s\nrebalance-every = %v\n",
			s.Model, min(64, 64/len(ranks)+4), policy, s.RebalanceInterval)
		for i, r := range ranks {
			text = fmt.Appendf(text, "\n[endpoint %s]\ndomain = %s\nrank = %d\n", r.Endpoint, r.Domain, i)
		}
		values["group/"+name+".ini"] = text
	}
	values["site/site.ini"] = fmt.Appendf(nil, "[site]\nentries = %d\n", len(s.Entries))
	text := fmt.Appendf(nil, "[service]\npath = %s\nnot-repeatable = POST\ntimeout = 5s\n", s.Path)
	for _, a := range s.Agents {
		if !s.IsRank(a) {
			text = fmt.Appendf(text, "\n[endpoint %s]\ndomain = %s\n", a.Endpoint, a.Domain)
		}
	}
	values["service/"+strings.Trim(s.Path, "/")+".ini"] = text
	return values
}

// Pack returns the signed manifest of a generation of values.
func (s *Site) Pack(generation uint64, parent string, values map[string][]byte) published.Manifest {
	return published.Pack(generation, parent, values, s.SigningKey)
}

// Settings returns the settings file of the process p.
func (s *Site) Settings(p Process) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nname = %s\nrole = %s\ndomain = %s\n", p.Name, p.Role, p.Domain)
	if p.Endpoint != "" {
		fmt.Fprintf(&b, "endpoint = %s\n", p.Endpoint)
	}
	fmt.Fprintf(&b, "\n[listen]\npeers = %s\noperators = %s\nadvertise = %s\nsource = %s\n",
		p.PeerAddress, p.OperatorAddress, p.AdvertisedAddress, p.SourceIP)
	if p.CallerAddress != "" {
		fmt.Fprintf(&b, "callers = %s\n", p.CallerAddress)
	}
	directory := "http://" + s.DirectoryAddresses[p.Domain]
	fmt.Fprintf(&b, "\n[platform]\nconfig-service = %s\ninstances = %s\noperator-key = %s\n",
		directory, directory, base64.StdEncoding.EncodeToString(s.VerifyKey))
	if p.BackendAddress != "" {
		kind := "service"
		if s.IsRank(p) {
			kind = "engine"
		}
		fmt.Fprintf(&b, "\n[endpoint]\n%s = http://%s\n", kind, p.BackendAddress)
		if s.MaxConcurrency > 0 {
			fmt.Fprintf(&b, "max-concurrency = %d\nstep-target = 0s\n", s.MaxConcurrency)
		}
	}
	if s.TLSDir != "" {
		fmt.Fprintf(&b, "\n[tls]\nca = %[1]s/ca.crt\ncertificate = %[1]s/%[2]s.crt\nprivate-key = %[1]s/%[2]s.key\n", s.TLSDir, p.Name)
	}
	gossip := s.GossipInterval
	if gossip == 0 {
		gossip = 200 * time.Millisecond
	}
	fmt.Fprintf(&b, "\n[timing]\ngossip-interval = %v\nsuspect-after = %v\nclock-skew = 100ms\n", gossip, max(time.Second, 3*gossip))
	return []byte(b.String())
}

// StandinSettings returns the settings file of the stand-ins; bundle is the file of the
// generation that they publish at the start, or "".
func (s *Site) StandinSettings(bundle string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[standin]\ncontrol = %s\nbundle = %s\n", s.ControlAddress, bundle)
	for _, d := range s.Domains {
		fmt.Fprintf(&b, "\n[view %s]\naddress = %s\n", d, s.DirectoryAddresses[d])
	}
	for name, ranks := range s.Groups {
		fmt.Fprintf(&b, "\n[group %s]\nstep = 5ms\nranks =", name)
		for _, r := range ranks {
			fmt.Fprintf(&b, " %s", r.BackendAddress)
		}
		b.WriteString("\n")
	}
	for _, a := range s.Agents {
		if !s.IsRank(a) {
			fmt.Fprintf(&b, "\n[service %s]\naddress = %s\n", a.Endpoint, a.BackendAddress)
		}
	}
	for _, p := range append(append([]Process(nil), s.Entries...), s.Agents...) {
		fmt.Fprintf(&b, "\n[instance %s]\nrole = %s\ndomain = %s\naddress = %s\n", p.Name, p.Role, p.Domain, p.AdvertisedAddress)
		fmt.Fprintf(&b, "relay-to = %s\nsource = %s\n", p.PeerAddress, p.SourceIP)
		if p.Endpoint != "" {
			fmt.Fprintf(&b, "endpoint = %s\n", p.Endpoint)
		}
	}
	return []byte(b.String())
}
