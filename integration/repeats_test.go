package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// dropping starts a node as deployed, with no file of its own, whose one operation has its repeats dropped.
func dropping(t *testing.T, window int) *site {
	return start(t, false, func(config map[string]any) {
		settings := config["settings"].(map[string]any)
		grade := settings["grades"].([]any)[0].(map[string]any)
		grade["effect"], grade["window"] = "deduplicated", window
		settings["family_info"].(map[string]any)["entry_kb"] = 4_000 // of the executor's memory: a second one would find no room
	})
}

// ran are the bodies of the runs that were started since the last look.
func (s *site) ran() (bodies []string) {
	for len(s.told) > 0 {
		if w := <-s.told; w[0] == "EXEC" {
			bodies = append(bodies, w[len(w)-1])
		}
	}
	return bodies
}

func TestARepeatInHandWaitsForItsRunAndOneAfterItsEndGetsItsResult(t *testing.T) {
	s := dropping(t, 60_000)
	first, second := s.dial(), s.dial()
	first.invokeToken(1, "a", "hold")
	run := await(t, s.told)
	second.invokeToken(1, "a", "hold") // on another connection, while it runs
	second.invokeToken(2, "b", "other")
	assert.Equal(t, "20 on 2 other", second.answer(), "the repeat before it was read")
	s.notify("EXIT %d " + run[1] + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", first.answer())
	assert.Equal(t, "20 on 1 ok", second.answer())
	third := s.dial()
	third.invokeToken(1, "a", "hold")
	assert.Equal(t, "20 on 1 ok", third.answer())
	first.invokeToken(2, "a", "another body")
	assert.Equal(t, "51 on 2 ", first.answer(), "a token of another body")
	assert.Equal(t, []string{"other"}, s.ran(), "beside the first run")
}

func TestARepeatWhoseFirstCallerLeftGetsTheResultOfItsRun(t *testing.T) {
	s := dropping(t, 60_000)
	first, second := s.dial(), s.dial()
	first.invokeToken(1, "a", "hold")
	run := await(t, s.told)
	first.conn.Close()
	second.invokeToken(1, "a", "hold")
	second.invokeToken(2, "b", "other")
	assert.Equal(t, "20 on 2 other", second.answer())
	s.notify("EXIT %d " + run[1] + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", second.answer())
	assert.Equal(t, []string{"other"}, s.ran())
}

func TestARepeatRunsAgainOnlyAfterItsWindow(t *testing.T) {
	const window = 700 * time.Millisecond
	s := dropping(t, int(window/time.Millisecond))
	grade := s.config["settings"].(map[string]any)["grades"].([]any)[0].(map[string]any)
	grade["give_up"], grade["aim"] = 800, 600 // a token is known for so much longer than its window
	s.signal(syscall.SIGKILL)
	_ = await(t, s.ended) // the error of the kill
	s.run()
	d := s.dial()
	from := time.Now()
	d.invokeToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	assert.Len(t, s.ran(), 1)
	for stream := uint32(2); ; stream++ {
		sent := time.Now()
		d.invokeToken(stream, "a", "result")
		assert.Equal(t, fmt.Sprintf("20 on %d result", stream), d.answer())
		if len(s.ran()) > 0 {
			assert.GreaterOrEqual(t, time.Since(from), window)
			return
		}
		assert.Less(t, sent.Sub(from), 10*window, "it is forgotten some time")
		time.Sleep(5 * time.Millisecond)
	}
}

// In a drain, and after intake has ended, a repeat of one that ran is never told that it did not run.
func TestARepeatInADrainIsNeverThrottledOnceItRan(t *testing.T) {
	s := dropping(t, 60_000)
	d, other := s.dial(), s.dial()
	d.invokeToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	other.invokeToken(1, "c", "first")
	assert.Equal(t, "20 on 1 first", other.answer())
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	d.invokeToken(2, "a", "result")
	assert.Equal(t, "20 on 2 result", d.answer(), "intake is open still")
	d.rested()
	d.invokeToken(3, "a", "result") // it crosses
	assert.Regexp(t, `^(20 on 3 result|51 on 3 )$`, d.answer())
	other.rested()
	other.invokeToken(2, "b", "never ran")
	assert.Equal(t, "50 on 2 ", other.answer())
	d.ends()
	other.ends()
	assert.NoError(t, await(t, s.ended))
	assert.Equal(t, []string{"result", "first"}, s.ran())
}

// A new life knows nothing of the last one's tokens without a store: they run once in it too.
func TestARepeatAfterARestartRunsOnceInTheNewLife(t *testing.T) {
	s := dropping(t, 60_000)
	d := s.dial()
	d.invokeToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	s.signal(syscall.SIGKILL)
	_ = await(t, s.ended) // the error of the kill
	s.renew("old")
	s.run()
	for range 2 {
		d = s.dial()
		d.invokeToken(1, "a", "result")
		assert.Equal(t, "20 on 1 result", d.answer())
	}
	assert.Equal(t, []string{"result", "result"}, s.ran(), "one run in each life")
}

func TestUnknownEffectsAndMissingTokensAreNamed(t *testing.T) {
	s := dropping(t, 60_000)
	d := s.dial()
	d.invoke(1, "without a token")
	assert.Equal(t, "51 on 1 ", d.answer())
	assert.Contains(t, s.line("can't be used"), "field dedupe")
	grade := s.config["settings"].(map[string]any)["grades"].([]any)[0].(map[string]any)
	grade["effect"] = "once"
	s.configure(false)
	out, err := topazpost("check", s.path)
	assert.Error(t, err)
	assert.Contains(t, out, `grades.0.effect: "once" is not known`)
}
