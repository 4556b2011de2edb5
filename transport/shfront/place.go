package shfront

import (
	"encoding/json"
	"net/http"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/state/shmodel"
)

// PlacePath is the path at which ServePlace is served.
const PlacePath = "/place"

// PlaceReport says where an entry VM would send a request now. Error says why there are
// no services.
type PlaceReport struct {
	VM      shmodel.VM            `json:"vm"`
	Zone    shmodel.FailureDomain `json:"failureDomain"`
	Version uint64                `json:"version"`
	Index   uint64                `json:"index"`
	Error   string                `json:"error,omitempty"`

	Route    string                `json:"route,omitempty"`
	Kind     shmodel.OperationKind `json:"kind,omitempty"`
	Services []ServicePlacement    `json:"services,omitempty"`
}

// ServicePlacement is the placement at a service that may get the request. Weight is its
// part of the requests of the route.
type ServicePlacement struct {
	Service shmodel.Service `json:"service"`
	Weight  float64         `json:"weight"`
	shbalance.Placement
}

// ServePlace answers where a request would go now, without sending or counting one and
// without a change of state. The query has the host, the path and the key, and each
// region to which the team of the caller is bound. The method has no influence on the
// choice. Keys of teams, allowances and crash counts aren't checked.
func (h *Handler) ServePlace(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	v := h.View()
	report := PlaceReport{VM: h.Place.VM, Zone: h.Place.Zone, Version: v.Version, Index: v.Index}
	status := http.StatusOK
	switch {
	case v.Table == nil:
		status, report.Error = http.StatusServiceUnavailable, "no routing table yet"
	case h.Refusing():
		status, report.Error = http.StatusServiceUnavailable, reasonStops
	default:
		route := v.Table.Route(hostOf(&http.Request{Host: q.Get("host")}), pathOf(q.Get("path")))
		if route == nil {
			status, report.Error = http.StatusNotFound, "no route for the host and the path"
			break
		}
		report.Route, report.Kind = route.Name, route.Kind
		request := shbalance.Request{Route: route, Key: q.Get("key"), Left: route.Timeout.Duration() - answerMargin}
		for _, region := range q["region"] {
			request.Regions = append(request.Regions, shmodel.Region(region))
		}
		for _, part := range route.Parts {
			if part.Weight > 0 || len(route.Parts) == 1 {
				request.Service = part.Service
				report.Services = append(report.Services, ServicePlacement{part.Service, part.Weight, h.Balancer.Explain(time.Now(), request)})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(report); err != nil {
		h.Logger.Info("placement not delivered", "error", err)
	}
}
