package shconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"sequoiahollow/state/shdocument"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// Unreadable says that a folder could not be read.
	Unreadable Kind = "unreadable"
	// Invalid says that the documents have mistakes; Err is a Problems.
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

// Problem is one mistake in a configuration.
type Problem = shdocument.Problem

// Problems is the error of kind Invalid. It lists every mistake.
type Problems = shdocument.Problems

// Folder is the content of a configuration folder.
type Folder struct {
	Config Config
	// Files are the names of the merged files, in the order of the merge.
	Files []string
	// Notices describe what is valid but may be unintended.
	Notices []string
}

// Load reads a folder, merges its files and validates the result. The error is
// an *Error; for kind Invalid it lists every mistake found.
//
// Each file name that ends in .json and does not start with a dot is merged, in
// ascending byte order of the names. Other files and folders are ignored with
// a notice. A folder without such a file is an error, and so are equal keys
// within one object of one file. Unknown fields and wrong types are reported
// for each file, even where a later file replaces the value. The merged document
// is not validated if a file cannot be read or has a syntax error, since what
// the file defines is then unknown.
func Load(dir string) (Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Folder{}, &Error{Op: "load configuration", Kind: Unreadable, Err: err}
	}
	var folder Folder
	var problems Problems
	complete := true
	// A field that is missing in all files is reported with the folder as file.
	merged := shdocument.NewObject()
	merged.File = dir
	for _, entry := range entries {
		if reason := ignoreReason(entry); reason != "" {
			folder.Notices = append(folder.Notices, entry.Name()+": ignored, "+reason)
			continue
		}
		folder.Files = append(folder.Files, entry.Name())
		v, found := readFile(dir, entry.Name())
		problems = append(problems, found...)
		if v == nil {
			complete = false
			continue
		}
		if v.IsObject() {
			merged = shdocument.Merge(merged, v)
		}
	}
	if len(folder.Files) == 0 {
		problems = append(problems, Problem{File: dir, Reason: "no .json file in the folder"})
	}
	if complete && len(folder.Files) > 0 {
		folder.Config, problems = decodeAndValidate(merged, problems)
	}
	if len(problems) > 0 {
		problems.Sort()
		return folder, &Error{Op: "load configuration", Kind: Invalid, Err: problems}
	}
	folder.Notices = append(folder.Notices, notices(folder.Config)...)
	return folder, nil
}

// ignoreReason returns the reason to ignore an entry, or an empty string.
func ignoreReason(entry os.DirEntry) string {
	switch {
	case strings.HasPrefix(entry.Name(), "."):
		return "the name starts with a dot"
	case entry.IsDir():
		return "it is a folder"
	case filepath.Ext(entry.Name()) != ".json":
		return "the name does not end in .json"
	default:
		return ""
	}
}

func readFile(dir, name string) (*shdocument.Value, Problems) {
	data, err := shdocument.ReadFile(filepath.Join(dir, name), MaxFileBytes)
	if err != nil {
		return nil, Problems{{File: name, Reason: err.Error()}}
	}
	v, problems := shdocument.Parse(name, data)
	if v == nil {
		return nil, problems
	}
	return v, append(problems, shdocument.Check[Config](v, true)...)
}

// Parse reads one whole document, for example from the operator interface. It
// reports the same mistakes as Load and, in addition, null members. The error is
// an *Error.
func Parse(name string, data []byte) (Config, error) {
	v, found := shdocument.Parse(name, data)
	if v == nil {
		return Config{}, &Error{Op: "parse configuration", Kind: Invalid, Err: found}
	}
	config, problems := FromValue(v)
	problems = append(found, problems...)
	if len(problems) > 0 {
		problems.Sort()
		return config, &Error{Op: "parse configuration", Kind: Invalid, Err: problems}
	}
	return config, nil
}

// FromValue reads one whole document that may be part of another, such as the
// body of a request. Paths are relative to v.
func FromValue(v *shdocument.Value) (Config, Problems) {
	return decodeAndValidate(v, shdocument.Check[Config](v, false))
}

// decodeAndValidate decodes a document and validates it as a whole. It returns
// the known problems and those that it finds.
func decodeAndValidate(v *shdocument.Value, known Problems) (Config, Problems) {
	config, err := shdocument.Decode[Config](v)
	if err != nil && len(known) == 0 {
		return config, Problems{{Reason: err.Error()}}
	}
	found := append(config.Validate(), zeroLimits(v)...)
	found.Locate(v)
	return config, append(known, found.Unrelated(known)...)
}

// zeroLimits reports limits that are set to zero. Zero would select the
// default, while an operator who writes 0 expects a limit of zero.
func zeroLimits(v *shdocument.Value) Problems {
	var problems Problems
	limits := v.Find("/limits")
	if limits == nil {
		return nil
	}
	for _, key := range limits.Keys() {
		number, ok := limits.Members[key].Scalar.(json.Number)
		if !ok {
			continue
		}
		if value, err := number.Float64(); err == nil && value == 0 {
			problems.Add(shdocument.Join("/limits", key), "must be positive; remove the field to select the default")
		}
	}
	return problems
}
