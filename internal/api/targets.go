package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxAnnouncementBytes bounds the size of one announcement.
const maxAnnouncementBytes = 16 << 10

// ErrNoHolder is returned when no entry of the target's availability zone could
// receive the announcement. The target announces again, here or at another entry.
const ErrNoHolder = errors.ConstError("no entry of the target's availability zone can be reached")

// Announcer handles the announcements of targets.
type Announcer interface {
	// Announce creates or renews a target's lease. ErrNoHolder is a temporary
	// error; any other error means that the announcement is invalid.
	Announce(ctx context.Context, t job.Target) (lease, renew time.Duration, err error)
	// Withdraw announces the planned stop of a target.
	Withdraw(ctx context.Context, id job.TargetID) error
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS int64 `json:"lease_ms"`
	RenewMS int64 `json:"renew_ms"`
}

// Targets returns the handler of /v1/targets/{id}.
func Targets(a Announcer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", func(w http.ResponseWriter, r *http.Request) { putTarget(a, w, r) })
	mux.HandleFunc("DELETE /v1/targets/{id}", func(w http.ResponseWriter, r *http.Request) { deleteTarget(a, w, r) })
	return mux
}

func putTarget(a Announcer, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, "the announcement could not be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	var t job.Target
	if err := json.Unmarshal(body, &t); err != nil {
		http.Error(w, "the announcement is not JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.ID = job.TargetID(r.PathValue("id"))
	lease, renew, err := a.Announce(r.Context(), t)
	if err != nil {
		http.Error(w, err.Error(), announceStatus(err))
		return
	}
	writeJSON(w, http.StatusOK, Lease{LeaseMS: lease.Milliseconds(), RenewMS: renew.Milliseconds()})
}

func deleteTarget(a Announcer, w http.ResponseWriter, r *http.Request) {
	if err := a.Withdraw(r.Context(), job.TargetID(r.PathValue("id"))); err != nil {
		http.Error(w, err.Error(), announceStatus(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func announceStatus(err error) int {
	if errors.Is(err, ErrNoHolder) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
