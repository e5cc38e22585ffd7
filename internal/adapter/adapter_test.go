// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// breaking is a server that answers the first request and then breaks each
// kept connection after it has read a request from it.
func breaking(t *testing.T) (url string, runs *atomic.Int32) {
	t.Helper()
	runs = &atomic.Int32{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.URL, runs
}

// TestTransportRepeatsByItself shows what the client "single" is for: over a
// kept connection net/http sends some requests again, though the first copy
// was read by the server.
func TestTransportRepeatsByItself(t *testing.T) {
	check := func(name string, once bool, call Call, want int32) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			url, runs := breaking(t)
			kept := &http.Client{Transport: NewTransport("")}
			s := NewService(url, kept, &http.Client{Transport: NewSingleTransport("")})
			_, err := s.Do(context.Background(), Call{Method: http.MethodGet, Path: "/warm"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			call.Once = once
			_, err = s.Do(context.Background(), call)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(NotSent(err)).To(gomega.BeFalse())
			g.Expect(runs.Load()-1).To(gomega.Equal(want), "runs of the call")
		})
	}
	record := Call{Method: http.MethodGet, Path: "/record"}
	payment := Call{Method: http.MethodPost, Path: "/pay", Key: "k", Body: []byte("x")}
	check("naive: a record handed out over a kept connection", false, record, 2)
	check("naive: a payment with a key over a kept connection", false, payment, 2)
	check("record handed out once", true, record, 1)
	check("payment with a key once", true, payment, 1)
}

func TestNotSentOnlyWhenNobodyListens(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = l.Close()
	c := &http.Client{Transport: NewSingleTransport("")}
	_, err = NewService("http://"+l.Addr().String(), c, c).Do(context.Background(), Call{Method: http.MethodPost, Path: "/"})
	g.Expect(NotSent(err)).To(gomega.BeTrue())
}
