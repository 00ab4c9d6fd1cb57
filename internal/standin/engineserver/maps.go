package engineserver

import (
	"cmp"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Codes with which the engine refuses orders about maps.
const (
	codeSwitchStepPassed = "switchStepPassed"
	codeNoStepRun        = "noStepRun"
	codeUnknownMap       = "unknownMap"
	codeAlreadyDecided   = "alreadyDecided"
	codeInvalidMap       = "invalidMap"
)

// keptMaps is the number of committed maps that are kept at least: the newest may apply only from a later step.
const keptMaps = 2

// scheduledMap is an expert map and the first step that uses it.
type scheduledMap struct {
	version    identifier.MapVersion
	byRank     [][]int
	switchStep identifier.Step
}

// mapState holds the expert maps of one life of an engine.
type mapState struct {
	ranks, experts int
	// alone is set for an engine without a group. Its steps are its own, so any switch step is ahead before the first.
	alone bool
	// prepared are the acknowledged maps that are undecided.
	prepared map[identifier.MapVersion]scheduledMap
	// decided tells whether a decided version was committed. It is kept for the whole life, so that a late order has no
	// effect.
	decided map[identifier.MapVersion]bool
	// committed are the committed maps in ascending order of version.
	committed []scheduledMap
	// current is the map of the step that the engine runs or has agreed to run next.
	current scheduledMap
	// promised is the last step that the engine has agreed to run.
	promised identifier.Step
	// ran is set once the engine has run a step in this life.
	ran bool
}

// newMapState returns a state without maps for a rank of a group. An engine that steps alone has a first map.
func newMapState(cfg GroupConfig) *mapState {
	m := &mapState{
		ranks:    cfg.Size,
		experts:  cfg.Experts,
		alone:    !cfg.grouped(),
		prepared: map[identifier.MapVersion]scheduledMap{},
		decided:  map[identifier.MapVersion]bool{},
	}
	if m.alone {
		m.current = scheduledMap{byRank: initialMap(cfg.Size, cfg.Experts)}
		m.committed = []scheduledMap{m.current}
		m.decided[m.current.version] = true
	}
	return m
}

// initialMap spreads the experts over the ranks in contiguous blocks.
func initialMap(ranks, experts int) [][]int {
	byRank := make([][]int, ranks)
	for x := range experts {
		rank := x * ranks / experts
		byRank[rank] = append(byRank[rank], x)
	}
	return byRank
}

// prepare acknowledges a map or returns the code of the refusal.
func (m *mapState) prepare(p scheduledMap) string {
	_, open := m.prepared[p.version]
	_, decided := m.decided[p.version]
	if open || decided {
		return ""
	}
	if p.version == 0 || !validMap(p.byRank, m.ranks, m.experts) {
		return codeInvalidMap
	}
	if m.ran && p.switchStep <= m.promised {
		return codeSwitchStepPassed
	}
	// A rank that has just started does not know which steps its group has passed.
	if !m.ran && !m.alone && p.switchStep > 0 && !m.installing() {
		return codeNoStepRun
	}
	m.prepared[p.version] = p
	return ""
}

// installing tells whether a map in force is being ordered after a restart.
func (m *mapState) installing() bool {
	for _, p := range m.prepared {
		if p.switchStep == 0 {
			return true
		}
	}
	return false
}

// decide resolves a preparation or returns the code of the refusal.
func (m *mapState) decide(version identifier.MapVersion, commit bool) string {
	p, open := m.prepared[version]
	committed, decided := m.decided[version]
	switch {
	case decided && commit == committed:
		return ""
	case decided && committed:
		return codeAlreadyDecided
	case commit && !open:
		return codeUnknownMap
	}
	delete(m.prepared, version)
	m.decided[version] = commit
	if commit {
		m.keep(p)
	}
	return ""
}

// keep adds a committed map and drops old ones that no step can use any more.
func (m *mapState) keep(s scheduledMap) {
	m.committed = append(m.committed, s)
	slices.SortFunc(m.committed, func(a, b scheduledMap) int { return cmp.Compare(a.version, b.version) })
	for len(m.committed) > keptMaps && m.committed[1].switchStep <= m.promised {
		m.committed = slices.Delete(m.committed, 0, 1)
	}
}

// at returns the map for a step. It returns false if an undecided preparation or the lack of a map forbids the step.
func (m *mapState) at(step identifier.Step) (scheduledMap, bool) {
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

// adopt puts the map for a step in force, unless the engine must not run the step.
func (m *mapState) adopt(step identifier.Step) bool {
	s, allowed := m.at(step)
	if allowed {
		m.current = s
	}
	return allowed
}

// enter agrees to run a step, unless the engine must not run it.
func (m *mapState) enter(step identifier.Step) bool {
	if !m.adopt(step) {
		return false
	}
	m.promised = step
	return true
}

// newestStep returns the switch step of the newest committed map.
func (m *mapState) newestStep() identifier.Step {
	if len(m.committed) == 0 {
		return 0
	}
	return m.committed[len(m.committed)-1].switchStep
}

// lowestOpen returns the lowest undecided version, or 0.
func (m *mapState) lowestOpen() identifier.MapVersion {
	low := identifier.MapVersion(0)
	for version := range m.prepared {
		if low == 0 || version < low {
			low = version
		}
	}
	return low
}

// agreeable returns the lowest switch step that the engine could still agree to.
func (m *mapState) agreeable() identifier.Step {
	if !m.ran {
		return 0
	}
	return m.promised + 1
}

// validMap tells whether a map has the right size and holds every expert.
func validMap(byRank [][]int, ranks, experts int) bool {
	if len(byRank) != ranks {
		return false
	}
	held := make([]bool, experts)
	for _, list := range byRank {
		for _, x := range list {
			if x < 0 || x >= experts {
				return false
			}
			held[x] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}
