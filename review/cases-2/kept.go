package main

import (
	"errors"
	"fmt"
	"time"

	standin "topazpost/review/standin-2"
)

const (
	answerTimeout = 8 * time.Second
	tokenWindow   = 13_023 * time.Millisecond // of graded-submit
	clientTimeout = 4_300 * time.Millisecond  // of graded-submit
)

var errNoAnswer = errors.New("no run could be had before the disruption")

// callUntilTaken sends an invocation, again after a refusal, until it gets another answer.
func callUntilTaken(w *world, n *standin.Node, v standin.Invocation) (standin.Answer, error) {
	for end := time.Now().Add(answerTimeout); ; time.Sleep(100 * time.Millisecond) {
		d, err := standin.Dial(w.record, "dispatcher", n.Address)
		if err != nil {
			return standin.Answer{}, err
		}
		a, err := d.Call(v, answerTimeout)
		d.Close()
		if err != nil || a.Code != 50 || time.Now().After(end) {
			return a, err
		}
		v.Again = true
	}
}

// restart kills a node with its executor, and starts both again.
func restart(w *world, n *standin.Node) error {
	n.Kill()
	w.executor.Restart()
	return n.Start()
}

// runsOf are the runs of an operation and a body.
func runsOf(w *world, class, body string) (runs []*standin.Run) {
	for _, r := range w.executor.Runs() {
		if r.Class == class && r.Body == body {
			runs = append(runs, r)
		}
	}
	return runs
}

// ranAgain reports whether a token ran again within its window, which begins no later than its first run.
func ranAgain(runs []*standin.Run) bool {
	return len(runs) > 1 && runs[1].At.Sub(runs[0].At) < tokenWindow
}

// playConfigOrder: a node that keeps results on disk is started anew with a file that has one operation more, before the tokened one. A repeat of
// a token within its window has to get the stored answer.
func playConfigOrder(w *world) error {
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
	const count = 5
	first := make([]standin.Answer, count)
	submit := func(k int, again bool) standin.Invocation {
		return standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: fmt.Sprintf("submission-%d", k), Body: fmt.Sprintf("sheet 4 of student %d", k),
			Again: again}
	}
	for k := range first {
		first[k], err = callUntilTaken(w, n, submit(k, false))
		if err != nil {
			return err
		}
		if first[k].Code != 20 {
			return errNoAnswer
		}
	}
	if w.trouble {
		w.record.Line("the operator adds the operation style-check, first in the list")
		operations := append([]any{operation("style-check", "idempotent", 720, 1_800, 0)}, tokenOperations()...)
		n.Config["settings"] = settings(operations, tenants("aigaio-academy", "kastro-school", "elia-tutors"))
	}
	if err := restart(w, n); err != nil {
		return err
	}
	for k := range first {
		a, err := callUntilTaken(w, n, submit(k, true))
		if err != nil {
			return err
		}
		runs := runsOf(w, "graded-submit", submit(k, true).Body)
		if ranAgain(runs) {
			w.breaks("token %s ran %d times, the second run %d ms after the first started; its window is 13023 ms; the repeat got %v, the first answer was %v",
				submit(k, true).Token, len(runs), runs[1].At.Sub(runs[0].At).Milliseconds(), &a, &first[k])
		} else if a.Code == 20 && a.Body != first[k].Body {
			w.breaks("token %s: the repeat got %q, the first answer was %q", submit(k, true).Token, a.Body, first[k].Body)
		}
	}
	return nil
}

// playTokenAgain: a token comes again after its window and runs anew, as it may. Then the node is killed and started again. A repeat of the second
// request, within the window, has to get the answer of the second request.
func playTokenAgain(w *world) error {
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
	hold := standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: "basket-17", Body: "hold desk 4"}
	first, err := callUntilTaken(w, n, hold)
	if err != nil {
		return err
	}
	time.Sleep(tokenWindow + clientTimeout + 2*time.Second)
	second, err := callUntilTaken(w, n, hold)
	if err != nil {
		return err
	}
	if first.Code != 20 || second.Code != 20 || len(w.executor.Runs()) != 2 {
		return errNoAnswer
	}
	if w.trouble {
		if err := restart(w, n); err != nil {
			return err
		}
	}
	hold.Again = true
	a, err := callUntilTaken(w, n, hold)
	if err != nil {
		return err
	}
	if a.Code == 20 && a.Body != second.Body {
		w.breaks("the repeat of the second request got %q, the second request's answer was %q", a.Body, second.Body)
	}
	return nil
}

// playTenantOrder: a node that keeps results on disk is started anew with a file that has one tenant more, before the others. A tenant's request must
// not be answered with what was run for another tenant.
func playTenantOrder(w *world) error {
	flags, err := w.keepFile()
	if err != nil {
		return err
	}
	schools := []string{"aigaio-academy", "kastro-school", "elia-tutors"}
	n, err := w.node("n1", flags, settings(tokenOperations(), tenants(schools...)))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	submit := func(school string, again bool) standin.Invocation {
		return standin.Invocation{Operation: "graded-submit", Tenant: school, Token: "exercise-4-attempt-1", Body: "the template of exercise 4", Again: again}
	}
	ownResults := map[string]map[string]bool{}
	for _, school := range schools {
		before := len(w.executor.Runs())
		a, err := callUntilTaken(w, n, submit(school, false))
		if err != nil || a.Code != 20 || len(w.executor.Runs()) != before+1 {
			return errors.Join(errNoAnswer, err)
		}
		ownResults[school] = map[string]bool{a.Body: true}
	}
	if w.trouble {
		w.record.Line("the operator adds the tenant delos-college, first in the list")
		n.Config["settings"] = settings(tokenOperations(), tenants(append([]string{"delos-college"}, schools...)...))
	}
	if err := restart(w, n); err != nil {
		return err
	}
	for _, school := range schools {
		before := len(w.executor.Runs())
		a, err := callUntilTaken(w, n, submit(school, true))
		if err != nil {
			return err
		}
		for _, r := range w.executor.Runs()[before:] { // another run is another rule's matter
			ownResults[school][r.Result()] = true
		}
		if a.Code == 20 && !ownResults[school][a.Body] {
			w.breaks("%s was answered with %q, which was run for another school; its own was %v", school, a.Body, ownResults[school])
		}
	}
	return nil
}
