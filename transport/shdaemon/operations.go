package shdaemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"slices"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shoperator"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shview"
)

// maxGaps bounds the gaps that a verification lists.
const maxGaps = 1000

// operations implements shoperator.Backend.
type operations struct{ *daemon }

func (d *daemon) operatorHandler(ctx context.Context) (http.Handler, error) {
	token, err := shsettings.ReadToken(d.settings.OperatorTokenFile)
	if err != nil {
		return nil, err
	}
	d.registerMetrics(ctx, d.metrics)
	s := &shoperator.Server{Backend: operations{d}, Token: token, Metrics: d.metrics, Healthy: d.healthy, Logger: d.log}
	return s.Handler(), nil
}

// healthy returns an error that says why callers should not be sent to this VM,
// or nil if they may be.
func (d *daemon) healthy() error {
	v := d.syncer.View()
	switch {
	case d.leaving.Load():
		return errors.New("leaving")
	case !v.Ready():
		return errors.New("no configuration was confirmed by a quorum yet")
	}
	return d.outbox.Ready()
}

// operatorError converts an error of a call to the control VMs to one of
// shoperator.
func operatorError(op string, err error) error {
	if err == nil {
		return nil
	}
	var e *shview.Error
	if errors.As(err, &e) && e.Kind == shview.Rejected {
		return &shoperator.Error{Op: op, Kind: shoperator.KindInvalid, Err: err}
	}
	return &shoperator.Error{Op: op, Kind: shoperator.KindUnknown, Err: err}
}

// Config implements shoperator.Backend.
func (o operations) Config(ctx context.Context) (shoperator.Current, error) {
	r, err := o.proposer.Read(ctx, shwire.ReadRequest{})
	return shoperator.Current{Revision: r.Revision, Config: r.Config}, operatorError("read configuration", err)
}

// Apply implements shoperator.Backend.
func (o operations) Apply(ctx context.Context, edit shcontrol.ApplyConfig) (shcontrol.ConfigResult, error) {
	r, err := shview.ProposeFor[shcontrol.ConfigResult](ctx, o.proposer, edit)
	o.syncer.Wake()
	return r, operatorError("apply configuration", err)
}

// History implements shoperator.Backend.
func (o operations) History(ctx context.Context, limit int) ([]shoperator.Edit, error) {
	r, err := o.proposer.Read(ctx, shwire.ReadRequest{History: limit})
	if err != nil {
		return nil, operatorError("read history", err)
	}
	edits := make([]shoperator.Edit, 0, len(r.History))
	for _, x := range r.History {
		edits = append(edits, shoperator.Edit{
			Revision: x.Number, EditID: x.EditID, Author: x.Author, At: x.At, Changes: x.Changes,
		})
	}
	return edits, nil
}

// Status implements shoperator.Backend. VMs that were up within the last ten
// minutes, and VMs of the settings, are listed as missing if they are not up.
func (o operations) Status(ctx context.Context) (shoperator.Status, error) {
	v := o.syncer.View()
	status := shoperator.Status{Revision: v.Revision}
	entries := v.Entries
	r, err := o.proposer.Read(ctx, shwire.ReadRequest{Entries: true})
	if err == nil {
		status.Revision = r.Revision
		status.Confirmed = true
		// The view of an entry VM may hold old revisions: heartbeats that change
		// only the revision are not sent to entry VMs.
		entries = r.Entries
	}
	listed := map[shmodel.VM]bool{}
	for _, h := range entries {
		listed[h.VM] = true
		status.Daemons = append(status.Daemons, o.daemonStatus(v, h, r.Leader))
	}
	for _, h := range r.Missing {
		listed[h.VM] = true
		missing := o.daemonStatus(v, h, "")
		missing.Missing, missing.Revision = true, 0
		status.Daemons = append(status.Daemons, missing)
	}
	for _, p := range o.settings.Peers {
		if !listed[p.VM] {
			status.Daemons = append(status.Daemons, shoperator.Daemon{
				VM: p.VM, Region: p.Region, FailureDomain: p.FailureDomain, Roles: p.Roles, AgeMS: -1, Missing: true,
			})
		}
	}
	return status, nil
}

func (o operations) daemonStatus(v *shview.View, h shdirectory.Heartbeat, leader shmodel.VM) shoperator.Daemon {
	roles := []shsettings.Role{shsettings.Entry}
	for _, p := range o.settings.Peers {
		if p.VM == h.VM {
			roles = p.Roles
		}
	}
	return shoperator.Daemon{
		VM: h.VM, Region: h.Place.Region, FailureDomain: h.Place.FailureDomain, Roles: roles, Revision: h.Revision,
		AgeMS: h.Age.Milliseconds(), Leader: leader == h.VM, Leaving: h.Leaving,
		Draining: slices.Contains(v.Drains.VMs, h.VM) || slices.Contains(v.Drains.Regions, h.Place.Region),
	}
}

// Drain implements shoperator.Backend.
func (o operations) Drain(ctx context.Context, t shoperator.Target) (shcontrol.DrainResult, error) {
	return o.setDrain(ctx, t, true)
}

// Undrain implements shoperator.Backend.
func (o operations) Undrain(ctx context.Context, t shoperator.Target) (shcontrol.DrainResult, error) {
	return o.setDrain(ctx, t, false)
}

func (o operations) setDrain(ctx context.Context, t shoperator.Target, draining bool) (shcontrol.DrainResult, error) {
	r, err := shview.ProposeFor[shcontrol.DrainResult](ctx, o.proposer, shcontrol.SetDrain{VM: t.VM, Region: t.Region, Draining: draining})
	o.syncer.Wake()
	return r, operatorError("set drain", err)
}

// AccountExport implements shoperator.Backend.
func (o operations) AccountExport(ctx context.Context, f shrecord.Filter, w io.Writer) error {
	lines, _, err := o.accountLines(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	for line, err := range f.Select(lines) {
		if err != nil {
			return err
		}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// AccountVerify implements shoperator.Backend.
func (o operations) AccountVerify(ctx context.Context) (shoperator.Verification, error) {
	lines, ranges, err := o.accountLines(ctx)
	if err != nil {
		return shoperator.Verification{}, err
	}
	var gaps []shoperator.Gap
	report, err := shrecord.VerifyLines(ranges, func(yield func(shrecord.Line, error) bool) {
		for line, err := range lines {
			if line.Kind == shrecord.GapLine && len(gaps) < maxGaps {
				gaps = append(gaps, shoperator.Gap{First: line.RequestID, Last: line.RequestID, VM: line.VM, Reason: line.Reason})
			}
			if !yield(line, err) {
				return
			}
		}
	})
	if err != nil {
		return shoperator.Verification{}, err
	}
	v := shoperator.Verification{
		Complete: report.Complete && len(gaps) == 0 && len(report.Problems) == 0, Requests: int64(report.Requests),
		Answered: int64(report.Outcomes[shmodel.Answered]), NotRun: int64(report.Outcomes[shmodel.NotRun]),
		Unknown: int64(report.Outcomes[shmodel.Unknown]), Missing: gaps,
	}
	for _, p := range report.Problems {
		v.Problems = append(v.Problems, string(p.Kind)+" "+p.RequestID.String()+" "+p.Detail)
	}
	return v, nil
}

// accountLines merges the stores of the account VMs. An account VM that cannot
// be reached is left out with a warning. An error while an account VM is read
// ends the sequence, because the export could miss records.
func (o operations) accountLines(ctx context.Context) (iter.Seq2[shrecord.Line, error], []shrecord.Range, error) {
	r, err := o.proposer.Read(ctx, shwire.ReadRequest{Ranges: true})
	if err != nil {
		return nil, nil, operatorError("read ranges", err)
	}
	var sources []iter.Seq2[shrecord.Record, error]
	for _, p := range o.settings.Peers {
		if !p.Has(shsettings.Account) {
			continue
		}
		if !o.reachable(ctx, p.PeerAddress) {
			o.log.Warn("account VM left out of the export; records that only it holds are missing", "accountVm", p.VM)
			continue
		}
		sources = append(sources, shaccount.Pages(ctx, shaccount.ReadRequest{}, func(ctx context.Context, q shaccount.ReadRequest) (shaccount.ReadResponse, error) {
			return shpeer.Call[shaccount.ReadResponse](ctx, o.client, p.PeerAddress, shwire.MethodAccountRead, q)
		}))
	}
	if len(sources) == 0 {
		return nil, nil, &shoperator.Error{Op: "read account", Kind: shoperator.KindUnavailable, Err: errors.New("no account VM answered")}
	}
	return shrecord.Export(r.Ranges, shrecord.Merge(sources...)), r.Ranges, nil
}

func (o operations) reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := shpeer.Call[shaccount.ReadResponse](ctx, o.client, address, shwire.MethodAccountRead, shaccount.ReadRequest{Limit: 1})
	return err == nil
}
