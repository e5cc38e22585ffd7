// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// cursor is the place in a stream up to which its caller has it. The zero value is
// that of a stream of which the caller has nothing.
type cursor struct {
	id      int64
	known   bool   // id is that of the last event.
	unnamed bool   // An event without an id came after id, so that nothing says where to go on.
	skips   bool   // Ids of one run rose by more than one, so that a gap tells nothing.
	weights string // Version of the weights that made the events; "" when not told.
}

// Reasons why an event does not go on where the caller's last one ended.
var (
	errEventAgain   = errors.New("an event came again")
	errEventGap     = errors.New("events are missing")
	errEventUnnamed = errors.New("the first event has no id")
)

// cursorFrom returns the cursor of a caller that names the last event it has.
func cursorFrom(lastEvent string) (c cursor) {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil {
		return cursor{} // None, or one whose order only endpoints know.
	}
	return cursor{id: id, known: true}
}

// resumable reports whether another run may go on after the last event, or begin if
// there was none.
func (c *cursor) resumable() bool { return !c.unnamed }

// lastEvent is the id after which a run goes on; "" for the beginning.
func (c *cursor) lastEvent() string {
	if !c.known {
		return ""
	}
	return strconv.FormatInt(c.id, 10)
}

// check reports whether an event may follow. Joined is set for the first event of a
// run that goes on with a stream of which the caller has events: nothing but its id
// then says that it is the next one.
func (c *cursor) check(ev event, joined bool) error {
	switch {
	case !ev.hasData:
		return nil // A comment, for example, which belongs to no place.
	case ev.hasID && c.known && ev.id <= c.id:
		return errors.Wrapf(errEventAgain, "id %d after %d", ev.id, c.id)
	case joined && !ev.hasID:
		return errEventUnnamed
	case joined && !c.skips && ev.id != c.id+1:
		return errors.Wrapf(errEventGap, "id %d after %d", ev.id, c.id)
	}
	return nil
}

// pass moves the cursor behind an event. First is set for the first of a run.
func (c *cursor) pass(ev event, first bool) {
	if ev.weights != "" {
		c.weights = ev.weights
	}
	if !ev.hasData {
		return
	}
	if !ev.hasID {
		c.unnamed = true
		return
	}
	if !first && c.known && ev.id != c.id+1 {
		c.skips = true
	}
	c.id, c.known, c.unnamed = ev.id, true, false
}
