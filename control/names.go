package control

import (
	"math/bits"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
)

// lookAlikes maps letters to the Latin letter that they are mistaken for. Letters and
// digits of one line look the same in common fonts.
var lookAlikes = map[rune]rune{
	'1': 'l', 'i': 'l', '|': 'l', 'ı': 'l', '0': 'o',
	// Cyrillic
	'а': 'a', 'в': 'b', 'с': 'c', 'ԁ': 'd', 'е': 'e', 'ѐ': 'e', 'ё': 'e', 'һ': 'h', 'і': 'l', 'ї': 'l', 'ӏ': 'l',
	'ј': 'j', 'к': 'k', 'м': 'm', 'н': 'h', 'о': 'o', 'р': 'p', 'ѕ': 's', 'т': 't', 'у': 'y', 'ѵ': 'v', 'х': 'x', 'ԛ': 'q', 'ԝ': 'w',
	// Greek
	'α': 'a', 'β': 'b', 'ε': 'e', 'ι': 'l', 'κ': 'k', 'ν': 'v', 'ο': 'o', 'ρ': 'p', 'τ': 't', 'υ': 'u', 'χ': 'x',
}

// skeleton returns the form in which names that people confuse are equal: without case,
// separators and the difference between look-alike letters.
func skeleton(name string) string {
	return strings.Map(func(r rune) rune {
		if isSeparator(r) {
			return -1
		}
		r = unicode.ToLower(r)
		if l, ok := lookAlikes[r]; ok {
			return l
		}
		return r
	}, name)
}

func isSeparator(r rune) bool { return r == '-' || r == '_' || r == '.' || unicode.IsSpace(r) }

// nameIndex finds the nearest of a fixed set of names. It is immutable.
type nameIndex struct {
	names     []string
	skeletons []string
	lengths   []int // of the skeletons, in characters
	letters   []uint64
}

func newNameIndex(names []string) *nameIndex {
	x := &nameIndex{names: names}
	for _, n := range names {
		sk := skeleton(n)
		x.skeletons = append(x.skeletons, sk)
		x.lengths = append(x.lengths, utf8.RuneCountInString(sk))
		x.letters = append(x.letters, letterSet(sk))
	}
	return x
}

// letterSet returns a bit for each letter of s; some letters share a bit. Each letter
// that only one of two names has costs at least one edit, which rules most names out
// without computing the distance.
func letterSet(s string) uint64 {
	var set uint64
	for _, r := range s {
		set |= 1 << (uint32(r) % 64)
	}
	return set
}

// Nearest returns the candidate that name is probably meant to be, or "" if none is
// near. Equal distances are decided by the order of the candidates.
func Nearest(name string, candidates []string) string { return newNameIndex(candidates).nearest(name) }

// maxNearestBytes is the longest name that is compared, to bound the time.
const maxNearestBytes = 256

// nearest allows more edits for longer names. A name that contains another, such as
// "plan" and "timing-plan", is near if nothing else is.
func (x *nameIndex) nearest(name string) string {
	if name == "" || len(name) > maxNearestBytes {
		return ""
	}
	sk := skeleton(name)
	length, letters := utf8.RuneCountInString(sk), letterSet(sk)
	best, bestDistance := -1, maxEdits(length)+1
	for i := range x.names {
		if d := x.lengths[i] - length; d >= bestDistance || -d >= bestDistance {
			continue
		}
		if max(bits.OnesCount64(letters&^x.letters[i]), bits.OnesCount64(x.letters[i]&^letters)) >= bestDistance {
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
		best = x.containing(sk, length)
	}
	if best < 0 {
		return ""
	}
	return x.names[best]
}

// maxEdits is the number of edits up to which a name of n characters is near another.
func maxEdits(n int) int { return 1 + n/4 }

// minContained is the length from which a name that is part of another counts as near;
// shorter parts occur by chance.
const minContained = 4

func (x *nameIndex) containing(sk string, length int) int {
	for i, other := range x.skeletons {
		if length >= minContained && strings.Contains(other, sk) {
			return i
		}
		if x.lengths[i] >= minContained && strings.Contains(sk, other) {
			return i
		}
	}
	return -1
}
