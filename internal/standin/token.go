// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package standin implements stand-ins for the platform in demonstrations and
// tests: an engine group that runs in lockstep, a plain service that counts its
// runs, the configuration service and the instance list, each with faults that
// can be switched on. They are small fakes at the platform's interfaces, not a
// cluster simulator, and no part of the system depends on them.
package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of token n of the answer to a prompt. The text depends
// only on the prompt and n, so a caller can check that an answer is complete,
// in order and meant for its own request.
func Token(prompt string, n int) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prompt) // Writes to a Digest never fail.
	_, _ = d.WriteString("#")
	_, _ = d.WriteString(strconv.Itoa(n))
	return strconv.FormatUint(d.Sum64()&0xffffff, 36) + " "
}

// Answer returns the complete answer to a prompt: the given number of tokens.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}
