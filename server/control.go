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

const reportWait = 800 * time.Millisecond // for one report, so that three fit before an entry lapses

// report makes one report, apart from all else; the one before it is given up.
func (s *Server) report(e *node.Effect) {
	s.endReport()
	ctx, end := context.WithTimeout(s.ctx, reportWait)
	s.endReport = end
	address := url.URL{Scheme: "http", Host: e.Address, Path: "/v2/endpoints/" + s.config.Name}
	number, ready := e.Link, e.Ready
	s.group.Go(func() error {
		defer end()
		s.tell(node.Input{Kind: node.ReportFinished, Link: number, Err: put(ctx, &s.reporter, address.String(), ready)})
		return nil
	})
}

// newReporter opens a connection for each report: one that stood idle may have been forgotten at the other end.
func newReporter() http.Client {
	return http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func put(ctx context.Context, reporter *http.Client, address string, ready bool) error {
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
	answer, err := reporter.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 1<<10)) // only the status counts
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}
