// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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
			s := NewService(url, kept, &http.Client{Transport: NewSingleUseTransport("")})
			_, err := s.Do(context.Background(), Call{Method: http.MethodGet, Path: "/warm"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			call.SendOnce = once
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
	c := &http.Client{Transport: NewSingleUseTransport("")}
	_, err = NewService("http://"+l.Addr().String(), c, c).Do(context.Background(), Call{Method: http.MethodPost, Path: "/"})
	g.Expect(NotSent(err)).To(gomega.BeTrue())
}

// raw is a server that gives each request the same bytes and then ends the
// connection in order, as it ends with a process.
func raw(t *testing.T, answer string) (url string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = rw.WriteString(answer)
		_ = rw.Flush()
		_ = c.Close()
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func TestAnAnswerCutShortIsNoAnswer(t *testing.T) {
	ctx := context.Background()
	kept, single := &http.Client{Transport: NewTransport("")}, &http.Client{Transport: NewSingleUseTransport("")}
	service := func(call Call) func(url string) error {
		return func(url string) error {
			_, err := NewService(url, kept, single).Do(ctx, call)
			return err
		}
	}
	readers := map[string]func(url string) error{
		"record":         service(Call{Method: http.MethodGet, Path: "/"}),
		"payment":        service(Call{Method: http.MethodPost, Path: "/", Body: []byte("x"), SendOnce: true}),
		"engine state":   func(url string) error { _, err := NewEngine(url, kept).State(ctx); return err },
		"engine experts": func(url string) error { _, err := NewEngine(url, kept).Experts(ctx); return err },
		"engine order":   func(url string) error { _, err := NewEngine(url, kept).Order(ctx, MapOrder{}); return err },
		"KV cache":       func(url string) error { _, err := NewEngine(url, kept).Export(ctx, "r"); return err },
		"configuration":  func(url string) error { _, err := NewConfigService(url, kept).Get(ctx, "k"); return err },
		"watch":          func(url string) error { _, err := NewConfigService(url, kept).Watch(ctx, "k", ""); return err },
		"instances":      func(url string) error { _, err := NewInstances(url, kept).List(ctx); return err },
	}
	for how, answer := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"a\":",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"a\":",
		"in HTTP/1.0":      "HTTP/1.0 200 OK\r\n\r\n{\"a\":",
	} {
		url := raw(t, answer)
		for what, read := range readers {
			t.Run(what+"/"+how, func(t *testing.T) {
				gomega.NewWithT(t).Expect(read(url)).To(gomega.HaveOccurred())
			})
		}
	}
}

func TestAnAnswerWithoutABodyIsWhole(t *testing.T) {
	for name, one := range map[string]struct{ method, answer string }{
		"no content":                {http.MethodPost, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"},
		"not modified":              {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n"},
		"HEAD without a length":     {http.MethodHead, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		"HEAD with a length":        {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
		"HTTP/1.0 with a length":    {http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"HTTP/1.1 closing, chunked": {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &http.Client{Transport: NewSingleUseTransport("")}
			_, err := NewService(raw(t, one.answer), c, c).Do(context.Background(), Call{Method: one.method, Path: "/"})
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

func TestAnAnswerLargerThanTheBoundIsNoAnswer(t *testing.T) {
	for _, over := range []int{0, 1} {
		t.Run(strconv.Itoa(over), func(t *testing.T) {
			body := strings.Repeat("x", maxAnswer+over)
			url := raw(t, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
			cache, err := NewEngine(url, http.DefaultClient).Export(context.Background(), "r")
			gomega.NewWithT(t).Expect(err != nil).To(gomega.Equal(over > 0), "%v", err)
			gomega.NewWithT(t).Expect(err != nil || len(cache) == len(body)).To(gomega.BeTrue())
		})
	}
}
