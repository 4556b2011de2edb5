package shsteer

import (
	"encoding/json"
	"net/http"
	"time"
)

// keysUntil returns the end of the permission to accept keys, nil if the settings
// state no bound for revocations.
func (e *Entry) keysUntil() func() time.Duration {
	if e.Settings.RevokeSeconds <= 0 {
		return nil
	}
	// The age is -1 before the first permission.
	e.metrics.NewGauge("sequoiahollow_key_permission_age_seconds", func() float64 {
		age, ok := e.watcher.PermissionAge()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	return e.watcher.KeysUntil
}

// observersPath is where a control VM lists which entry VMs have the routing table in
// force, on the metrics address.
const observersPath = "/v1/observers"

// serveObservers serves that list as JSON. Only the leader knows it; other VMs answer
// with 421 and the name of the leader.
func (c *Control) serveObservers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+observersPath, func(w http.ResponseWriter, _ *http.Request) {
		r := c.Registry()
		if r == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		list, ok := r.Observers()
		w.Header().Set("Content-Type", "application/json")
		if !ok {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
		// The client has closed the connection if writing fails.
		_ = json.NewEncoder(w).Encode(list)
	})
}
