package entry

import (
	"context"
	"time"
)

// every calls f once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(now time.Time)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			f(now)
		}
	}
}
