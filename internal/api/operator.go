package api

import (
	"context"
	"crypto/subtle"
	"expvar"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/register"
)

// maxConfigurationBytes bounds the size of a declarative file.
const maxConfigurationBytes = 1 << 20

// Configurator applies and returns the configuration on which the voters agree.
type Configurator interface {
	// Apply proposes body as the next configuration. Its error is config.Problems
	// for an invalid file, a *register.Conflict, register.ErrUnavailable or
	// register.ErrUnknown.
	Apply(ctx context.Context, changeID string, body []byte) (register.Accepted, error)
	// Body returns the file in effect, or nil before the first one.
	Body() (body []byte, a register.Accepted)
	// ReplaceVoter replaces the voter old by the entry replacement.
	ReplaceVoter(ctx context.Context, old, replacement job.EntryID) error
}

// Cordoner cordons and uncordons availability zones.
type Cordoner interface {
	// SetCordon returns once a majority of the voters has accepted the change. Its error is of
	// type NotFound for an unknown zone, or one of register.SetCordon.
	SetCordon(ctx context.Context, zone job.Zone, active bool) error
	// CordonedZones returns the cordoned zones as this entry knows them.
	CordonedZones() []job.Zone
}

// Operator handles the requests of operators.
type Operator struct {
	// Token is the bearer token. If it is empty, requests need none; the settings
	// allow that only on loopback addresses.
	Token        string
	Configurator Configurator
	Cordoner     Cordoner
	Timeline     http.Handler
	Status       http.Handler
	Drain        func()
	Vars         *expvar.Map
}

// Handler returns the routes for operators.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", o.putConfiguration)
	mux.HandleFunc("GET /v1/configuration", o.getConfiguration)
	mux.HandleFunc("POST /v1/voters/{old}/replace/{new}", o.replaceVoter)
	mux.HandleFunc("GET /v1/cordons", o.getCordons)
	mux.HandleFunc("PUT /v1/cordons/{zone}", o.setCordon(true))
	mux.HandleFunc("DELETE /v1/cordons/{zone}", o.setCordon(false))
	mux.HandleFunc("POST /v1/drain", o.drain)
	mux.Handle("GET /v1/timeline", o.Timeline)
	mux.Handle("GET /v1/status", o.Status)
	mux.HandleFunc("GET /debug/vars", o.vars)
	return o.authorized(mux)
}

// authorized rejects requests without the bearer token. The comparison takes
// constant time, so that the token can't be guessed byte by byte.
func (o *Operator) authorized(next http.Handler) http.Handler {
	want := []byte("Bearer " + o.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if o.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the bearer token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Configuration identifies one accepted configuration.
type Configuration struct {
	Number   uint64 `json:"number"`
	Digest   string `json:"digest"`
	ChangeID string `json:"change_id,omitempty"`
}

// problem is the response body for an operator's request that failed.
type problem struct {
	Error    string         `json:"error"`
	Problems []string       `json:"problems,omitempty"`
	Conflict *Configuration `json:"conflict,omitempty"`
	// Unknown is set if the change may have been accepted despite the error.
	Unknown bool `json:"unknown,omitempty"`
}

func (o *Operator) putConfiguration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problem{Error: "the file could not be read completely: " + err.Error()})
		return
	}
	changeID := strings.TrimSpace(r.Header.Get(HeaderChangeID))
	if changeID == "" || len(changeID) > job.MaxIDBytes {
		writeJSON(w, http.StatusBadRequest, problem{Error: "header " + HeaderChangeID + " is missing or too long: it makes it safe to send a change again"})
		return
	}
	accepted, err := o.Configurator.Apply(r.Context(), changeID, body)
	if err != nil {
		writeApplyError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Configuration(accepted))
}

func writeApplyError(w http.ResponseWriter, err error) {
	var problems config.Problems
	var conflict *register.Conflict
	switch {
	case errors.As(err, &problems):
		p := problem{Error: "the file is invalid; no part of it was applied"}
		for _, one := range problems {
			p.Problems = append(p.Problems, one.String())
		}
		writeJSON(w, http.StatusBadRequest, p)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, problem{
			Error:    conflict.Error(),
			Conflict: &Configuration{Number: conflict.Number, Digest: conflict.Digest, ChangeID: conflict.ChangeID},
		})
	case errors.Is(err, errors.NotFound):
		writeJSON(w, http.StatusNotFound, problem{Error: err.Error()})
	case errors.Is(err, errors.NotValid):
		writeJSON(w, http.StatusBadRequest, problem{Error: err.Error()})
	case errors.Is(err, register.ErrUnavailable), errors.Is(err, register.ErrCordonsUnsupported):
		writeJSON(w, http.StatusServiceUnavailable, problem{Error: err.Error()})
	default:
		writeJSON(w, http.StatusServiceUnavailable, problem{Error: err.Error(), Unknown: true})
	}
}

func (o *Operator) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	body, accepted := o.Configurator.Body()
	if body == nil {
		http.Error(w, "no configuration has been accepted yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Vanillagrade-Digest", accepted.Digest)
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(body)
}

func (o *Operator) replaceVoter(w http.ResponseWriter, r *http.Request) {
	err := o.Configurator.ReplaceVoter(r.Context(), job.EntryID(r.PathValue("old")), job.EntryID(r.PathValue("new")))
	if err != nil {
		writeApplyError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Cordons is the answer to GET /v1/cordons.
type Cordons struct {
	Zones []job.Zone `json:"zones"`
}

func (o *Operator) getCordons(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Cordons{Zones: append([]job.Zone{}, o.Cordoner.CordonedZones()...)})
}

func (o *Operator) setCordon(active bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := o.Cordoner.SetCordon(r.Context(), job.Zone(r.PathValue("zone")), active); err != nil {
			writeApplyError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (o *Operator) drain(w http.ResponseWriter, _ *http.Request) {
	o.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (o *Operator) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, o.Vars.String())
}
