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

	"topazpost/reducer"
)

const reportWait = 800 * time.Millisecond // for one report, so that three fit before an entry lapses

// control makes the reports that the reducer asks for, one at a time and apart from all else.
func (s *Server) control() error {
	client := http.Client{Timeout: reportWait}
	defer client.CloseIdleConnections()
	address := url.URL{Scheme: "http", Host: s.plate.Control, Path: "/v2/endpoints/" + s.plate.Name}
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case ready := <-s.reports:
			err := report(s.ctx, &client, address.String(), ready)
			s.put(reducer.Input{Kind: reducer.Reported, Err: err})
		}
	}
}

func report(ctx context.Context, client *http.Client, address string, ready bool) error {
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
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, io.LimitReader(answer.Body, 1<<10))
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}
