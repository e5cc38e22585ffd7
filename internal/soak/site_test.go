// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSitePortsAreOutsideEphemeralRange guards against "address already in use" when a process
// restarts: the port of an outgoing connection could then be one that the process listens on.
func TestSitePortsAreOutsideEphemeralRange(t *testing.T) {
	g := NewWithT(t)
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(HaveOccurred())
	var first, last int
	_, err = fmt.Sscan(string(raw), &first, &last)
	g.Expect(err).NotTo(HaveOccurred())
	s := &site{netPrefix: uniqueNetPrefix()}
	seen := map[int]bool{}
	for range 20 {
		list, err := s.listen(s.ip(1), s.ip(2))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(2))
		for _, l := range list {
			t.Cleanup(func() { _ = l.Close() })
		}
		port := list[0].Addr().(*net.TCPAddr).Port
		g.Expect(list[1].Addr().(*net.TCPAddr).Port).To(Equal(port))
		g.Expect(seen).NotTo(HaveKey(port))
		seen[port] = true
		g.Expect(port < first || port > last).To(BeTrue(), "port %d", port)
	}
}
