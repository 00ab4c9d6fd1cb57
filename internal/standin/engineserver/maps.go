package engineserver

import (
	"currantledge.example/currantledge/internal/process/identifier"
)

// Codes with which the engine refuses orders about maps.
const (
	codeSwitchStepPassed = "switchStepPassed"
	codePreparationOpen  = "preparationOpen"
	codeUnknownMap       = "unknownMap"
	codeAlreadyDecided   = "alreadyDecided"
	codeInvalidMap       = "invalidMap"
)

// preparation is a map that the engine has acknowledged.
type preparation struct {
	version    identifier.MapVersion
	byRank     [][]int
	switchStep identifier.Step
	committed  bool
}

// mapState is the expert map of one rank and the change in preparation.
type mapState struct {
	version identifier.MapVersion
	byRank  [][]int
	open    *preparation
	// promised is the last step that the rank has agreed to run with the map in force.
	promised identifier.Step
	// outside is set while the rank takes no part in the steps of its group.
	outside bool
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
func (m *mapState) prepare(p preparation, experts int) string {
	if !validMap(p.byRank, len(m.byRank), experts) {
		return codeInvalidMap
	}
	if p.version == m.version {
		return ""
	}
	if m.open != nil {
		if m.open.version == p.version && m.open.switchStep == p.switchStep {
			return ""
		}
		return codePreparationOpen
	}
	if !m.outside && p.switchStep <= m.promised {
		return codeSwitchStepPassed
	}
	m.open = &p
	return ""
}

// decide resolves a preparation or returns the code of the refusal.
func (m *mapState) decide(version identifier.MapVersion, commit bool) string {
	known := m.open != nil && m.open.version == version
	switch {
	case commit && known:
		m.open.committed = true
		return ""
	case commit && m.version == version:
		return ""
	case commit:
		return codeUnknownMap
	case known && m.open.committed, !known && m.version == version:
		return codeAlreadyDecided
	case known:
		m.open = nil
	}
	return ""
}

// enter puts a decided map in force for the step. It returns false while the rank must not run the step because a
// preparation is undecided. A rank outside the steps of its group takes the group's map at once.
func (m *mapState) enter(step identifier.Step, groupVersion identifier.MapVersion) bool {
	if m.open == nil {
		m.promised = step
		return true
	}
	catchesUp := m.outside && m.open.version == groupVersion
	due := step >= m.open.switchStep || catchesUp
	if due && !m.open.committed {
		return false
	}
	if due {
		m.version = m.open.version
		m.byRank = m.open.byRank
		m.open = nil
	}
	m.promised = step
	return true
}

func (m *mapState) prepared() identifier.MapVersion {
	if m.open == nil {
		return 0
	}
	return m.open.version
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
