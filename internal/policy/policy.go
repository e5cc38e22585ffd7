// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package policy compiles and runs the short programs that operators publish:
// who goes first, what may be retried, and when work may move. Programs are in
// CEL, are type-checked before they are published and have a bounded cost at
// run time. The package reads no files and keeps no state.
package policy

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/types/ref"
)

// costLimit bounds one run of a program, in CEL cost units.
const costLimit = 2000

// Defaults that stand in for a program that is missing or fails at run time.
const (
	DefaultPriority = 0
	DefaultRetry    = false
	DefaultMove     = true
	// MaxPriority is the highest priority a program may give; others are cut
	// to it.
	MaxPriority = 100
)

// Request is what a program sees.
type Request struct {
	Customer   string // Name of the customer.
	Service    string // Model or service name.
	Class      string // The caller's Canvaspulley-Class header, "" when absent.
	Method     string // HTTP method.
	Path       string // Path the caller asked for.
	Repeatable bool   // Whether the request may run more than once.
	DeadlineMS int64  // Time left until the caller's deadline; 0 when there is none.
	Attempt    int64  // Attempts already made.
	Reason     string // Why the last attempt failed, or why work would move.
	Tokens     int64  // Tokens already sent to the caller.
}

// Compiled is the compiled programs of one policy. A Set is immutable.
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

// compile type-checks one program; an empty text gives a nil program, which
// stands for the default.
func compile(text string, want *cel.Type) (p cel.Program, err error) {
	if text == "" {
		return nil, nil
	}
	env, err := newEnv()
	if err != nil {
		return nil, err
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, errors.Newf("gives %s where %s is needed", ast.OutputType(), want)
	}
	return env.Program(ast, cel.CostLimit(costLimit))
}

// Sources holds the three programs of a policy as published.
type Sources struct {
	Priority string // Gives an int; a higher one goes first.
	Retry    string // Gives a bool; asked only when repeating is safe at all.
	Move     string // Gives a bool; asked before a running stream is moved.
}

// CompileFault is a program that does not compile.
type CompileFault struct {
	Key  string
	Text string
}

// New compiles the programs; faults lists every one that does not compile.
func New(texts Sources) (s *Compiled, faults []CompileFault) {
	s = &Compiled{}
	for _, one := range []struct {
		key  string
		text string
		want *cel.Type
		dst  *cel.Program
	}{
		{"priority", texts.Priority, cel.IntType, &s.priority},
		{"retry", texts.Retry, cel.BoolType, &s.retry},
		{"move", texts.Move, cel.BoolType, &s.move},
	} {
		p, err := compile(one.text, one.want)
		if err != nil {
			faults = append(faults, CompileFault{one.key, err.Error()})
			continue
		}
		*one.dst = p
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

// Priority says how early r goes, between 0 and MaxPriority. On an error the
// default is returned beside it.
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
		return DefaultPriority, errors.Newf("priority program gave %v", v)
	}
	return int(min(max(i, 0), MaxPriority)), nil
}

// Retry says whether r may be sent again. It is asked only when that is safe.
func (s *Compiled) Retry(r Request) (ok bool, err error) {
	if s == nil {
		return DefaultRetry, nil
	}
	return evalBool(s.retry, r, DefaultRetry, "retry")
}

// Move says whether the running request r may go on elsewhere.
func (s *Compiled) Move(r Request) (ok bool, err error) {
	if s == nil {
		return DefaultMove, nil
	}
	return evalBool(s.move, r, DefaultMove, "move")
}

func evalBool(p cel.Program, r Request, def bool, name string) (ok bool, err error) {
	if p == nil {
		return def, nil
	}
	v, err := eval(p, r)
	if err != nil {
		return def, errors.Wrapf(err, "%s program", name)
	}
	ok, isBool := v.Value().(bool)
	if !isBool {
		return def, errors.Newf("%s program gave %v", name, v)
	}
	return ok, nil
}
