package peer

import (
	"slices"
	"sync"
)

// KindStats counts the messages of one kind since the process started,
// including answers.
type KindStats struct {
	Kind        Kind   `json:"kind"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	// BytesIn and BytesOut count the encoded bytes of the frames, without the
	// small WebSocket and TCP overhead that coalesced frames share.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

type counters struct {
	mu    sync.Mutex
	kinds map[Kind]*KindStats
}

func (c *counters) add(k Kind, in bool, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kinds[k]
	if s == nil {
		s = &KindStats{Kind: k}
		c.kinds[k] = s
	}
	if in {
		s.MessagesIn++
		s.BytesIn += uint64(bytes)
		return
	}
	s.MessagesOut++
	s.BytesOut += uint64(bytes)
}

func (c *counters) list() []KindStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]KindStats, 0, len(c.kinds))
	for _, s := range c.kinds {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b KindStats) int { return int(a.Kind) - int(b.Kind) })
	return list
}
