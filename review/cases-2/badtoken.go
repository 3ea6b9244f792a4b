package main

import (
	"fmt"
	"strings"

	standin "topazpost/review/standin-2"
)

// sendBadToken has a bad client send a request whose token is no text.
func sendBadToken(w *world, n *standin.Node) error {
	d, err := standin.Dial(w.record, "bad client", n.Address)
	if err != nil {
		return err
	}
	defer d.Close()
	_, err = d.Call(standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: "\xff\xfe\x80", Body: "unreadable"}, answerTimeout)
	return err
}

// playBadToken: a bad client sends one token that is no text. Later the node is killed and started again with the results that it kept.
func playBadToken(w *world) error {
	flags, err := w.keepFile()
	if err != nil {
		return err
	}
	n, err := w.node("n1", flags, settings(tokenOperations(), tenants("aigaio-academy", "kastro-school", "elia-tutors")))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	submit := func(k int, again bool) standin.Invocation {
		return standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: fmt.Sprintf("submission-%d", k), Body: fmt.Sprintf("sheet %d", k), Again: again}
	}
	const count = 3
	var first [count]standin.Answer
	for k := range first {
		if k == 1 && w.trouble {
			if err := sendBadToken(w, n); err != nil {
				return err
			}
		}
		if first[k], err = callUntilTaken(w, n, submit(k, false)); err != nil || first[k].Code != 20 {
			return errNoAnswer
		}
	}
	n.Kill()
	w.executor.Restart()
	if err := n.Start(); err != nil {
		if !n.Running() {
			w.breaks("the node ended right after its start: %s", strings.TrimSpace(n.Log()))
			return nil
		}
		return err
	}
	for k := range first {
		a, err := callUntilTaken(w, n, submit(k, true))
		if err != nil {
			return err
		}
		if a.Code != 20 || a.Body != first[k].Body {
			w.breaks("the repeat of %s got %s, the first answer was %s", submit(k, true).Token, &a, &first[k])
		}
	}
	return nil
}
