package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/server"
)

// exchange sends a message to a node of a fleet and returns its sealed answer. A node of another fleet closes the
// connection; hint ends the question in that error.
func exchange(fleet, address string, message any, hint string) ([]byte, error) {
	request, err := envelope.Seal(nil, envelope.FleetIDOf(fleet), message)
	if err != nil {
		return nil, err
	}
	answer, err := server.Swap(context.Background(), "", address, request)
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("closed without an answer; is it a node of the fleet %q%s?", fleet, hint)
	}
	return answer, err
}

// queryView returns the view of a node.
func queryView(fleet, address string) (v membership.View, err error) {
	err = queryInto(fleet, address, "", &v)
	return v, err
}

// queryInto decodes a part of a node's state into a value; an empty part is its view.
func queryInto(fleet, address, part string, into any) error {
	answer, err := exchange(fleet, address, membership.Message{Kind: membership.MessageViewRequest, Detail: part}, "")
	if err == nil {
		err = envelope.Open(answer, envelope.FleetIDOf(fleet), into)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}
