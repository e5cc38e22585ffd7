// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package policy compiles and evaluates the short programs that operators publish: they determine the
// priority of a request, whether it may be retried, and whether it may be moved. Programs are written in
// CEL, type-checked before they are published, and have a bounded cost at run time. The package reads no
// files and keeps no state.
package policy

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/types/ref"
)

// costLimit bounds one evaluation of a program, in CEL cost units.
const costLimit = 2000

// Results that are used when a program is missing or fails at run time, and bounds of results.
const (
	DefaultPriority = 0
	DefaultRetry    = false
	DefaultMove     = true
	// MaxPriority is the highest priority; results of a program are limited to the range from 0 to it.
	MaxPriority = 100
)

// Request holds the input variables of a program.
type Request struct {
	Customer   string // Name of the customer.
	Service    string // Model or service name.
	Class      string // Value of the caller's Canvaspulley-Class header; "" when absent.
	Method     string // HTTP method.
	Path       string // Path that the caller requested.
	Repeatable bool   // Whether the request may run more than once.
	DeadlineMS int64  // Milliseconds left until the caller's deadline; 0 when there is none.
	Attempt    int64  // Attempts already made.
	Reason     string // Why the last attempt failed, or why the request would be moved.
	Tokens     int64  // Tokens already sent to the caller.
}

// Compiled holds the compiled programs of one policy. A Compiled is immutable.
type Compiled struct {
	priority cel.Program
	retry    cel.Program
	move     cel.Program
}

var newEnv = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("customer", cel.StringType),
		cel.Variable("service", cel.StringType),
		cel.Variable("class", cel.StringType),
		cel.Variable("method", cel.StringType),
		cel.Variable("path", cel.StringType),
		cel.Variable("repeatable", cel.BoolType),
		cel.Variable("deadline_ms", cel.IntType),
		cel.Variable("attempt", cel.IntType),
		cel.Variable("reason", cel.StringType),
		cel.Variable("tokens", cel.IntType),
	)
})

// compile compiles and type-checks one program. It returns a nil program, which stands for the default,
// when source is empty.
func compile(source string, want *cel.Type) (p cel.Program, err error) {
	if source == "" {
		return nil, nil
	}
	env, err := newEnv()
	if err != nil {
		return nil, err
	}
	ast, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, errors.Newf("gives %s where %s is needed", ast.OutputType(), want)
	}
	return env.Program(ast, cel.CostLimit(costLimit))
}

// Sources holds the source code of the three programs of a policy, as published.
type Sources struct {
	Priority string // Returns an int; a request with a higher one is served first.
	Retry    string // Returns a bool; evaluated only when a retry is safe.
	Move     string // Returns a bool; evaluated before a running stream is moved.
}

// CompileFault describes a program that does not compile.
type CompileFault struct {
	Key  string
	Text string
}

// New compiles the programs; faults lists each program that does not compile.
func New(sources Sources) (s *Compiled, faults []CompileFault) {
	s = &Compiled{}
	for _, entry := range []struct {
		key  string
		text string
		want *cel.Type
		dst  *cel.Program
	}{
		{"priority", sources.Priority, cel.IntType, &s.priority},
		{"retry", sources.Retry, cel.BoolType, &s.retry},
		{"move", sources.Move, cel.BoolType, &s.move},
	} {
		p, err := compile(entry.text, entry.want)
		if err != nil {
			faults = append(faults, CompileFault{entry.key, err.Error()})
			continue
		}
		*entry.dst = p
	}
	return s, faults
}

func eval(p cel.Program, r Request) (v ref.Val, err error) {
	v, _, err = p.Eval(map[string]any{
		"customer": r.Customer, "service": r.Service, "class": r.Class,
		"method": r.Method, "path": r.Path, "repeatable": r.Repeatable,
		"deadline_ms": r.DeadlineMS, "attempt": r.Attempt,
		"reason": r.Reason, "tokens": r.Tokens,
	})
	return v, err
}

// Priority returns the priority of r, between 0 and MaxPriority. With an error it also returns the
// default.
func (s *Compiled) Priority(r Request) (n int, err error) {
	if s == nil || s.priority == nil {
		return DefaultPriority, nil
	}
	v, err := eval(s.priority, r)
	if err != nil {
		return DefaultPriority, errors.Wrap(err, "priority program")
	}
	i, ok := v.Value().(int64)
	if !ok {
		return DefaultPriority, errors.Newf("priority program returned %v", v)
	}
	return int(min(max(i, 0), MaxPriority)), nil
}

// Retry reports whether r may be sent again. It is called only when a retry is safe.
func (s *Compiled) Retry(r Request) (ok bool, err error) {
	if s == nil {
		return DefaultRetry, nil
	}
	return evalBool(s.retry, r, DefaultRetry, "retry")
}

// Move reports whether the running request r may be moved to another endpoint.
func (s *Compiled) Move(r Request) (ok bool, err error) {
	if s == nil {
		return DefaultMove, nil
	}
	return evalBool(s.move, r, DefaultMove, "move")
}

func evalBool(p cel.Program, r Request, fallback bool, name string) (ok bool, err error) {
	if p == nil {
		return fallback, nil
	}
	v, err := eval(p, r)
	if err != nil {
		return fallback, errors.Wrapf(err, "%s program", name)
	}
	ok, isBool := v.Value().(bool)
	if !isBool {
		return fallback, errors.Newf("%s program returned %v", name, v)
	}
	return ok, nil
}
