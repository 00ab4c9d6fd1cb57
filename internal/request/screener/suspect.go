package screener

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// A content is isolated at isolationStrength and refused at refusalStrength, unless other contents explain its crashes. At
	// ambiguousStrength only stronger ones do.
	isolationStrength = 1
	refusalStrength   = 2
	ambiguousStrength = 3
	// beginningWeight is the strength of a crash of an upstream that was about to send its first event.
	beginningWeight = 2
	// minRefusal is how long requests are refused at first. Each further crash multiplies it by refusalGrowth, up to
	// maxRefusal. After that time one request at a time shows whether the upstreams still crash.
	minRefusal    = time.Minute
	refusalGrowth = 4
	maxRefusal    = 10 * time.Minute
	// spreadDivisor sets the part of a refusal by which its end is delayed at each gateway for a request as a whole, so that the
	// clients of all gateways, which return when it ends, do not send it at the same time.
	spreadDivisor = 8
	// maxExplanations bounds the contents that explain one crash. A crash with more of them refuses nothing.
	maxExplanations = 8
	// maxChanges bounds the changes that are kept until they are taken.
	maxChanges = 64
)

// State is what follows from the evidence on a content.
type State string

const (
	// StateIsolated means that requests with the content are isolated.
	StateIsolated State = "isolated"
	// StateRefused means that requests with the content are refused.
	StateRefused State = "refused"
	// StateCleared means that the content is no longer suspected.
	StateCleared State = "cleared"
)

// Change is a change of what follows from the evidence on a content.
type Change struct {
	Content identifier.ContentHash
	// Part is the part of a prompt that the content is; empty for a request as a whole, and if only other gateways have
	// seen it.
	Part  identifier.PromptPart
	Whole bool
	State State
	// Crashes is the number of crashes since the last answer that count, and Strength the evidence that they make.
	Crashes  int
	Strength int
	// Explanations is the least number of other contents that explain one of the crashes.
	Explanations int
	// AnsweredAt is when the content was last shown to be sound, or zero.
	AnsweredAt time.Time
}

// suspect is a content that is isolated or refused.
type suspect struct {
	content *content
	// crashes are the live ones that no distinct part explains, and strength is theirs.
	crashes  []federator.CrashedRun
	strength int
	// explanations holds, for each crash, the other contents that explain it as well. Requests with all of those of one crash
	// are refused.
	explanations [][]identifier.ContentHash
	until        time.Time
}

// verdict returns whether a request of a customer with some contents may run.
func (l *ledger) verdict(now time.Time, customer identifier.CustomerHash, hashes []identifier.ContentHash) Verdict {
	l.derive()
	if len(l.suspects) == 0 {
		return Clear{}
	}
	var strongest *suspect
	var until time.Time
	for _, hash := range hashes {
		s, found := l.suspects[hash]
		if !found {
			continue
		}
		if s.until.After(until) && s.until.After(now) && s.refuses(customer, hashes) {
			until = s.until
		}
		if strongest == nil || s.compare(strongest) < 0 {
			strongest = s
		}
	}
	switch {
	case !until.IsZero():
		return Refused{Until: until}
	case strongest != nil:
		return Isolated{Part: identifier.PromptPart(strongest.content.hash.String())}
	}
	return Clear{}
}

// isDistinct reports whether the content is a part that no answer has shown to be sound. Such a part explains the crashes of
// answered contents, and of requests as a whole: each of these is in all crashes of its own.
func (c *content) isDistinct() bool {
	return !c.whole && c.answeredAt.IsZero()
}

// suspectsByCrash holds, for each site and span of time, the suspects with a crash in it, the strongest first.
type suspectsByCrash map[crashKey][]crashOfSuspect

// crashKey is a site and the number of a span of outageSpan. The runs of one crash are in the same span or in adjacent ones.
type crashKey struct {
	site identifier.CrashSite
	span int64
}

func newCrashKey(crash federator.CrashedRun) crashKey {
	return crashKey{crash.Site, crash.At.UnixNano() / int64(outageSpan)}
}

type crashOfSuspect struct {
	suspect *suspect
	crash   federator.CrashedRun
}

func (b suspectsByCrash) add(suspects []*suspect) {
	for _, s := range suspects {
		for _, crash := range s.crashes {
			key := newCrashKey(crash)
			b[key] = append(b[key], crashOfSuspect{s, crash})
		}
	}
	for _, present := range b {
		slices.SortFunc(present, func(x, y crashOfSuspect) int { return cmp.Compare(y.suspect.strength, x.suspect.strength) })
	}
}

// at yields the suspects of at least a strength that were running at a crash.
func (b suspectsByCrash) at(crash federator.CrashedRun, least int) iter.Seq[*suspect] {
	return func(yield func(*suspect) bool) {
		key := newCrashKey(crash)
		for span := key.span - 1; span <= key.span+1; span++ {
			for _, other := range b[crashKey{key.site, span}] {
				if other.suspect.strength < least {
					break
				}
				if isSameCrash(other.crash, crash) && !yield(other.suspect) {
					return
				}
			}
		}
	}
}

// hasAt reports whether a suspect of at least a strength was running at a crash.
func (b suspectsByCrash) hasAt(crash federator.CrashedRun, least int) bool {
	for range b.at(crash, least) {
		return true
	}
	return false
}

// derive derives the suspects from the contents if these have changed.
func (l *ledger) derive() {
	if !l.outdated {
		return
	}
	l.outdated = false
	former := l.suspects
	l.suspects = map[identifier.ContentHash]*suspect{}
	var distinct, others []*content
	for _, known := range l.contents {
		switch {
		case known.strength() < isolationStrength:
		case known.isDistinct():
			distinct = append(distinct, known)
		default:
			others = append(others, known)
		}
	}
	byCrash := suspectsByCrash{}
	l.addSuspects(distinct, byCrash)
	l.addSuspects(others, byCrash)
	l.noteChanges(former)
}

// addSuspects adds contents to the suspects, by those of their crashes that the present suspects do not explain.
func (l *ledger) addSuspects(contents []*content, byCrash suspectsByCrash) {
	var added []*suspect
	for _, known := range contents {
		s := &suspect{content: known}
		s.crashes = slices.DeleteFunc(slices.Clone(known.live()), func(crash federator.CrashedRun) bool {
			return byCrash.hasAt(crash, isolationStrength)
		})
		if s.strength = known.strengthOf(s.crashes); s.strength >= isolationStrength {
			added = append(added, s)
		}
	}
	byCrash.add(added)
	for _, s := range added {
		if !s.isOutweighed(byCrash) {
			s.explain(byCrash)
			s.until = s.refusedUntil(l.node)
			l.suspects[s.content.hash] = s
		}
	}
}

// isOutweighed reports whether each crash of a suspect has a stronger suspect, so that nothing points at this one.
func (s *suspect) isOutweighed(byCrash suspectsByCrash) bool {
	return !slices.ContainsFunc(s.crashes, func(crash federator.CrashedRun) bool { return !byCrash.hasAt(crash, s.strength+1) })
}

// explain sets the explanations of the crashes of a suspect.
func (s *suspect) explain(byCrash suspectsByCrash) {
	if s.strength < refusalStrength {
		return
	}
	least := s.strength
	if s.strength >= ambiguousStrength {
		least++
	}
	for _, crash := range s.crashes {
		explanation := []identifier.ContentHash{}
		for other := range byCrash.at(crash, least) {
			if other != s && (s.content.whole || !other.content.whole) {
				explanation = append(explanation, other.content.hash)
			}
			if len(explanation) > maxExplanations {
				break
			}
		}
		if len(explanation) <= maxExplanations {
			s.explanations = append(s.explanations, explanation)
		}
	}
}

// refuses reports whether a request of a customer with some contents is refused for the suspect.
func (s *suspect) refuses(customer identifier.CustomerHash, hashes []identifier.ContentHash) bool {
	return s.content.blames(customer) && slices.ContainsFunc(s.explanations, func(explanation []identifier.ContentHash) bool {
		return !slices.ContainsFunc(explanation, func(hash identifier.ContentHash) bool { return !slices.Contains(hashes, hash) })
	})
}

// refusedUntil returns when the refusal of the suspect ends at a gateway.
func (s *suspect) refusedUntil(node identifier.Node) time.Time {
	refusal := minRefusal
	for range min(s.strength, s.content.outagesOf(s.crashes)+1) - refusalStrength {
		refusal = min(refusal*refusalGrowth, maxRefusal)
	}
	end := s.content.lastCrash().Add(refusal)
	if s.content.whole {
		spread := uint64(refusal / spreadDivisor)
		end = end.Add(time.Duration(xxhash.Sum64String(string(node)+"/"+s.content.hash.String()) % spread))
	}
	return end
}

// compare orders suspects by their evidence, the strongest first.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(other.strength, s.strength), compareWhole(s.content, other.content),
		cmp.Compare(s.content.hash, other.content.hash))
}

func (s *suspect) state() State {
	if len(s.explanations) > 0 {
		return StateRefused
	}
	return StateIsolated
}

// noteChanges notes how the suspects differ from the former ones. Of the isolated ones only parts that were never answered are
// noted, since a crash can isolate all requests that were running and many parts.
func (l *ledger) noteChanges(former map[identifier.ContentHash]*suspect) {
	for hash, s := range l.suspects {
		if old, found := former[hash]; !found || old.state() != s.state() {
			l.note(s, s.state())
		}
	}
	for hash, old := range former {
		if l.suspects[hash] == nil {
			l.note(old, StateCleared)
		}
	}
}

func (l *ledger) note(s *suspect, state State) {
	if !s.content.isDistinct() && s.state() != StateRefused {
		return
	}
	if len(l.changes) == maxChanges {
		l.omitted++
		return
	}
	c := Change{
		Content: s.content.hash, Part: s.content.part, Whole: s.content.whole, State: state, Crashes: s.content.outages(),
		Strength: s.strength, AnsweredAt: s.content.answeredAt,
	}
	for i, explanation := range s.explanations {
		if i == 0 || len(explanation) < c.Explanations {
			c.Explanations = len(explanation)
		}
	}
	l.changes = append(l.changes, c)
}

// takeChanges returns the changes since the last call, and how many more there were.
func (l *ledger) takeChanges() (changes []Change, omitted int) {
	l.derive()
	changes, omitted = l.changes, l.omitted
	l.changes, l.omitted = nil, 0
	return changes, omitted
}
