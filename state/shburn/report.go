package shburn

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// Burn rates above which a pair of windows is alerting. At a burn rate of 14.4,
// one hour uses 2% of the error budget of 30 days; at 6, six hours use 5%.
const (
	// FastBurnLimit applies to the windows of 5 min and 1 h.
	FastBurnLimit = 14.4
	// SlowBurnLimit applies to the windows of 30 min and 6 h.
	SlowBurnLimit = 6
)

// minBadShare is the lowest permitted share of bad requests. It applies to a
// level of 100%, whose burn rate would otherwise be infinite.
const minBadShare = 1e-6

// Counts holds the number of good requests and the number of bad requests by
// cause.
type Counts struct {
	Good           uint64 `json:"good"`
	Refused        uint64 `json:"refused"`
	Slow           uint64 `json:"slow"`
	Unknown        uint64 `json:"unknown"`
	BackendFailure uint64 `json:"backendFailure"`
	LinkCap        uint64 `json:"linkCap"`
}

func (c *Counts) add(cause Cause, n uint64) {
	switch cause {
	case Good:
		c.Good += n
	case Refused:
		c.Refused += n
	case Slow:
		c.Slow += n
	case Unknown:
		c.Unknown += n
	case BackendFailure:
		c.BackendFailure += n
	case LinkCap:
		c.LinkCap += n
	}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{
		Good: c.Good + d.Good, Refused: c.Refused + d.Refused, Slow: c.Slow + d.Slow,
		Unknown: c.Unknown + d.Unknown, BackendFailure: c.BackendFailure + d.BackendFailure,
		LinkCap: c.LinkCap + d.LinkCap,
	}
}

// Bad returns the number of bad requests.
func (c Counts) Bad() uint64 {
	return c.Refused + c.Slow + c.Unknown + c.BackendFailure + c.LinkCap
}

// BadShare returns the share of bad requests, 0 to 1; it is 0 without requests.
func (c Counts) BadShare() float64 {
	total := c.Good + c.Bad()
	if total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(total)
}

// Windows holds the counts of the windows that end at the time of the report.
type Windows struct {
	FiveMinutes   Counts `json:"fiveMinutes"`
	ThirtyMinutes Counts `json:"thirtyMinutes"`
	OneHour       Counts `json:"oneHour"`
	SixHours      Counts `json:"sixHours"`
	ThirtyDays    Counts `json:"thirtyDays"`
}

func (w Windows) plus(v Windows) Windows {
	return Windows{
		FiveMinutes:   w.FiveMinutes.plus(v.FiveMinutes),
		ThirtyMinutes: w.ThirtyMinutes.plus(v.ThirtyMinutes),
		OneHour:       w.OneHour.plus(v.OneHour),
		SixHours:      w.SixHours.plus(v.SixHours),
		ThirtyDays:    w.ThirtyDays.plus(v.ThirtyDays),
	}
}

// SeriesReport holds the counts of one service in one region.
type SeriesReport struct {
	Service shmodel.Service `json:"service"`
	Region  shmodel.Region  `json:"region"`
	Windows Windows         `json:"windows"`
}

// DaemonReport holds the counts of one daemon since it started.
type DaemonReport struct {
	VM     shmodel.VM     `json:"vm"`
	At     time.Time      `json:"at"`
	Since  time.Time      `json:"since"`
	Series []SeriesReport `json:"series"`
}

// Burn holds the burn rates of the windows. Fast is set if the burn rates of 5 min
// and 1 h are both above FastBurnLimit, Slow if those of 30 min and 6 h are both
// above SlowBurnLimit.
type Burn struct {
	FiveMinutes   float64 `json:"fiveMinutes"`
	OneHour       float64 `json:"oneHour"`
	ThirtyMinutes float64 `json:"thirtyMinutes"`
	SixHours      float64 `json:"sixHours"`
	Fast          bool    `json:"fast"`
	Slow          bool    `json:"slow"`
}

// Summary holds counts and the burn rates and error budget that follow from them.
// BudgetLeft is the share of the error budget of 30 days that is left; it is
// negative if there were more bad requests than permitted. Burn and BudgetLeft
// are unset for a service without level.
type Summary struct {
	Windows    Windows  `json:"windows"`
	Burn       *Burn    `json:"burn,omitempty"`
	BudgetLeft *float64 `json:"budgetLeft,omitempty"`
}

// RegionReport is the summary of a service in one region.
type RegionReport struct {
	Region shmodel.Region `json:"region"`
	Summary
}

// ServiceReport is the summary of a service. WorstRegion is the region with the
// highest share of bad requests in 1 h, and so with the highest burn rate; it is
// empty if there were no bad requests.
type ServiceReport struct {
	Service     shmodel.Service       `json:"service"`
	Level       shconfig.ServiceLevel `json:"level,omitzero"`
	Total       Summary               `json:"total"`
	Regions     []RegionReport        `json:"regions"`
	WorstRegion shmodel.Region        `json:"worstRegion,omitempty"`
}

// Coverage is a daemon whose counts are in a report, and the time since which the
// daemon has been counting.
type Coverage struct {
	VM    shmodel.VM `json:"vm"`
	Since time.Time  `json:"since"`
}

// Report is the merged report. The requests of missing daemons are counted
// neither as good nor as bad; Complete is false if daemons are missing.
type Report struct {
	At       time.Time       `json:"at"`
	Complete bool            `json:"complete"`
	Daemons  []Coverage      `json:"daemons"`
	Missing  []shmodel.VM    `json:"missing,omitempty"`
	Services []ServiceReport `json:"services"`
}

// Merge adds up the reports of the expected daemons and of any others. If a daemon
// has several reports, Merge uses the latest. Every service of levels is listed,
// with or without requests.
func Merge(at time.Time, expected []shmodel.VM, reports []DaemonReport, levels map[shmodel.Service]shconfig.ServiceLevel) Report {
	latest := make(map[shmodel.VM]DaemonReport)
	for _, r := range reports {
		if known, ok := latest[r.VM]; !ok || r.At.After(known.At) {
			latest[r.VM] = r
		}
	}
	report := Report{At: at}
	for _, vm := range slices.Compact(slices.Sorted(slices.Values(expected))) {
		if _, ok := latest[vm]; !ok {
			report.Missing = append(report.Missing, vm)
		}
	}
	report.Complete = len(report.Missing) == 0
	services := make(map[shmodel.Service]map[shmodel.Region]Windows)
	for service := range levels {
		services[service] = make(map[shmodel.Region]Windows)
	}
	for _, vm := range slices.Sorted(maps.Keys(latest)) {
		report.Daemons = append(report.Daemons, Coverage{VM: vm, Since: latest[vm].Since})
		for _, s := range latest[vm].Series {
			if services[s.Service] == nil {
				services[s.Service] = make(map[shmodel.Region]Windows)
			}
			services[s.Service][s.Region] = services[s.Service][s.Region].plus(s.Windows)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		report.Services = append(report.Services, serviceReport(service, services[service], levels[service]))
	}
	return report
}

func serviceReport(service shmodel.Service, regions map[shmodel.Region]Windows, level shconfig.ServiceLevel) ServiceReport {
	report := ServiceReport{Service: service, Level: level}
	var total Windows
	worst := 0.0
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		w := regions[region]
		total = total.plus(w)
		report.Regions = append(report.Regions, RegionReport{Region: region, Summary: summarize(w, level)})
		if share := w.OneHour.BadShare(); share > worst {
			worst, report.WorstRegion = share, region
		}
	}
	report.Total = summarize(total, level)
	return report
}

func summarize(w Windows, level shconfig.ServiceLevel) Summary {
	s := Summary{Windows: w}
	if level.GoodShare <= 0 {
		return s
	}
	permitted := max(1-level.GoodShare, minBadShare)
	b := &Burn{
		FiveMinutes:   w.FiveMinutes.BadShare() / permitted,
		OneHour:       w.OneHour.BadShare() / permitted,
		ThirtyMinutes: w.ThirtyMinutes.BadShare() / permitted,
		SixHours:      w.SixHours.BadShare() / permitted,
	}
	b.Fast = min(b.FiveMinutes, b.OneHour) > FastBurnLimit
	b.Slow = min(b.ThirtyMinutes, b.SixHours) > SlowBurnLimit
	left := 1 - w.ThirtyDays.BadShare()/permitted
	s.Burn, s.BudgetLeft = b, &left
	return s
}

// Metric is one value of a report.
type Metric struct {
	Name    string
	Service shmodel.Service
	// Region is empty in the total of a service.
	Region shmodel.Region
	// Window and Cause are empty where they do not apply.
	Window string
	Cause  string
	Value  float64
}

// Metrics passes the values of the report to emit.
func (r Report) Metrics(emit func(Metric)) {
	emit(Metric{Name: "burn_missing_daemons", Value: float64(len(r.Missing))})
	for _, s := range r.Services {
		s.Total.metrics(s.Service, "", emit)
		for _, region := range s.Regions {
			region.metrics(s.Service, region.Region, emit)
		}
	}
}

func (s Summary) metrics(service shmodel.Service, region shmodel.Region, emit func(Metric)) {
	windows := []struct {
		name   string
		counts Counts
	}{
		{"5m", s.Windows.FiveMinutes},
		{"30m", s.Windows.ThirtyMinutes},
		{"1h", s.Windows.OneHour},
		{"6h", s.Windows.SixHours},
		{"30d", s.Windows.ThirtyDays},
	}
	for _, w := range windows {
		for _, cause := range w.counts.byCause() {
			emit(Metric{"burn_requests", service, region, w.name, cause.name, float64(cause.count)})
		}
	}
	if s.Burn == nil {
		return
	}
	emit(Metric{"burn_rate", service, region, "5m", "", s.Burn.FiveMinutes})
	emit(Metric{"burn_rate", service, region, "30m", "", s.Burn.ThirtyMinutes})
	emit(Metric{"burn_rate", service, region, "1h", "", s.Burn.OneHour})
	emit(Metric{"burn_rate", service, region, "6h", "", s.Burn.SixHours})
	emit(Metric{"burn_budget_left", service, region, "30d", "", *s.BudgetLeft})
}

type causeCount struct {
	name  string
	count uint64
}

func (c Counts) byCause() []causeCount {
	return []causeCount{
		{"good", c.Good},
		{"refused", c.Refused},
		{"slow", c.Slow},
		{"unknown", c.Unknown},
		{"backendFailure", c.BackendFailure},
		{"linkCap", c.LinkCap},
	}
}

// WriteText writes the report as a text table.
func (r Report) WriteText(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "burn report at %s from %d daemons\n", r.At.UTC().Format(time.RFC3339), len(r.Daemons))
	for _, vm := range r.Missing {
		fmt.Fprintf(w, "missing: %s, its requests are not counted\n", vm)
	}
	fmt.Fprintln(w, "service\tregion\tburn 5m\t1h\t30m\t6h\tbudget left\tbad 1h\trefused\tslow\tunknown\tbackend failure\tlink cap\tnote")
	for _, s := range r.Services {
		s.Total.writeText(w, string(s.Service), "all", "")
		for _, region := range s.Regions {
			note := ""
			if region.Region == s.WorstRegion {
				note = "worst"
			}
			region.writeText(w, "", string(region.Region), note)
		}
	}
	return w.Flush()
}

func (s Summary) writeText(w io.Writer, service, region, note string) {
	burn := "-\t-\t-\t-\t-"
	if b := s.Burn; b != nil {
		burn = fmt.Sprintf("%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%", b.FiveMinutes, b.OneHour, b.ThirtyMinutes, b.SixHours, roundedPercent(*s.BudgetLeft))
		switch {
		case b.Fast:
			note = strings.TrimSpace(note + " fast burn")
		case b.Slow:
			note = strings.TrimSpace(note + " slow burn")
		}
	}
	c := s.Windows.OneHour
	fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\t%d\t%d\t%d\t%d\t%d\t%s\n", service, region, burn,
		c.Bad(), c.Good+c.Bad(), c.Refused, c.Slow, c.Unknown, c.BackendFailure, c.LinkCap, note)
}

// roundedPercent rounds down to a tenth of a percent, so that an exceeded error
// budget is never shown as 0% left.
func roundedPercent(share float64) float64 { return math.Floor(share*1000) / 10 }
