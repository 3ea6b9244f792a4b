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

const reportTimeout = 800 * time.Millisecond // for one report, so that three fit before an entry lapses

// sendReport makes one sendReport, apart from all else; the one before it is given up.
func (s *Server) sendReport(e *node.Effect) {
	s.cancelReport()
	ctx, end := context.WithTimeout(s.ctx, reportTimeout)
	s.cancelReport = end
	address := url.URL{Scheme: "http", Host: e.Address, Path: "/v2/endpoints/" + s.config.Name}
	number, ready := e.Link, e.Ready
	s.group.Go(func() error {
		defer end()
		s.enqueueInput(node.Input{Kind: node.ReportFinished, Link: number, Err: putReport(ctx, &s.reportClient, address.String(), ready)})
		return nil
	})
}

// newReportClient opens a connection for each report: one that stood idle may have been forgotten at the other end.
func newReportClient() http.Client {
	return http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func putReport(ctx context.Context, client *http.Client, address string, ready bool) error {
	condition := "NotReady"
	if ready {
		condition = "Ready"
	}
	body, err := json.Marshal(map[string]string{"condition": condition})
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
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<10)) // only the status counts
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
