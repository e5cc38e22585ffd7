// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package standin takes the platform's place in demonstrations and tests: an
// engine group that runs in lock-step, a plain service that counts its runs,
// the configuration service and the list of instances, each with faults that
// can be switched on. They are small fakes at the interfaces, not a simulator
// of a cluster, and nothing of the system depends on them.
package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of token n of the answer to a prompt. It follows from
// the prompt alone, so that a caller can check that an answer is whole, in
// order and its own.
func Token(prompt string, n int) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prompt) // A Digest never fails.
	_, _ = d.WriteString("#")
	_, _ = d.WriteString(strconv.Itoa(n))
	return strconv.FormatUint(d.Sum64()&0xffffff, 36) + " "
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}
