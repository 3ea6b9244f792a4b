package configsync

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const canaryOneIn = 32 // one node in canaryOneIn is drawn for the canary stage, and at least one of each zone

// goal returns the revision to fetch next, if any: first the one in force for all, then the one at the canary stage.
func (r *Replicator) goal() (Revision, bool) {
	switch {
	case r.head.All.Version > r.ready.Version:
		return r.head.All, true
	case r.ready == r.head.All && r.applied.Version < r.ready.Version && r.ready != r.refused: // apply it before fetching the canary version
	case r.head.Canary.Version > r.ready.Version && !r.head.Stopped:
		return r.head.Canary, true
	}
	return Revision{}, false
}

// isCanary reports whether this node applies a version at its canary stage: one node in canaryOneIn does, the first of each zone, and a
// node that refused a version newer than the one it applied.
func (r *Replicator) isCanary(version uint64) bool {
	if r.refused.Version > r.applied.Version {
		return true
	}
	if r.canary.version != version {
		r.canary = canaryState{version: version, member: r.drawCanary(version)}
	}
	return r.canary.member
}

func (r *Replicator) drawCanary(version uint64) bool {
	own := canaryHash(r.config.Name, version)
	return own%canaryOneIn == 0 || !slices.ContainsFunc(r.view.Zone, func(name string) bool {
		return name != r.config.Name && canaryHash(name, version) < own
	})
}

func canaryHash(name string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d", name, version))
}

// advance makes versions ready from content that this node already has, and starts applying the ready one.
func (r *Replicator) advance(now int64, effects []Effect) []Effect {
	r.takeAgreedContent()
	r.trackGoal(now)
	r.useOfferedRecords(now)
	effects = r.proposeStop(now, effects)
	return r.applyReady(effects)
}

// takeAgreedContent makes the goal ready from the table's content, on a node with a replica.
func (r *Replicator) takeAgreedContent() {
	goal, ok := r.goal()
	if !ok || r.agreed == nil {
		return
	}
	for _, content := range [...]*Content{r.agreed.All, r.agreed.Canary} {
		if content.Digest() == goal.Digest {
			r.setReady(goal, content, nil)
			return
		}
	}
}

func (r *Replicator) trackGoal(now int64) {
	goal, ok := r.goal()
	switch {
	case !ok:
		r.goalSince = 0
	case r.goalSince == 0:
		r.goalSince = now
		r.fetch.failures = 0
		r.fetch.nextAt = now
	case r.assembly.revision.Version <= r.ready.Version || r.assembly.revision.Version > goal.Version:
		r.assembly.index = nil
	}
}

// useOfferedRecords extends the record chain by records that a neighbour sent with its announcement.
func (r *Replicator) useOfferedRecords(now int64) {
	if _, ok := r.goal(); !ok || r.chain.content != nil {
		return
	}
	for _, name := range r.view.Neighbours {
		p := r.peers[name]
		if p == nil || len(p.offered) == 0 || p.offered[0].Version != r.ready.Version+1 || p.offered[0].Base != r.ready.Digest {
			continue
		}
		records := p.offered
		p.offered = nil
		if r.extendChain(now, p, records) {
			return
		}
	}
}

// applyReady applies the ready version if its stage includes this node, or checks it while only canaries apply it.
func (r *Replicator) applyReady(effects []Effect) []Effect {
	if r.applying.Version > 0 || r.ready.Version <= r.applied.Version || r.ready == r.refused {
		return effects
	}
	canary := r.ready == r.head.Canary && r.ready.Version > r.head.All.Version
	if canary && r.head.Stopped || !canary && r.ready != r.head.All {
		return effects
	}
	if canary && !r.isCanary(r.ready.Version) { // a refusal by any node stops a version at the canary stage
		return r.checkReady(effects)
	}
	r.applying = r.ready
	r.applyingContent = r.readyContent
	return append(effects, Effect{Kind: ApplyVersion, Revision: r.ready, Canary: canary, Old: r.appliedContent, New: r.readyContent})
}

func (r *Replicator) checkReady(effects []Effect) []Effect {
	if r.validating == r.ready {
		return effects
	}
	r.validating = r.ready
	return append(effects, Effect{Kind: CheckVersion, Revision: r.ready, Canary: true, Old: r.appliedContent, New: r.readyContent})
}

// handleChecked handles the result of a CheckVersion effect.
func (r *Replicator) handleChecked(now int64, in *Input, effects []Effect) []Effect {
	if in.Why == "" || in.Revision != r.validating || in.Revision == r.refused || in.Revision == r.applying || in.Revision == r.applied {
		return effects
	}
	return r.refuse(now, in.Revision, in.Why, effects)
}

// handleApplied handles the result of an ApplyVersion effect.
func (r *Replicator) handleApplied(now int64, in *Input, effects []Effect) []Effect {
	if in.Revision != r.applying || r.applying.Version == 0 {
		return effects
	}
	content := r.applyingContent
	r.applying = Revision{}
	r.applyingContent = nil
	if in.Why != "" {
		return r.refuse(now, in.Revision, in.Why, effects)
	}
	r.Counters.Applied++
	r.applied = in.Revision
	r.appliedContent = content
	r.appliedAt = now
	r.source = "fleet"
	r.recordOwnStatus(now)
	if r.reports.answerDeadline == 0 {
		r.reports.dueAt = min(r.reports.dueAt, now+r.randomUpTo(appliedReportSpread))
	}
	return r.persist(effects)
}

// refuse records that a version can't be applied on this node, and schedules a report to a replica.
func (r *Replicator) refuse(now int64, revision Revision, reason string, effects []Effect) []Effect {
	r.refused = revision
	r.refusedReason = truncate(reason, maxReasonBytes)
	r.Counters.Refused++
	r.reports.dueAt = min(r.reports.dueAt, now)
	r.recordOwnStatus(now)
	return append(effects, warning("configuration: version %d can't be applied, version %d stays in force: %s", revision.Version, r.applied.Version, r.refusedReason))
}
