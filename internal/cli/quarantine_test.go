// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

func TestQuarantineListsAndReleasesParts(t *testing.T) {
	g := NewWithT(t)
	set := suspects.New(zap.NewNop(), metrics.NewRegistry())
	request, part := quarantine.KeyOf("POST", "h", "/p", "c", nil), quarantine.PartKeyOf("m", "5ea1")
	now := time.Now()
	for _, id := range []string{"i-1", "i-2"} {
		set.RecordEnds(id, []suspects.Attempt{{Whole: request, Parts: []quarantine.Key{part}}}, now)
	}
	mux := http.NewServeMux()
	set.AddHandlers(mux, func() time.Time { return now })
	srv := httptest.NewServer(mux)
	defer srv.Close()
	run := func(args ...string) (code int, text string) {
		var out bytes.Buffer
		code = Main(append([]string{"quarantine"}, append(args, srv.Listener.Addr().String())...), &out, &out)
		return code, out.String()
	}

	code, text := run()
	g.Expect(code).To(Equal(exitOK), text)
	g.Expect(text).To(ContainSubstring(part.String() + " part    held"))
	g.Expect(text).To(ContainSubstring("i-2"))
	g.Expect(text).NotTo(ContainSubstring(request.String()), "it is free")
	_, text = run("--all")
	g.Expect(text).To(ContainSubstring(request.String()))
	code, text = run("--release", part.String())
	g.Expect(code).To(Equal(exitOK), text)
	code, text = run("--release", part.String())
	g.Expect(code).NotTo(Equal(exitOK), text)
	code, text = run()
	g.Expect(code).To(Equal(exitOK), text)
	g.Expect(text).To(BeEmpty())
}
