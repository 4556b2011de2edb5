package shconfig_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

func ExampleCompiled() {
	c, err := shconfig.Compile(shconfig.Config{
		Objective: shconfig.Latency,
		Regions:   map[shmodel.Region]shconfig.Region{"vermont": {FailureDomains: []shmodel.FailureDomain{"a"}}},
		Services: map[shmodel.Service]shconfig.Service{"deposits": {
			Hosts:            []string{"deposits.example"},
			Default:          shmodel.OnceOnly,
			Operations:       []shconfig.Operation{{Method: "GET", Path: "/deposits/{id}", Kind: shmodel.Idempotent}},
			DefaultTimeoutMS: 2000,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	s := c.Find("", "deposits.example:8080")
	fmt.Println(s.Name, s.Kind("GET", "/deposits/17"), s.Kind("POST", "/deposits"))
	// Output: deposits idempotent once-only
}

func compile(t assert.TestingT, fallback shmodel.OperationKind, operations ...shconfig.Operation) *shconfig.Compiled {
	c, err := shconfig.Compile(shconfig.Config{
		Objective: shconfig.Headroom,
		Regions:   map[shmodel.Region]shconfig.Region{"r": {FailureDomains: []shmodel.FailureDomain{"f"}}},
		Services: map[shmodel.Service]shconfig.Service{"s": {
			Hosts: []string{"s.example"}, Default: fallback, Operations: operations, DefaultTimeoutMS: 1,
		}},
	})
	assert.NilError(t, err)
	return c
}

// TestKind guards against once-only requests that are taken for idempotent
// because of an unusual form of their path, and against a later operation that
// takes precedence over an earlier one.
func TestKind(t *testing.T) {
	s := compile(t, shmodel.Idempotent,
		shconfig.Operation{Method: "POST", Path: "/payments/preview", Kind: shmodel.Idempotent},
		shconfig.Operation{Method: "POST", Path: "/payments/{id...}", Kind: shmodel.OnceOnly},
		shconfig.Operation{Method: "POST", Path: "/payments", Kind: shmodel.OnceOnly},
		shconfig.Operation{Method: "GET", Path: "/report", Kind: shmodel.OnceOnly},
	).Find("s", "")
	for request, want := range map[string]shmodel.OperationKind{
		"POST /payments":                shmodel.OnceOnly,
		"POST /payments/1/2":            shmodel.OnceOnly,
		"POST /payments/preview":        shmodel.Idempotent,
		"POST /%70ayments":              shmodel.OnceOnly,
		"POST //payments":               shmodel.OnceOnly,
		"POST /x/../payments":           shmodel.OnceOnly,
		"POST /payments/.":              shmodel.OnceOnly,
		"POST /x/%2e%2e/payments":       shmodel.OnceOnly,
		"POST /x%2F..%2Fpayments":       shmodel.OnceOnly,
		"POST /bad%zz":                  shmodel.OnceOnly,
		"POST /other/payments/":         shmodel.Idempotent,
		"GET /payments":                 shmodel.Idempotent,
		"HEAD /report":                  shmodel.OnceOnly,
		"PUT /report":                   shmodel.Idempotent,
		"POST /caf%C3%A9":               shmodel.Idempotent,
		"POST /payments/preview/x%20y/": shmodel.OnceOnly,
	} {
		method, path, _ := strings.Cut(request, " ")
		assert.Equal(t, s.Kind(method, path), want, request)
	}
}

// TestFind guards against requests that reach another service than the named
// one.
func TestFind(t *testing.T) {
	c := compile(t, shmodel.Idempotent)
	for host, found := range map[string]bool{
		"s.example": true, "S.Example": true, "s.example:80": true, "s.example.": true, "s.example.:80": true,
		"": false, "t.example": false, "[::1]:80": false,
	} {
		assert.Equal(t, c.Find("", host) != nil, found, host)
	}
	assert.Assert(t, c.Find("s", "t.example") != nil)
	assert.Assert(t, c.Find("unknown", "s.example") == nil)
}

// TestKindLikeServeMux guards against patterns that match otherwise than
// net/http documents.
func TestKindLikeServeMux(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "%61", "a%20b", "{x}"})
	ending := rapid.SampledFrom([]string{"", "/", "/{$}", "/{y...}", "/a"})
	requested := rapid.SampledFrom([]string{"a", "b", "%62", "a%20b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		pattern := "/" + segment.Draw(t, "segment") + ending.Draw(t, "ending")
		path := "/" + strings.Join(rapid.SliceOfN(requested, 0, 3).Draw(t, "path"), "/")
		// net/http redirects a path with two slashes to the clean path.
		if rapid.Bool().Draw(t, "slash") && path != "/" {
			path += "/"
		}
		mux := http.NewServeMux()
		mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
		r, err := http.NewRequest(http.MethodGet, "http://host"+path, nil)
		assert.NilError(t, err)
		handler, matched := mux.Handler(r)
		_, direct := handler.(http.HandlerFunc)
		s := compile(t, shmodel.Idempotent, shconfig.Operation{Method: "GET", Path: pattern, Kind: shmodel.OnceOnly})
		want := shmodel.Idempotent
		if matched != "" && direct {
			want = shmodel.OnceOnly
		}
		assert.Equal(t, s.Find("s", "").Kind("GET", path), want, "%s %s", pattern, path)
	})
}

// TestMatchAllocations guards against allocations in Find and Kind, which run for
// each request.
func TestMatchAllocations(t *testing.T) {
	c := compile(t, shmodel.OnceOnly,
		shconfig.Operation{Method: "GET", Path: "/a/{id}/b", Kind: shmodel.Idempotent},
		shconfig.Operation{Method: "GET", Path: "/c/{rest...}", Kind: shmodel.Idempotent},
	)
	allocations := testing.AllocsPerRun(100, func() {
		_ = c.Find("s", "").Kind("GET", "/a/17/b")
		_ = c.Find("", "s.example:8080").Kind("GET", "/c/d/e")
	})
	assert.Equal(t, allocations, 0.0)
}
