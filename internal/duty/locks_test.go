// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package duty

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"strings"
	"testing"
)

// calledMethod returns the receiver and the method that a statement such as x.Lock() or, when
// deferred is set, defer x.Unlock() calls, as source text.
func calledMethod(s ast.Stmt, deferred bool) (receiver, method string) {
	var x ast.Expr
	switch s := s.(type) {
	case *ast.ExprStmt:
		x = s.X
	case *ast.DeferStmt:
		x = s.Call
	}
	if _, ok := s.(*ast.DeferStmt); ok != deferred {
		return "", ""
	}
	call, ok := x.(*ast.CallExpr)
	if !ok {
		return "", ""
	}
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	return types.ExprString(sel.X), sel.Sel.Name
}

// locksWithoutDeferredUnlock returns the positions of statements that lock a mutex and are not
// directly followed by its deferred unlock.
func locksWithoutDeferredUnlock(fset *token.FileSet, file *ast.File) (places []string) {
	check := func(list []ast.Stmt) {
		for i, s := range list {
			receiver, lock := calledMethod(s, false)
			if lock != "Lock" && lock != "RLock" {
				continue
			}
			unlock := strings.Replace(lock, "L", "Unl", 1)
			if i+1 < len(list) {
				if x, m := calledMethod(list[i+1], true); x == receiver && m == unlock {
					continue
				}
			}
			places = append(places, fset.Position(s.Pos()).String())
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BlockStmt:
			check(n.List)
		case *ast.CaseClause:
			check(n.Body)
		case *ast.CommClause:
			check(n.Body)
		}
		return true
	})
	return places
}

// Guards against a recovered panic that leaves a mutex locked, which then blocks all who lock it.
func TestPanicLeavesNoMutexLocked(t *testing.T) {
	for _, pkg := range []string{"agent", "duty", "entry", "follow", "gateway", "keepalive", "node", "ring", "sidecar", "suspects", "trust", "upstream"} {
		files, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files of %s: %v", pkg, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, name, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			for _, place := range locksWithoutDeferredUnlock(fset, file) {
				t.Errorf("%s: no deferred unlock follows", place)
			}
		}
	}
}
