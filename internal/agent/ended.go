// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

const (
	// endedTimeout bounds the question whether the endpoint's process has ended, which is
	// on the same instance.
	endedTimeout = 200 * time.Millisecond
	// oneEnd is for how long what breaks off is put down to the same end: requests at a
	// process break off together as it ends, and it takes longer to start again.
	oneEnd = time.Second
)

// ended returns the end of the endpoint's process, nil if that lives on.
func (a *Agent) ended() *wire.Ended {
	var look func(ctx context.Context) bool
	if a.service != nil {
		look = a.service.Ended
	} else {
		look = a.engine.Ended
	}
	if look == nil || a.node.Refusal() != nil { // A process that is stopped as planned is no fault of a request.
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	if !look(ctx) {
		return nil
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.endedAt) > oneEnd {
		a.endedAt = now
	}
	return &wire.Ended{Incarnation: a.node.Settings().Endpoint + "@" + strconv.FormatInt(a.endedAt.UnixMilli(), 10)}
}

// tellEnded tells the entry, before the stream breaks off, that the engine has ended.
func (f *frameWriter) tellEnded(offset int, e *wire.Ended) {
	if e == nil {
		return
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return // An Ended always has a JSON form.
	}
	_ = f.write(offset, wire.EventProcessEnded, raw) // The stream breaks off anyhow.
}
