// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
)

// maxExportable is the maximum number of KV caches that an engine holds for export.
const maxExportable = 4096

// kvCache is the KV cache of a request as one engine sends it to another. The
// prompt stands for its content.
type kvCache struct {
	Prompt string `json:"prompt"`
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	prompt, ok := e.exportable[r.PathValue("id")]
	ok = ok && !e.down
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such cache", http.StatusNotFound)
		return
	}
	writeJSON(w, kvCache{prompt})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var c kvCache
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.imported[r.PathValue("id")] = c.Prompt
	e.imports++
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

// Imports returns how many KV caches this engine has imported.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.imports
}

// prefixCache holds the prompt prefixes that were added last, in complete
// blocks only. The oldest ones are evicted first.
type prefixCache struct {
	limit    int // Bytes.
	used     int // Bytes.
	prefixes map[string]bool
	order    []string
}

// prefixBlock is the size of a cached block in bytes of the prompt.
const prefixBlock = 64

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, prefixes: map[string]bool{}}
}

// lookup returns how many bytes of the prompt were cached, and adds its
// uncached blocks.
func (c *prefixCache) lookup(prompt string) (n int) {
	for end := prefixBlock; end <= len(prompt); end += prefixBlock {
		prefix := prompt[:end]
		if c.prefixes[prefix] {
			n = end
			continue
		}
		c.add(prefix)
	}
	return n
}

func (c *prefixCache) add(prefix string) {
	c.prefixes[prefix] = true
	c.order = append(c.order, prefix)
	c.used += prefixBlock
	for c.used > c.limit && len(c.order) > 0 {
		delete(c.prefixes, c.order[0])
		c.order = c.order[1:]
		c.used -= prefixBlock
	}
}
