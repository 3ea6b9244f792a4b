package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"topazpost/internal/node"
)

const (
	reportTimeout       = 800 * time.Millisecond // three reports fit before an entry of the endpoint list expires
	maxReportReplyBytes = 1 << 10
)

// readinessReport is the body of a report to the control plane.
type readinessReport struct {
	Condition string `json:"condition"`
}

// sendReport sends a report in a goroutine of its own; the one before it is cancelled.
func (s *Server) sendReport(e *node.Effect) {
	s.cancelReport()
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	s.cancelReport = cancel
	address := url.URL{Scheme: "http", Host: e.Address, Path: "/v2/endpoints/" + s.config.Name}
	number := e.Link
	ready := e.Ready
	s.group.Go(func() error {
		defer cancel()
		err := putReport(ctx, &s.reportClient, address.String(), ready)
		s.enqueueInput(node.Input{Kind: node.ReportFinished, Link: number, Err: err})
		return nil
	})
}

// newReportClient opens a connection for each report: the control plane may have dropped one that was idle.
func newReportClient() http.Client {
	return http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func putReport(ctx context.Context, client *http.Client, address string, ready bool) error {
	report := readinessReport{Condition: "NotReady"}
	if ready {
		report.Condition = "Ready"
	}
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportReplyBytes)) // only the status counts
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
