// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package settings

import (
	"testing"

	"github.com/canvaspulley/canvaspulley/internal/golden"
)

func TestGolden(t *testing.T) {
	golden.Run(t, func(files map[string][]byte) string {
		if _, err := Parse("in.ini", files["in.ini"]); err != nil {
			return err.Error()
		}
		return ""
	})
}
