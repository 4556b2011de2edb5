package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/transport/shoperator"
)

// execute runs a command line and returns its code and output.
func execute(t *testing.T, args ...string) (code int, out, errors string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code = run(t.Context(), args, streams{in: strings.NewReader("from stdin"), out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

func assertContains(t *testing.T, text, part string) {
	t.Helper()
	assert.Assert(t, strings.Contains(text, part), "want %q in:\n%s", part, text)
}

// TestUsage guards against an exit code for a wrong command line that looks like
// a failure of the deployment.
func TestUsage(t *testing.T) {
	token := tokenFile(t)
	for line, want := range map[string]int{
		"--help":                             exitOK,
		"version":                            exitOK,
		"version --json":                     exitOK,
		"":                                   exitUsage,
		"unknown":                            exitUsage,
		"serve":                              exitUsage,
		"serve --settings absent":            exitUsage,
		"config check absent":                exitUsage,
		"config show":                        exitUsage,
		"place --entry nowhere --host shop":  exitUsage,
		"config show --operator 127.0.0.1:1": exitUsage,
		"config show --operator nowhere --token-file " + token:                      exitUsage,
		"config show --operator 127.0.0.1:1 --token-file absent":                    exitUsage,
		"drain --operator 127.0.0.1:1 --token-file " + token:                        exitUsage,
		"drain --vm a --region b --operator 127.0.0.1:1 --token-file " + token:      exitUsage,
		"config apply . --edit-id e --operator 127.0.0.1:1 --token-file " + token:   exitUsage,
		"config apply absent --base 1 --operator 127.0.0.1:1 --token-file " + token: exitUsage,
		"request --entry 127.0.0.1:1 --service s --path x":                          exitUsage,
		"request --entry 127.0.0.1:1 --service s --body @absent":                    exitUsage,
		"config show --operator 127.0.0.1:1 --token-file " + token:                  exitNotRun,
	} {
		code, _, stderr := execute(t, strings.Fields(line)...)
		assert.Equal(t, code, want, "%s: %s", line, stderr)
	}
}

// TestCheck guards against a check that names only the first mistake.
func TestCheck(t *testing.T) {
	code, out, _ := execute(t, "config", "check", filepath.Join("..", "..", "examples", "leadlight", "config"))
	assert.Equal(t, code, exitOK)
	assert.Equal(t, out, "valid: 7 files, 3 regions, 6 links, 4 services\n")

	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte("{\n\"objective\": 1,\n\"colour\": 2}"), 0o600))
	code, out, _ = execute(t, "config", "check", dir)
	assert.Equal(t, code, exitUsage)
	assertContains(t, out, "a.json:2: /objective: want a string, got the number 1\n")
	assertContains(t, out, "a.json:3: /colour: unknown field\n")
	assertContains(t, out, "invalid: 4 mistakes in 1 file\n")

	code, out, _ = execute(t, "config", "check", dir, "--json")
	assert.Equal(t, code, exitUsage)
	var report checkReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, len(report.Problems), 4)
	assert.Assert(t, !report.Valid)
}

// fakeDeployment is a Deployment with one revision. Methods that no test needs
// panic.
type fakeDeployment struct {
	shoperator.Deployment
	current shoperator.Current
	edit    shcontrol.ApplyConfig
	fail    error
}

func (f *fakeDeployment) Config(context.Context) (shoperator.Current, error) { return f.current, nil }

func (f *fakeDeployment) Apply(_ context.Context, edit shcontrol.ApplyConfig) (shcontrol.ConfigResult, error) {
	f.edit = edit
	result := shcontrol.ConfigResult{Revision: f.current.Revision, Config: f.current.Config}
	if edit.BaseRevision == f.current.Revision {
		result = shcontrol.ConfigResult{Accepted: true, Revision: f.current.Revision + 1, Config: edit.Config}
	}
	return result, f.fail
}

func (f *fakeDeployment) Status(context.Context) (shoperator.Status, error) {
	return shoperator.Status{Revision: 9, Confirmed: true, Daemons: []shoperator.Daemon{
		{VM: "a", Revision: 9, AgeMS: 120},
		{VM: "b", Revision: 8, AgeMS: 90_000, Missing: true},
	}}, nil
}

func (f *fakeDeployment) AccountVerify(context.Context) (shoperator.Verification, error) {
	return shoperator.Verification{Requests: 2, Missing: []shoperator.Gap{{First: 5, Last: 6, VM: "a"}}}, nil
}

func tokenFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("0123456789abcdef"), 0o600))
	return file
}

// serveFake starts an operator interface for f and selects it by environment
// variables.
func serveFake(t *testing.T, f *fakeDeployment) {
	t.Helper()
	server := httptest.NewServer((&shoperator.Server{Deployment: f, Token: "0123456789abcdef"}).Handler())
	t.Cleanup(server.Close)
	t.Setenv("SEQUOIAHOLLOW_OPERATOR", server.Listener.Addr().String())
	t.Setenv("SEQUOIAHOLLOW_TOKEN_FILE", tokenFile(t))
}

// TestApply guards against an apply that ends with the wrong exit code, loses
// the changes of a conflict, or cannot be repeated after an unknown outcome.
func TestApply(t *testing.T) {
	folder := filepath.Join("..", "..", "examples", "huon-ridge", "config")
	loaded, err := shconfig.Load(folder)
	assert.NilError(t, err)
	older := loaded.Config
	older.Limits.CrashLimit = 5
	unavailable := &shoperator.Error{Kind: shoperator.KindUnavailable, Err: errors.New("no quorum")}
	for name, c := range map[string]struct {
		args []string
		fail error
		code int
		want string
	}{
		"accepted":        {nil, nil, exitOK, "accepted: revision 5\n  - /limits: {\"crashLimit\":5}\n"},
		"accepted, JSON":  {[]string{"--json"}, nil, exitOK, `"revision": 5`},
		"conflict":        {[]string{"--base", "3"}, nil, exitConflict, "the current revision is 4\n"},
		"conflict change": {[]string{"--base", "3"}, nil, exitConflict, "- /limits: {\"crashLimit\":5}\n"},
		"conflict, JSON":  {[]string{"--base", "3", "--json"}, nil, exitConflict, `"accepted": false`},
		"not run":         {nil, unavailable, exitNotRun, "no quorum"},
		"unknown":         {[]string{"--edit-id", "e7", "--base", "4"}, errors.New("leader lost"), exitUnknown, "repeat with --edit-id e7 --base 4"},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDeployment{current: shoperator.Current{Revision: 4, Config: older}, fail: c.fail}
			serveFake(t, f)
			code, out, stderr := execute(t, append([]string{"config", "apply", folder, "--retry-pause", "1ms"}, c.args...)...)
			assert.Equal(t, code, c.code, stderr)
			assertContains(t, out+stderr, c.want)
			assert.Assert(t, f.edit.EditID != "")
		})
	}
}

// TestQueries guards against output that omits missing daemons or records.
func TestQueries(t *testing.T) {
	serveFake(t, &fakeDeployment{current: shoperator.Current{Revision: 4}})
	code, out, _ := execute(t, "config", "status")
	assert.Equal(t, code, exitOK)
	assertContains(t, out, "missing, 1m30s ago")
	assertContains(t, out, "1 of 2 daemons without revision 9")
	code, out, _ = execute(t, "account", "verify")
	assert.Equal(t, code, exitFailure)
	assertContains(t, out, "missing: 0000000000000005 to 0000000000000006 of a")
	code, out, _ = execute(t, "config", "show", "--json")
	assert.Equal(t, code, exitOK)
	assertContains(t, out, `"revision": 4`)
	code, out, _ = execute(t, "config", "diff", filepath.Join("..", "..", "examples", "huon-ridge", "config"))
	assert.Equal(t, code, exitOK)
	assertContains(t, out, "4 changes to revision 4\n  + /links: ")
}
