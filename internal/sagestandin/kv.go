package sagestandin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// KVBlock is one exported block of the KV cache.
type KVBlock struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// chatBlocks stores the blocks of each chat for export.
type chatBlocks struct {
	mu     sync.Mutex
	byChat map[string][]block
}

func (c *chatBlocks) set(chat string, bs []block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byChat == nil {
		c.byChat = make(map[string][]block)
	}
	c.byChat[chat] = bs
}

func (c *chatBlocks) get(chat string) []block {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byChat[chat]
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	bs := e.chats.get(r.PathValue("chat"))
	if bs == nil {
		http.Error(w, "no such chat", http.StatusNotFound)
		return
	}
	out := make([]KVBlock, len(bs))
	for i, b := range bs {
		out[i] = KVBlock{Hash: b.hash, Tokens: b.tokens}
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in []KVBlock
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		http.Error(w, "decode blocks: "+err.Error(), http.StatusBadRequest)
		return
	}
	bs := make([]block, len(in))
	for i, b := range in {
		bs[i] = block{hash: b.Hash, tokens: max(1, b.Tokens)}
	}
	e.mu.Lock()
	c := e.cache
	e.mu.Unlock()
	c.admit(bs)
	e.chats.set(r.PathValue("chat"), bs)
	w.WriteHeader(http.StatusNoContent)
}
