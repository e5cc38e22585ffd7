// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/node"
)

func TestStatusPrintsRetryBudgets(t *testing.T) {
	g := NewWithT(t)
	status := node.Status{Name: "front-1", Role: "gateway", RetryBudgets: []retry.Report{{
		Service: "drafts", Usage: retry.Usage{Requests: 75, Retries: 19, Denied: 4, Tokens: 0.4, PerRequest: 0.194, PerWindow: 4, Gateways: 32}, AgeS: 14.6, Exhausted: true,
	}}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { httpjson.Reply(w, status) }))
	defer srv.Close()
	var out bytes.Buffer
	g.Expect(Main([]string{"status", srv.Listener.Addr().String()}, &out, &out)).To(Equal(exitOK), out.String())
	g.Expect(out.String()).To(ContainSubstring("front-1"))
	g.Expect(out.String()).To(ContainSubstring("retries of drafts exhausted: 75 requests, 19 retries, 4 denied, 0.4 tokens; earns 0.19 a request, 4.0 a window; 32 gateways, process up 14.6 s"))
}
