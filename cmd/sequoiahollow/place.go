package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"sequoiahollow/transport/shfront"
)

// maxPlaceBytes bounds an answer. One with 1,638 backend servers has 350 KB.
const maxPlaceBytes = 8 << 20

// placeCommand prints where an entry VM would send a request now, and why.
type placeCommand struct {
	Entry   string        `required:"" placeholder:"ADDRESS" help:"IP:port of the metrics of an entry VM of a fleet."`
	Host    string        `required:"" help:"Host of the request."`
	Path    string        `default:"/" help:"Path of the request."`
	Method  string        `default:"GET" help:"Method of the request; it has no influence on the choice."`
	Key     string        `help:"Key of the object that the request is about."`
	Region  []string      `help:"Regions to which the team of the caller is bound."`
	Timeout time.Duration `default:"10s" help:"Longest time for the whole command."`
}

// Run implements the command.
func (c *placeCommand) Run(e *environment) error {
	if _, _, err := net.SplitHostPort(c.Entry); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	report, err := c.ask(ctx)
	if err != nil {
		return fmt.Errorf("place: %w", err)
	}
	return e.print(report, func() { e.printPlace(report) })
}

func (c *placeCommand) ask(ctx context.Context) (report shfront.PlaceReport, err error) {
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "key": {c.Key}, "region": c.Region}
	address := url.URL{Scheme: "http", Host: c.Entry, Path: shfront.PlacePath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlaceBytes)).Decode(&report); err != nil {
		return report, fmt.Errorf("%s is not the metrics address of an entry VM: %s, %w", c.Entry, response.Status, err)
	}
	if report.Error != "" {
		return report, errors.New(report.Error)
	}
	return report, nil
}

func (e *environment) printPlace(r shfront.PlaceReport) {
	e.printf("entry VM %s in %s, table r%d, index %d, route %s, %s\n", r.VM, r.Zone, r.Version, r.Index, r.Route, r.Kind)
	for _, s := range r.Services {
		e.printf("\nservice %s, weight %g, utilization %.2f: ", s.Service, s.Weight, s.Utilization)
		if s.Chosen == "" {
			e.printf("refused, %s, retry after %d ms\n", s.Why, s.RetryAfterMS)
		} else {
			e.printf("to %s, %s\n", s.Chosen, s.Why)
		}
		if len(s.Candidates) > 0 {
			e.printf("  %-24s %-16s %-20s %9s %6s %8s %8s %8s %8s  %s\n",
				"candidate", "failure domain", "distance", "load", "age", "wait", "trip", "estimate", "loss", "warmth")
		}
		for _, x := range s.Candidates {
			age := "-"
			if x.ReportAgeMS >= 0 {
				age = fmt.Sprintf("%.1fs", float64(x.ReportAgeMS)/1000)
			}
			e.printf("  %-24s %-16s %-20s %9s %6s %6dms %6dms %6dms %8.3f  %s\n", x.Backend, x.Zone, x.Distance,
				fmt.Sprintf("%.1f/%d", x.Load, x.Slots), age, x.WaitMS, x.RoundTripMS, x.EstimateMS, x.Loss, x.Warmth)
		}
		for _, x := range s.Excluded {
			e.printf("  %-24s %-16s excluded: %s", x.Backend, x.Zone, x.Rule)
			if x.ForMS > 0 {
				e.printf(", for %.1fs", float64(x.ForMS)/1000)
			}
			e.printf("\n")
		}
	}
}
