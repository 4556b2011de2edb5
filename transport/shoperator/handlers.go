package shoperator

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shdocument"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/internal/shlistener"
)

// mediaTypeJSON and mediaTypeLines are the media types of bodies.
const (
	mediaTypeJSON  = "application/json"
	mediaTypeLines = "application/x-ndjson"
)

const (
	// bodyFactor is the memory that a request takes for each byte of its body: the body,
	// the last copy of the buffer that grew to it, and the texts that are parsed from it.
	bodyFactor = 6
	// valueBytes is the memory that each value of a document takes beside its text: a
	// shdocument.Value of 80 bytes, its place in a list or a map, and its number or text.
	valueBytes = 192
)

// maxEditIDBytes bounds an edit ID, which the replicated state keeps.
const maxEditIDBytes = 128

func answer(w http.ResponseWriter, body any, err error) error {
	if err != nil {
		return err
	}
	writeJSON(w, mediaTypeJSON, http.StatusOK, body)
	return nil
}

// nonNil returns an empty slice for nil, which JSON would encode as null.
func nonNil[S ~[]T, T any](l S) S {
	if l == nil {
		return S{}
	}
	return l
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) error {
	current, err := s.Deployment.Config(r.Context())
	return answer(w, current, err)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) error {
	body, err := readBody(w, r, MaxBodyBytes)
	if err != nil {
		return err
	}
	edit, err := decodeEdit(body)
	if err != nil {
		return err
	}
	result, err := s.Deployment.Apply(r.Context(), edit)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return conflictError(edit, result)
	}
	writeJSON(w, mediaTypeJSON, http.StatusOK, result)
	return nil
}

// decodeEdit reads the body of an edit. The base revision must be given: a
// missing one cannot default to 0, the base of the first edit.
func decodeEdit(body *shdocument.Value) (shcontrol.ApplyConfig, error) {
	problems := shdocument.Check[shcontrol.ApplyConfig](body, false)
	if len(problems) > 0 {
		return shcontrol.ApplyConfig{}, invalidError(KindMalformed, problems)
	}
	edit, err := shdocument.Decode[shcontrol.ApplyConfig](body)
	if err != nil {
		return edit, newError(KindMalformed, err)
	}
	if edit.EditID == "" || len(edit.EditID) > maxEditIDBytes {
		problems.Add("/editId", "want 1 to %d bytes", maxEditIDBytes)
	}
	for _, key := range []string{"baseRevision", "config"} {
		if body.Members[key] == nil {
			problems.Add(shdocument.Join("", key), "missing")
		}
	}
	if len(problems) > 0 {
		return edit, invalidError(KindMalformed, problems)
	}
	config, found := shconfig.FromValue(body.Members["config"])
	if len(found) > 0 {
		return edit, invalidError(KindInvalid, found)
	}
	edit.Config = config
	return edit, nil
}

// conflictError returns the error for an edit that was not accepted. The changes
// in its problem are those that the edit would make to the current configuration.
func conflictError(edit shcontrol.ApplyConfig, result shcontrol.ConfigResult) error {
	changes, err := shconfig.Diff(result.Config, edit.Config)
	if err != nil {
		return err
	}
	p := newProblem(KindConflict, fmt.Sprintf("the edit is based on revision %d, the current one is %d",
		edit.BaseRevision, result.Revision))
	p.Current = &Current{Revision: result.Revision, Config: result.Config}
	p.Changes = changes
	return &Error{Kind: KindConflict, Err: errors.New(p.Detail), Problem: &p}
}

func invalidError(kind Kind, problems shconfig.Problems) error {
	problems.Sort()
	p := newProblem(kind, fmt.Sprintf("the body has %d mistakes", len(problems)))
	p.Problems = problems
	return &Error{Kind: kind, Err: problems, Problem: &p}
}

func (s *Server) check(w http.ResponseWriter, r *http.Request) error {
	body, err := readBody(w, r, MaxBodyBytes)
	if err != nil {
		return err
	}
	config, problems := shconfig.FromValue(body)
	current, err := s.Deployment.Config(r.Context())
	if err != nil {
		return err
	}
	result := CheckResult{Valid: len(problems) == 0, Problems: nonNil(problems), Revision: current.Revision}
	var changes []shconfig.Change
	if result.Valid {
		changes, err = shconfig.Diff(current.Config, config)
	}
	result.Changes = nonNil(changes)
	return answer(w, result, err)
}

func (s *Server) diff(w http.ResponseWriter, r *http.Request) error {
	body, err := readBody(w, r, MaxBodyBytes)
	if err != nil {
		return err
	}
	config, problems := shconfig.FromValue(body)
	if len(problems) > 0 {
		return invalidError(KindInvalid, problems)
	}
	current, err := s.Deployment.Config(r.Context())
	if err != nil {
		return err
	}
	changes, err := shconfig.Diff(current.Config, config)
	return answer(w, DiffResult{Revision: current.Revision, Changes: nonNil(changes)}, err)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) error {
	limit := DefaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxHistory {
			return newError(KindMalformed, fmt.Errorf("limit must be 1 to %d, got %q", MaxHistory, text))
		}
		limit = n
	}
	edits, err := s.Deployment.History(r.Context(), limit)
	return answer(w, nonNil(edits), err)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) error {
	status, err := s.Deployment.Status(r.Context())
	return answer(w, status, err)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) error {
	target, err := readTarget(w, r)
	if err != nil {
		return err
	}
	result, err := s.Deployment.Drain(r.Context(), target)
	return answer(w, result, err)
}

func (s *Server) undrain(w http.ResponseWriter, r *http.Request) error {
	target, err := readTarget(w, r)
	if err != nil {
		return err
	}
	result, err := s.Deployment.Undrain(r.Context(), target)
	return answer(w, result, err)
}

func readTarget(w http.ResponseWriter, r *http.Request) (Target, error) {
	body, err := readBody(w, r, MaxTargetBytes)
	if err != nil {
		return Target{}, err
	}
	if problems := shdocument.Check[Target](body, false); len(problems) > 0 {
		return Target{}, invalidError(KindMalformed, problems)
	}
	target, err := shdocument.Decode[Target](body)
	if err != nil {
		return target, newError(KindMalformed, err)
	}
	if (target.VM == "") == (target.Region == "") {
		return target, newError(KindMalformed, errors.New("either vm or region must be set"))
	}
	return target, nil
}

func (s *Server) accountExport(w http.ResponseWriter, r *http.Request) error {
	filter, err := filterOf(r.URL.Query())
	if err != nil {
		return newError(KindInvalid, err)
	}
	e := &exportWriter{w: w, controller: http.NewResponseController(w)}
	err = s.Deployment.AccountExport(r.Context(), filter, e)
	if err != nil && !e.started {
		return err
	}
	if err != nil {
		s.logger().Error("account export aborted", "error", err)
		// Closing the connection tells the client that the export is
		// incomplete; a normal end would look complete.
		panic(http.ErrAbortHandler)
	}
	e.writeHeader()
	return nil
}

// Parameters of an export. Times are RFC 3339.
const (
	parameterService = "service"
	parameterSince   = "since"
	parameterUntil   = "until"
)

// filterOf reads the parameters of an export.
func filterOf(q url.Values) (shrecord.Filter, error) {
	f := shrecord.Filter{Service: shmodel.Service(q.Get(parameterService))}
	for name := range q {
		if name != parameterService && name != parameterSince && name != parameterUntil {
			return f, fmt.Errorf("unknown parameter %q", name)
		}
	}
	for name, field := range map[string]*time.Time{parameterSince: &f.Since, parameterUntil: &f.Until} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return f, fmt.Errorf("parameter %s: %w", name, err)
		}
		*field = at
	}
	return f, nil
}

// queryOf is the reverse of filterOf.
func queryOf(f shrecord.Filter) string {
	q := url.Values{}
	if f.Service != "" {
		q.Set(parameterService, string(f.Service))
	}
	if !f.Since.IsZero() {
		q.Set(parameterSince, f.Since.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		q.Set(parameterUntil, f.Until.Format(time.RFC3339Nano))
	}
	if len(q) == 0 {
		return ""
	}
	return "?" + q.Encode()
}

// exportWriter sends the HTTP header before the first byte and extends the write
// deadline at each write, so that an export fails only if the client stops
// reading.
type exportWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

func (e *exportWriter) writeHeader() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", mediaTypeLines)
	e.w.WriteHeader(http.StatusOK)
}

// Write implements io.Writer.
func (e *exportWriter) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	e.writeHeader()
	_ = e.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return e.w.Write(data)
}

func (s *Server) accountVerify(w http.ResponseWriter, r *http.Request) error {
	verification, err := s.Deployment.AccountVerify(r.Context())
	return answer(w, verification, err)
}

func (s *Server) burnReport(w http.ResponseWriter, r *http.Request) error {
	report, err := s.Deployment.BurnReport(r.Context())
	return answer(w, report, err)
}

// readBody reads one JSON document of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*shdocument.Value, error) {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != mediaTypeJSON {
		return nil, newError(KindMediaType, errors.New("the body must be "+mediaTypeJSON))
	}
	shlistener.HoldBody(r, bodyFactor)
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if shlistener.IsShort(err) {
		w.Header().Set("Connection", "close")
		return nil, newError(KindUnavailable, err)
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, newError(KindTooLarge, fmt.Errorf("the body is larger than %d bytes", limit))
	}
	if err != nil {
		return nil, newError(KindMalformed, err)
	}
	if err := shlistener.ReserveBody(r, valueBytes*shdocument.CountValues(data)); err != nil {
		return nil, newError(KindUnavailable, err)
	}
	v, problems := shdocument.Parse("", data)
	if len(problems) > 0 {
		return nil, invalidError(KindMalformed, problems)
	}
	return v, nil
}
