// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httphead_test

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"io/fs"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
)

// get reads an answer to its end with a client that keeps connections.
func get(t *testing.T, address string) (err error) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err
	}
	resp, err := httphead.NewClient(transport).Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func TestClientRejectsNamesThatAreNotTokens(t *testing.T) {
	headtest.ExpectRejected(t, "{}", headtest.Names(), get)
}

func TestClientRejectsStatusesThatAreNone(t *testing.T) {
	headtest.ExpectRejected(t, "{}", headtest.Statuses(), get)
}

func TestClientRejectsOtherVersions(t *testing.T) {
	headtest.ExpectRejected(t, "{}", headtest.Versions(), get)
}

func TestClientRejectsHeadsThatAreCut(t *testing.T) {
	whole := headtest.Head{Before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Framed: true}.Raw("A: b\r\n", "{}")
	for n := range len(whole) { // Including the body, whose length is known.
		address, cleanup := headtest.Serve(t, whole[:n])
		NewWithT(t).Expect(get(t, address)).NotTo(Succeed(), "cut after %q", whole[:n])
		cleanup()
	}
}

// What follows a malformed head cannot be trusted, although the answer seems to have ended.
func TestClientClosesTheConnectionOfAMalformedHead(t *testing.T) {
	for name, raw := range map[string]string{
		"final answer":   "HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 0\r\n\r\n",
		"interim answer": "HTTP/1.1 103 X\r\nX A: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: v\r\n\r\n",
		"long interim":   strings.Repeat("HTTP/1.1 103 X\r\nA: "+strings.Repeat("x", 20<<10)+"\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"many interim":   strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var srv errgroup.Group
			srv.Go(func() error {
				c, err := l.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = c.Close() }()
				if _, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
					return err
				}
				_, _ = io.WriteString(c, raw) // The client may have closed the connection.
				_, _ = io.Copy(io.Discard, c) // Returns once the client has closed the connection.
				return nil
			})
			transport := &http.Transport{MaxResponseHeaderBytes: 32 << 10}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := httphead.NewClient(transport).Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(srv.Wait()).To(Succeed(), "the connection is not kept")
			g.Expect(l.Close()).To(Succeed())
		})
	}
}

// Parsers quote what they reject.
func TestClientsErrorsAreBounded(t *testing.T) {
	headtest.ExpectRejected(t, "{}", []headtest.Head{{Name: "long line", Fields: strings.Repeat("x", 20_000) + "\r\n"}}, func(t *testing.T, address string) error {
		err := get(t, address)
		if err != nil {
			NewWithT(t).Expect(len(err.Error())).To(BeNumerically("<", 500))
		}
		return err
	})
}

// readers are the files whose answers are not read by a client of this package: the package itself,
// and the tools that check answers as callers do.
var readers = []string{"internal/httphead/", "internal/soak/", "review/"}

// Every answer that the product reads is checked.
func TestNoAnswerIsReadWithoutAClientOfThisPackage(t *testing.T) {
	g := NewWithT(t)
	const root = "../.."
	var found []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		for _, prefix := range readers {
			if strings.HasPrefix(file, prefix) {
				return nil
			}
		}
		fset := token.NewFileSet()
		tree, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			unchecked := false
			switch n := n.(type) {
			case *ast.CompositeLit:
				unchecked = types.ExprString(n.Type) == "http.Client"
			case *ast.SelectorExpr:
				unchecked = slices.Contains([]string{"http.DefaultClient", "http.DefaultTransport", "http.ReadResponse", "http.Get", "http.Post", "http.PostForm", "http.Head"}, types.ExprString(n))
			}
			if unchecked {
				found = append(found, fset.Position(n.Pos()).String())
			}
			return true
		})
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeEmpty())
}
