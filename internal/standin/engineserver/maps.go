package engineserver

import (
	"cmp"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
)

// The codes with which the engine refuses orders about expert maps.
const (
	codeSwitchStepPassed = "switchStepPassed"
	codeNoStepRun        = "noStepRun"
	codeUnknownMap       = "unknownMap"
	codeAlreadyDecided   = "alreadyDecided"
	codeInvalidMap       = "invalidMap"
)

// minCommittedMaps is the number of committed maps that are always kept, because the newest may apply only from a later
// step.
const minCommittedMaps = 2

// scheduledMap is an expert map and the first step that uses it.
type scheduledMap struct {
	version    identifier.MapVersion
	byRank     [][]int
	switchStep identifier.Step
}

// mapState holds the expert maps of one instance of an engine. It is guarded by the mutex of the engine.
type mapState struct {
	ranks, experts int
	// standalone is set for an engine without a group. It shares its steps with no other rank, so that before its first
	// step it can agree to any switch step.
	standalone bool
	// prepared holds the maps that the engine has acknowledged and whose decision it has not received.
	prepared map[identifier.MapVersion]scheduledMap
	// decisions holds true for each committed version and false for each aborted one. Entries are never removed, so that
	// a late order has no effect.
	decisions map[identifier.MapVersion]bool
	// committed are the committed maps in ascending order of version.
	committed []scheduledMap
	// current is the map of the step that the engine runs or has agreed to run next.
	current scheduledMap
	// agreedStep is the last step that the engine has agreed to run.
	agreedStep identifier.Step
	// hasRun is set once this instance has run a step.
	hasRun bool
}

// newMapState returns a state without maps for a rank of a group. A standalone engine starts with a map.
func newMapState(cfg GroupConfig) *mapState {
	m := &mapState{
		ranks:      cfg.Size,
		experts:    cfg.Experts,
		standalone: !cfg.inGroup(),
		prepared:   map[identifier.MapVersion]scheduledMap{},
		decisions:  map[identifier.MapVersion]bool{},
	}
	if m.standalone {
		m.current = scheduledMap{byRank: initialMap(cfg.Size, cfg.Experts)}
		m.committed = []scheduledMap{m.current}
		m.decisions[m.current.version] = true
	}
	return m
}

// initialMap spreads the experts over the ranks in contiguous blocks.
func initialMap(ranks, experts int) [][]int {
	byRank := make([][]int, ranks)
	for expert := range experts {
		rank := expert * ranks / experts
		byRank[rank] = append(byRank[rank], expert)
	}
	return byRank
}

// prepare adds a prepared map. It returns "" if the order is acknowledged, otherwise the code of the refusal.
func (m *mapState) prepare(p scheduledMap) string {
	_, prepared := m.prepared[p.version]
	_, known := m.decisions[p.version]
	if prepared || known {
		return ""
	}
	if p.version == 0 || !validMap(p.byRank, m.ranks, m.experts) {
		return codeInvalidMap
	}
	if m.hasRun && p.switchStep <= m.agreedStep {
		return codeSwitchStepPassed
	}
	// A rank that has just started does not know which steps its group has already run.
	if !m.hasRun && !m.standalone && p.switchStep > 0 && !m.isRestoring() {
		return codeNoStepRun
	}
	m.prepared[p.version] = p
	return ""
}

// isRestoring reports whether a map with switch step 0 is prepared. An agent orders the map in use in this way after a
// restart of its engine.
func (m *mapState) isRestoring() bool {
	for _, p := range m.prepared {
		if p.switchStep == 0 {
			return true
		}
	}
	return false
}

// decide commits or aborts a prepared map. It returns "" if the order is acknowledged, otherwise the code of the
// refusal.
func (m *mapState) decide(version identifier.MapVersion, commit bool) string {
	p, prepared := m.prepared[version]
	committed, known := m.decisions[version]
	switch {
	case known && commit == committed:
		return ""
	case known && committed:
		return codeAlreadyDecided
	case commit && !prepared:
		return codeUnknownMap
	}
	delete(m.prepared, version)
	m.decisions[version] = commit
	if commit {
		m.addCommitted(p)
	}
	return ""
}

// addCommitted adds a committed map and removes old ones that no later step uses.
func (m *mapState) addCommitted(s scheduledMap) {
	m.committed = append(m.committed, s)
	slices.SortFunc(m.committed, func(a, b scheduledMap) int { return cmp.Compare(a.version, b.version) })
	for len(m.committed) > minCommittedMaps && m.committed[1].switchStep <= m.agreedStep {
		m.committed = slices.Delete(m.committed, 0, 1)
	}
}

// mapFor returns the map for a step. It returns false if the engine must not run the step, because a map that may apply
// to it is undecided or because there is no map.
func (m *mapState) mapFor(step identifier.Step) (scheduledMap, bool) {
	for _, p := range m.prepared {
		if p.switchStep <= step {
			return scheduledMap{}, false
		}
	}
	for _, s := range slices.Backward(m.committed) {
		if s.switchStep <= step {
			return s, true
		}
	}
	return scheduledMap{}, false
}

// activate makes the map for a step the current one. It returns false if the engine must not run the step.
func (m *mapState) activate(step identifier.Step) bool {
	s, allowed := m.mapFor(step)
	if allowed {
		m.current = s
	}
	return allowed
}

// agree records that the engine will run a step. It returns false if the engine must not run the step.
func (m *mapState) agree(step identifier.Step) bool {
	if !m.activate(step) {
		return false
	}
	m.agreedStep = step
	return true
}

// newestSwitchStep returns the switch step of the newest committed map.
func (m *mapState) newestSwitchStep() identifier.Step {
	if len(m.committed) == 0 {
		return 0
	}
	return m.committed[len(m.committed)-1].switchStep
}

// lowestPrepared returns the lowest version that is prepared and undecided, or 0.
func (m *mapState) lowestPrepared() identifier.MapVersion {
	lowest := identifier.MapVersion(0)
	for version := range m.prepared {
		if lowest == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}

// minSwitchStep returns the lowest switch step that the engine can still agree to.
func (m *mapState) minSwitchStep() identifier.Step {
	if !m.hasRun {
		return 0
	}
	return m.agreedStep + 1
}

// validMap reports whether a map has an entry for each rank and assigns every expert to at least one rank.
func validMap(byRank [][]int, ranks, experts int) bool {
	if len(byRank) != ranks {
		return false
	}
	held := make([]bool, experts)
	for _, rankExperts := range byRank {
		for _, expert := range rankExperts {
			if expert < 0 || expert >= experts {
				return false
			}
			held[expert] = true
		}
	}
	for _, isHeld := range held {
		if !isHeld {
			return false
		}
	}
	return true
}
