// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"strconv"
	"strings"
)

// IncarnationID returns the id of the life of a back end that is listed under a name and
// was born at a time, in Unix milliseconds; 0 when that is not told, and the name
// then stands for one life only.
func IncarnationID(name string, born int64) string {
	return name + lifeSuffix(born)
}

func lifeSuffix(born int64) string {
	if born == 0 {
		return ""
	}
	return "@" + strconv.FormatInt(born, 10)
}

// Name returns the name under which the endpoint is listed and which it knows itself
// by. A later life may have the same one.
func (e Endpoint) Name() string { return strings.TrimSuffix(e.ID, lifeSuffix(e.StartedAt)) }

// CompareIncarnations compares two births, in Unix milliseconds: it returns -1 when told is
// of an earlier life than known, 1 when it is of a later one, and 0 when both are of
// one life or either is 0, which is not told.
func CompareIncarnations(known, told int64) int {
	if known == 0 || told == 0 {
		return 0
	}
	return cmp.Compare(told, known)
}
