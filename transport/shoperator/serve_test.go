package shoperator_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shoperator"
)

// TestServe guards against headers of unlimited size, and against a shutdown
// that leaves the address in use or returns an error.
func TestServe(t *testing.T) {
	l := shloopback.Listen(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- (&shoperator.Server{Deployment: &fakeDeployment{}, Token: token}).Serve(ctx, l) }()
	response := send(t, l.Addr().String(), "GET /healthz", nil, "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	long := http.Header{"X-Long": {strings.Repeat("x", 2*shoperator.MaxHeaderBytes)}}
	response = send(t, l.Addr().String(), "GET /healthz", long, "")
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	stop()
	assert.NilError(t, <-done)
	again, err := net.Listen("tcp", l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
