// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crowdInterval is the time between two new connections of a crowd: about ten times the usual rate.
	crowdInterval = 3 * time.Millisecond
	// crowdPrefix is the prefix of the ids of its requests.
	crowdPrefix = "crowd-"
)

// sendCrowd sends requests on new connections, all to one gateway for the duration of the fault, and then
// as long to the next. The requests are checked like all others.
func (s *site) sendCrowd(f fault) {
	var group errgroup.Group
	for turn := range 2 {
		gateway := (f.target + turn) % len(s.gateways)
		c := &caller{s: s, gateway: gateway, mode: modeClose, name: fmt.Sprintf("%s%d-%d", crowdPrefix, f.at.Milliseconds(), turn), rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(f.at)))}
		c.client = &http.Client{Transport: c.mode.transport()}
		for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(crowdInterval) {
			r, out := c.nextRequest()
			group.Go(func() error {
				c.exchange(context.Background(), r, out)
				return nil
			})
		}
	}
	_ = group.Wait() // Functions of the group return no error.
}
