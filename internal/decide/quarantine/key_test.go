// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestKeysDistinguishRequests(t *testing.T) {
	base := KeyOf("POST", "h", "/a/b?c", "customer", []byte("body"))
	for name, other := range map[string]Key{
		"method":        KeyOf("PUT", "h", "/a/b?c", "customer", []byte("body")),
		"host":          KeyOf("POST", "g", "/a/b?c", "customer", []byte("body")),
		"path":          KeyOf("POST", "h", "/a/c?c", "customer", []byte("body")),
		"query":         KeyOf("POST", "h", "/a/b?d", "customer", []byte("body")),
		"customer":      KeyOf("POST", "h", "/a/b?c", "other", []byte("body")),
		"body":          KeyOf("POST", "h", "/a/b?c", "customer", []byte("bodies")),
		"part's bounds": KeyOf("POST", "h", "/a/b?ccus", "tomer", []byte("body")),
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(other).NotTo(Equal(base))
		})
	}
	NewWithT(t).Expect(KeyOf("POST", "h", "/a/b?c", "customer", []byte("body"))).To(Equal(base))
}
