package control

import (
	"math/bits"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
)

// confusables maps a character to the Latin letter that it is mistaken for. Characters
// that map to the same letter look alike in common fonts.
var confusables = map[rune]rune{
	'1': 'l', 'i': 'l', '|': 'l', 'ı': 'l', '0': 'o',
	// Cyrillic
	'а': 'a', 'в': 'b', 'с': 'c', 'ԁ': 'd', 'е': 'e', 'ѐ': 'e', 'ё': 'e', 'һ': 'h', 'і': 'l', 'ї': 'l', 'ӏ': 'l',
	'ј': 'j', 'к': 'k', 'м': 'm', 'н': 'h', 'о': 'o', 'р': 'p', 'ѕ': 's', 'т': 't', 'у': 'y', 'ѵ': 'v', 'х': 'x', 'ԛ': 'q', 'ԝ': 'w',
	// Greek
	'α': 'a', 'β': 'b', 'ε': 'e', 'ι': 'l', 'κ': 'k', 'ν': 'v', 'ο': 'o', 'ρ': 'p', 'τ': 't', 'υ': 'u', 'χ': 'x',
}

// skeleton returns name in lower case, without separators and with confusable characters
// replaced. Names that are easily confused have equal skeletons.
func skeleton(name string) string {
	return strings.Map(func(r rune) rune {
		if isSeparator(r) {
			return -1
		}
		r = unicode.ToLower(r)
		if l, ok := confusables[r]; ok {
			return l
		}
		return r
	}, name)
}

func isSeparator(r rune) bool { return r == '-' || r == '_' || r == '.' || unicode.IsSpace(r) }

// nameIndex finds the most similar name in a fixed set of names. It is immutable. The
// slices are parallel: index i of each describes names[i].
type nameIndex struct {
	names           []string
	skeletons       []string
	skeletonLengths []int // in characters
	letterSets      []uint64
}

func newNameIndex(names []string) *nameIndex {
	x := &nameIndex{names: names}
	for _, n := range names {
		sk := skeleton(n)
		x.skeletons = append(x.skeletons, sk)
		x.skeletonLengths = append(x.skeletonLengths, utf8.RuneCountInString(sk))
		x.letterSets = append(x.letterSets, letterSet(sk))
	}
	return x
}

// letterSet returns a bit set of the letters of s; some letters share a bit. Each letter
// that occurs in only one of two names costs at least one edit, so comparing the sets
// rules out most names without computing the edit distance.
func letterSet(s string) uint64 {
	var set uint64
	for _, r := range s {
		set |= 1 << (uint32(r) % 64)
	}
	return set
}

// Nearest returns the candidate that is most similar to name, as a suggestion for a
// misspelled name, or "" if no candidate is similar enough. Of candidates with the same
// edit distance it returns the first.
func Nearest(name string, candidates []string) string { return newNameIndex(candidates).nearest(name) }

// maxNearestBytes is the length in bytes of the longest name that is compared with the
// candidates. It bounds the time of a comparison.
const maxNearestBytes = 256

// nearest implements Nearest. Longer names may differ by more edits. If no name is within
// the allowed edit distance, nearest returns a name that contains the given one or is
// contained in it, such as "timing-plan" for "plan".
func (x *nameIndex) nearest(name string) string {
	if name == "" || len(name) > maxNearestBytes {
		return ""
	}
	sk := skeleton(name)
	length, letters := utf8.RuneCountInString(sk), letterSet(sk)
	best, bestDistance := -1, maxEdits(length)+1
	for i := range x.names {
		if d := x.skeletonLengths[i] - length; d >= bestDistance || -d >= bestDistance {
			continue
		}
		if max(bits.OnesCount64(letters&^x.letterSets[i]), bits.OnesCount64(x.letterSets[i]&^letters)) >= bestDistance {
			continue
		}
		if d := levenshtein.ComputeDistance(sk, x.skeletons[i]); d < bestDistance {
			best, bestDistance = i, d
		}
		if bestDistance == 0 {
			break
		}
	}
	if best < 0 {
		best = x.findContaining(sk, length)
	}
	if best < 0 {
		return ""
	}
	return x.names[best]
}

// maxEdits returns the largest edit distance at which a name still counts as similar to
// a name of n characters.
func maxEdits(n int) int { return 1 + n/4 }

// minContainedLength is the minimum length in characters for a name that is part of
// another to count as similar, because shorter parts occur by chance.
const minContainedLength = 4

// findContaining returns the index of the first name whose skeleton contains sk or is
// contained in it, or -1. The length of sk is in characters.
func (x *nameIndex) findContaining(sk string, length int) int {
	for i, other := range x.skeletons {
		if length >= minContainedLength && strings.Contains(other, sk) {
			return i
		}
		if x.skeletonLengths[i] >= minContainedLength && strings.Contains(sk, other) {
			return i
		}
	}
	return -1
}
