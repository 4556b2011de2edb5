package shsettings

import (
	"fmt"
	"os"
	"strings"

	"sequoiahollow/state/shdocument"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// Unreadable says that the settings file could not be read.
	Unreadable Kind = "unreadable"
	// Invalid says that the settings have mistakes; Err is a Problems.
	Invalid Kind = "invalid"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ":\n" + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problem is one mistake in the settings.
type Problem = shdocument.Problem

// Problems is the error of kind Invalid. It lists every mistake.
type Problems = shdocument.Problems

const (
	// maxSettingsBytes bounds a settings file. A file with 100 peers has about
	// 20 KiB.
	maxSettingsBytes = 1 << 20
	// minTokenBytes and maxTokenBytes bound the operator token. 16 bytes of
	// random text cannot be guessed over the network.
	minTokenBytes = 16
	maxTokenBytes = 1024
	// worldReadable is the permission bit for reading by other users.
	worldReadable = 0o004
)

// Load reads a settings file and checks it, including the data folder and the
// token file. The error is an *Error; for kind Invalid it lists every mistake.
func Load(file string) (Settings, error) {
	data, err := shdocument.ReadFile(file, maxSettingsBytes)
	if err != nil {
		return Settings{}, &Error{Op: "load settings", Kind: Unreadable, Err: err}
	}
	v, problems := shdocument.Parse(file, data)
	if v == nil {
		return Settings{}, &Error{Op: "load settings", Kind: Invalid, Err: problems}
	}
	problems = append(problems, shdocument.Check[Settings](v, false)...)
	settings, err := shdocument.Decode[Settings](v)
	if err != nil && len(problems) == 0 {
		problems = Problems{{File: file, Reason: err.Error()}}
	}
	found := append(settings.Validate(), settings.checkFiles()...)
	found.Locate(v)
	problems = append(problems, found.Unrelated(problems)...)
	if len(problems) > 0 {
		problems.Sort()
		return settings, &Error{Op: "load settings", Kind: Invalid, Err: problems}
	}
	return settings, nil
}

// checkFiles checks the data folder and the token file. A data folder that does
// not exist yet is no mistake, since the process creates it.
func (s Settings) checkFiles() Problems {
	var problems Problems
	if s.DataFolder != "" {
		info, err := os.Stat(s.DataFolder)
		switch {
		case err == nil && !info.IsDir():
			problems.Add("/dataFolder", "%s is not a folder", s.DataFolder)
		case err != nil && !os.IsNotExist(err):
			problems.Add("/dataFolder", "%v", err)
		}
	}
	if s.OperatorTokenFile != "" {
		if _, err := ReadToken(s.OperatorTokenFile); err != nil {
			problems.Add("/operatorTokenFile", "%v", err)
		}
	}
	return problems
}

// ReadToken reads an operator token from a regular file that other users
// cannot read. White space around the token is removed.
func ReadToken(file string) (string, error) {
	info, err := os.Stat(file)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() {
		return "", fmt.Errorf("%s is not a regular file", file)
	}
	if info.Mode().Perm()&worldReadable != 0 {
		return "", fmt.Errorf("%s has mode %04o: it must not be readable by others, for example 0600",
			file, info.Mode().Perm())
	}
	data, err := shdocument.ReadFile(file, maxTokenBytes)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		return "", fmt.Errorf("%s: the token has %d bytes, at least %d are needed", file, len(token), minTokenBytes)
	}
	if strings.ContainsFunc(token, notVisible) {
		return "", fmt.Errorf("%s: the token must be one line of visible ASCII characters", file)
	}
	return token, nil
}

// notVisible reports whether a character cannot be part of a bearer token.
func notVisible(r rune) bool { return r <= ' ' || r > '~' }
