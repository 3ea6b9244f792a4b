package main

import (
	"encoding/json"
	"testing"

	"topazpost/internal/fixture"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
)

// What commands print as JSON, which scripts read.
func TestPrintedJSONFixtures(t *testing.T) {
	t.Run("claims", func(t *testing.T) {
		p := &consensus.Summary{Time: -7e6}
		for k := range claims.StateNames {
			e := fixture.Filled[claims.Entry](uint32(k))
			e.State = claims.State(k)
			p.Claims = append(p.Claims, &e)
		}
		fixture.RoundTrip(t, "claims-v1.json", claimRows(p), json.Marshal, json.Unmarshal)
	})
	t.Run("outcome", func(t *testing.T) {
		fixture.RoundTrip(t, "outcome-v1.json", fixture.Filled[changeOutcome](1), json.Marshal, json.Unmarshal)
	})
	t.Run("standing", func(t *testing.T) {
		fixture.RoundTrip(t, "standing-v1.json", fixture.Filled[versionStatus](1), json.Marshal, json.Unmarshal)
	})
	t.Run("refusal", func(t *testing.T) {
		fixture.RoundTrip(t, "refusal-v1.json", fixture.Filled[refusal](1), json.Marshal, json.Unmarshal)
	})
	t.Run("names of statuses and ways", func(t *testing.T) {
		fixture.RoundTrip(t, "statuses-v1.json", membership.StatusNames, json.Marshal, json.Unmarshal)
		fixture.RoundTrip(t, "ways-v1.json", membership.ReachNames, json.Marshal, json.Unmarshal)
	})
}
