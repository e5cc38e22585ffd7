// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package settings

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const gatewayText = `[instance]
name = g1
domain = a
role = gateway

[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
peers = 10.0.0.1:82
source = 10.0.0.1
sidecars-port = 7000

[platform]
store = 10.0.0.9:90
seeds = 10.0.0.1:82,10.0.0.2:82

[bounds]
revocation = 5000ms
grace = 8s
retry-share = 0.2
retry-window = 10s
retry-spare = 90
fences = true
`

func TestFleetSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := ParseFleet("g.ini", []byte(gatewayText))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Role).To(Equal(Gateway))
	g.Expect(s.Seeds).To(Equal([]string{"10.0.0.1:82", "10.0.0.2:82"}))
	g.Expect(s.RevocationTime).To(Equal(5 * time.Second))
	g.Expect(s.RetryFloor).To(Equal(90.0))
}

func TestFleetSettingsNameEveryFault(t *testing.T) {
	for _, tc := range []struct{ name, from, to, fault string }{
		{"no role", "role = gateway", "", "g.ini:1: [instance] role: must be set"},
		{"another role", "role = gateway", "role = king", `g.ini:4: [instance] role: "king" is neither gateway nor sidecar`},
		{"a name for a number", "10.0.0.9:90", "store.example:90", `g.ini:14: [platform] store: "store.example:90" is not IP:PORT`},
		{"a bad seed", "10.0.0.2:82", "here", `g.ini:15: [platform] seeds: "here" is not IP:PORT`},
		{"a bad time", "grace = 8s", "grace = soon", `g.ini:19: [bounds] grace: "soon" is not a duration such as 250ms`},
		{"a key not known", "fences = true", "fence = true", "g.ini:23: [bounds] fence: unknown key"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseFleet("g.ini", []byte(strings.Replace(gatewayText, tc.from, tc.to, 1)))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(tc.fault)))
		})
	}
}

// The platform gives its bounds as whole numbers or as fractions.
func TestFleetSettingsMayBeFractions(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer("retry-spare = 90", "retry-spare = 34.10526315789474", "role = gateway", "role = gateway\nmemory-mb = 183.5\nlink-mbps = 40.5").Replace(gatewayText)
	s, err := ParseFleet("f", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RetryFloor).To(BeNumerically("~", 34.1, 0.01))
	g.Expect(s.MemoryLimitMB).To(BeNumerically("~", 183.5, 0.01))
	g.Expect(s.LinkRate).To(BeNumerically("~", 40.5e6/8, 1))
}
