// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"strconv"
	"strings"
)

// IncarnationID returns the id of the incarnation of a back end that is listed under name and
// started at startedAt, in Unix milliseconds. When startedAt is 0 for unknown, the id is the
// name, which then stands for a single incarnation.
func IncarnationID(name string, startedAt int64) string {
	return name + incarnationSuffix(startedAt)
}

func incarnationSuffix(startedAt int64) string {
	if startedAt == 0 {
		return ""
	}
	return "@" + strconv.FormatInt(startedAt, 10)
}

// Name returns the name under which the endpoint is listed and by which it identifies itself.
// Later incarnations may have the same name.
func (e Endpoint) Name() string { return strings.TrimSuffix(e.ID, incarnationSuffix(e.StartedAt)) }

// CompareIncarnations compares the start times of two incarnations, in Unix milliseconds. It
// returns -1 when reported is of an earlier incarnation than known, 1 when it is of a later one,
// and 0 when both are of the same one or either is 0 for unknown.
func CompareIncarnations(known, reported int64) int {
	if known == 0 || reported == 0 {
		return 0
	}
	return cmp.Compare(reported, known)
}
