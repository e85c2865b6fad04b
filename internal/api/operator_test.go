package api

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A client without the token reaches an operators' address and tries to read and
// change the state of the fleet. Every route must refuse before it has any effect.
func TestOperatorsNeedTheToken(t *testing.T) {
	drained := false
	empty := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	o := &Operator{Token: "secret", Timeline: empty, Status: empty, Drain: func() { drained = true }, Vars: new(expvar.Map).Init()}
	for _, header := range []string{"", "Bearer", "Bearer wrong", "Bearer secret2", "secret"} {
		for _, route := range [][2]string{{"POST", "/v1/drain"}, {"GET", "/v1/status"}, {"PUT", "/v1/configuration"}, {"GET", "/debug/vars"}} {
			r := httptest.NewRequest(route[0], route[1], nil)
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			o.Handler().ServeHTTP(w, r)
			qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized, qt.Commentf("%v with %q", route, header))
		}
	}
	qt.Assert(t, drained, qt.IsFalse)
	r := httptest.NewRequest(http.MethodPost, "/v1/drain", nil)
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	o.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusAccepted)
	qt.Assert(t, drained, qt.IsTrue)
}
