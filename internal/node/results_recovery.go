package node

import (
	"fmt"

	"topazpost/internal/resultcache"
)

const noTenant = -1 // in place of the index of a tenant

// unnamedRecords are what earlier builds stored, which name operations and tenants by index alone. They are taken to be of the operations
// and tenants that have the indices now.
type unnamedRecords struct {
	recovered        int
	unknownIndex     int
	withoutTenant    bool  // one of them has no tenant, also where its caller named one
	rememberedBefore int64 // when the tokens of them are forgotten
}

// recoverRecords passes records of the store to the result cache.
func (sm *StateMachine) recoverRecords(records []resultcache.Record) {
	rs := &sm.results
	for i := range records {
		r := &records[i]
		rs.recoveredRecords++
		key, known := sm.recoveredKey(r)
		if !known {
			continue
		}
		rs.inputs = append(rs.inputs, resultcache.Input{Kind: resultcache.RecordRecovered, Key: key, BodyHash: r.BodyHash, Completed: r.Completed,
			Outcome: r.Outcome, Result: r.Result})
	}
	sm.stepCache()
}

// recoveredKey returns the key of a record's token; known is false for a record without names whose indices have none.
func (sm *StateMachine) recoveredKey(r *resultcache.Record) (key resultcache.Key, known bool) {
	if r.Key.Operation != "" {
		return r.Key, true
	}
	unnamed := &sm.results.unnamed
	unnamed.recovered++
	unnamed.rememberedBefore = sm.now + sm.results.cache.Window()
	key = resultcache.Key{Operation: sm.config.Operations.Name(r.Indices.Operation), Tenant: sm.config.Tenants.Name(r.Indices.Tenant), Token: r.Key.Token}
	unnamed.withoutTenant = unnamed.withoutTenant || r.Indices.Tenant == noTenant
	if key.Operation == "" || key.Tenant == "" && r.Indices.Tenant != noTenant {
		unnamed.unknownIndex++
		return key, false
	}
	return key, true
}

// logUnnamedRecords logs that records of an earlier build were taken by index.
func (sm *StateMachine) logUnnamedRecords() {
	unnamed := &sm.results.unnamed
	if unnamed.recovered == 0 {
		return
	}
	sm.log(Warn, fmt.Sprintf("%d records of an earlier build name their operation and tenant by index; they count for those that have the index now, and %d have none",
		unnamed.recovered, unnamed.unknownIndex), "", nil)
}

// matchUnnamedRecord makes an invocation whose token is known only without a tenant a duplicate of that token, as long as records of an
// earlier build count: that stored no tenant where its configuration named none.
func (sm *StateMachine) matchUnnamedRecord(v *invocation) {
	rs := &sm.results
	if !rs.unnamed.withoutTenant || v.tokenKey.Tenant == "" || rs.isKnown(v.tokenKey) {
		return
	}
	if sm.now > rs.unnamed.rememberedBefore {
		rs.unnamed.withoutTenant = false
		return
	}
	withoutTenant := v.tokenKey
	withoutTenant.Tenant = ""
	if rs.isKnown(withoutTenant) {
		v.tokenKey = withoutTenant
	}
}

// restrictAfterDamage makes the node reject tokens without a record for as long as a token whose records are damaged may come again: it may
// have run.
func (sm *StateMachine) restrictAfterDamage(places int) {
	if places == 0 {
		return
	}
	rs := &sm.results
	rs.damagedUntil = sm.now + rs.cache.Window()
	sm.log(Warn, fmt.Sprintf("stored results are damaged at %d places; tokens without a record may have run and are throttled for %d s",
		places, rs.cache.Window()/(1_000*ms)), "", nil)
}
