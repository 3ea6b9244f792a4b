package integration

import (
	"bytes"
	"net/http"
)

// controlPlane is a stand-in for the control plane: it accepts every report.
type controlPlane struct {
	reports chan string // method, path and body of each
}

func newControlPlane() *controlPlane {
	return &controlPlane{reports: make(chan string, 100)}
}

// ServeHTTP records a report.
func (c *controlPlane) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body) // a test that reads a truncated report sees that it is
	c.reports <- r.Method + " " + r.URL.Path + " " + body.String()
	w.WriteHeader(http.StatusNoContent)
}
