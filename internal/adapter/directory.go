// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Role is what an instance runs.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name     string `json:"name"`
	Role     Role   `json:"role"`
	Endpoint string `json:"endpoint,omitempty"` // Slot it fills.
	Domain   string `json:"domain"`             // Failure domain.
	Address  string `json:"address"`            // Peer listener, IP:port.
	Leaving  bool   `json:"leaving,omitempty"`
}

// Instances is the adapter to the list of live and leaving instances.
type Instances struct {
	// List reads the whole list; it lags.
	List func(ctx context.Context) (list []Instance, err error)
}

// NewInstances returns the adapter to the list at the base URL.
func NewInstances(base string, c *http.Client) *Instances {
	return &Instances{List: func(ctx context.Context) (list []Instance, err error) {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		err = getJSON(ctx, c, base+"/v1/instances", &list)
		return list, errors.Wrap(err, "list instances")
	}}
}

// ConfigService is the adapter to the configuration service, which can only be
// read and watched. Every call counts against its rate.
type ConfigService struct {
	// Get reads the value of a key.
	Get func(ctx context.Context, key string) (value []byte, err error)
	// Watch returns the value of a key once its hash is not the one given, or
	// nil when it did not change for a while.
	Watch func(ctx context.Context, key, hash string) (value []byte, err error)
}

// waitTimeout bounds one waiting call, above the service's own bound.
const waitTimeout = 40 * time.Second

// NewConfigService returns the adapter to the service at the base URL.
func NewConfigService(base string, c *http.Client) *ConfigService {
	return &ConfigService{
		Get: func(ctx context.Context, key string) (value []byte, err error) {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			value, err = get(ctx, c, base+"/v1/keys/"+key)
			return value, errors.Wrapf(err, "read %s", key)
		},
		Watch: func(ctx context.Context, key, hash string) (value []byte, err error) {
			ctx, cancel := context.WithTimeout(ctx, waitTimeout)
			defer cancel()
			value, err = get(ctx, c, base+"/v1/watch/"+key+"?hash="+url.QueryEscape(hash))
			if Status(err) == http.StatusNotModified {
				return nil, nil
			}
			return value, errors.Wrapf(err, "watch %s", key)
		},
	}
}
