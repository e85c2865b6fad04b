package timeline

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// readTimeout bounds the wait for an entry. An unreachable entry must not keep the
// operator from seeing the events of the others.
const readTimeout = time.Second

// Serve answers the queries of other entries from the ring. It must be called before
// the mesh starts.
func Serve(mesh peer.Mesh, ring *Ring) {
	mesh.Handle(peer.TimelineRead, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
		var q Query
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Annotate(err, "timeline query")
		}
		return ring.Read(q), nil
	})
}

// ReadAll queries all peers concurrently. It returns their pages and the peers that
// did not answer.
func ReadAll(ctx context.Context, mesh peer.Mesh, peers []job.EntryID, q Query) (pages []Page, unreachable []job.EntryID) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range peers {
		if id == mesh.Self().Entry {
			continue
		}
		wg.Go(func() {
			var p Page
			err := mesh.Call(ctx, id, peer.TimelineRead, q, &p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, id)
				return
			}
			pages = append(pages, p)
		})
	}
	wg.Wait()
	return pages, unreachable
}

// Reader returns the merged time line of a query.
type Reader func(ctx context.Context, q Query) Timeline

// FleetReader returns a reader of the local ring and the rings of the peers, which it
// gets from peers at each call.
func FleetReader(mesh peer.Mesh, ring *Ring, peers func() []job.EntryID) Reader {
	return func(ctx context.Context, q Query) Timeline {
		pages, unreachable := ReadAll(ctx, mesh, peers(), q)
		return Merge(append(pages, ring.Read(q)), unreachable)
	}
}

// Handler serves GET /v1/timeline?submission=&since=&kind=&limit= as one JSON
// document, a Timeline. kind may be repeated or hold a comma-separated list.
func Handler(read Reader) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := parseQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(read(r.Context(), q))
	})
}

func parseQuery(r *http.Request) (Query, error) {
	values := r.URL.Query()
	q := Query{Submission: job.ID(values.Get("submission"))}
	if s := values.Get("since"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return Query{}, errors.NotValidf("since %q (a stamp)", s)
		}
		q.Since = Stamp(n)
	}
	if s := values.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return Query{}, errors.NotValidf("limit %q (a count)", s)
		}
		q.Limit = n
	}
	for _, list := range values["kind"] {
		for k := range strings.SplitSeq(list, ",") {
			q.Kinds = append(q.Kinds, Kind(k))
		}
	}
	return q, nil
}
