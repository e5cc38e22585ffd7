// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Guards against a fault of the entry's own that closes a connection under a request.
func TestAPanicIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.play(func(a try) { a.whole(3) })
	r.faulty.Store(true)
	a := r.ask(dialects[0], http.MethodPost, "/v1/chat/completions", r.chat(false), "", nil)
	g.Expect(a.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(a.outcome()).To(gomega.Equal(wire.Unknown))
}
