package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
)

// checkNearDuplicates warns of names that people confuse. An alias is compared with the
// names and aliases of other routes only, because it is meant to be near its own route.
func (c *checker) checkNearDuplicates() {
	var kinds, pools []owned
	for _, r := range c.new.Routes {
		kinds = append(kinds, owned{r.Name, r.Name})
		for _, a := range r.Aliases {
			kinds = append(kinds, owned{a, r.Name})
		}
	}
	for _, p := range c.new.Pools {
		pools = append(pools, owned{p.Name, p.Name})
	}
	c.warnNear(ProblemNearDuplicateKind, "kinds", kinds)
	c.warnNear(ProblemNearDuplicatePool, "pools", pools)
}

func (c *checker) warnNear(kind, what string, names []owned) {
	for _, pair := range nearPairs(names) {
		a, b := pair[0].name, pair[1].name
		remedy := "rename one of them"
		if kind == ProblemNearDuplicateKind {
			remedy = fmt.Sprintf("rename one of them, or remove %q and write \"aliases: [%s]\" in route %q", b, b, pair[0].owner)
		}
		c.warn(kind, b, a, fmt.Sprintf("%s %q and %q differ only by %s", what, a, b, difference(a, b)), remedy)
	}
}

// owned is a name with the entry that it belongs to.
type owned struct{ name, owner string }

// maxBucket bounds how many names are compared with each other because they share one
// deletion. More occur only in tables made to be slow to check.
const maxBucket = 100

// nearPairs returns the pairs of names of different owners with equal skeletons or
// skeletons that differ by one letter, each pair and the list sorted. Names that share
// a skeleton with one letter deleted are the only candidates, so the work grows with
// the number of names and not with its square.
func nearPairs(names []owned) [][2]owned {
	names = slices.Clone(names)
	slices.SortFunc(names, compareOwned)
	skeletons := make([]string, len(names))
	buckets := make(map[string][]int)
	for i, n := range names {
		skeletons[i] = skeleton(n.name)
		for _, key := range deletions(skeletons[i]) {
			buckets[key] = append(buckets[key], i)
		}
	}
	var found [][2]int
	for _, bucket := range buckets {
		bucket = bucket[:min(len(bucket), maxBucket)]
		for i, a := range bucket {
			for _, b := range bucket[i+1:] {
				if isNear(names[a], names[b], skeletons[a], skeletons[b]) {
					found = append(found, [2]int{a, b})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var out [][2]owned
	for _, f := range slices.Compact(found) {
		out = append(out, [2]owned{names[f[0]], names[f[1]]})
	}
	return out
}

func compareOwned(a, b owned) int {
	return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.owner, b.owner))
}

// deletions returns s and every string that s becomes when one character is deleted.
func deletions(s string) []string {
	runes := []rune(s)
	out := []string{s}
	for i := range runes {
		if i > 0 && runes[i] == runes[i-1] {
			continue // the same string again
		}
		out = append(out, string(runes[:i])+string(runes[i+1:]))
	}
	return out
}

// isNear reports whether two names that share a deletion are a near-duplicate. Numbered
// and lettered series, such as plan-1 and plan-2 or rack-a and rack-b, are not. The
// cheap comparisons come first, because most candidates are members of series.
func isNear(a, b owned, skeletonA, skeletonB string) bool {
	if a.owner == b.owner || a.name == b.name {
		return false
	}
	x, y := middle(a.name, b.name)
	return !isSeries(x, y) && isOneEdit(skeletonA, skeletonB) && !isLetterSeries(a.name, b.name, x, y)
}

// isOneEdit reports whether a and b are equal or differ by one letter or by two
// neighboring letters in exchanged order.
func isOneEdit(a, b string) bool {
	if levenshtein.ComputeDistance(a, b) <= 1 {
		return true
	}
	x, y := middle(a, b)
	first, size := utf8.DecodeRuneInString(x)
	return utf8.RuneCountInString(x) == 2 && y == x[size:]+string(first)
}

// middle strips the common beginning and end of a and b.
func middle(a, b string) (string, string) {
	for a != "" && b != "" {
		r, n := utf8.DecodeRuneInString(a)
		if q, _ := utf8.DecodeRuneInString(b); q != r {
			break
		}
		a, b = a[n:], b[n:]
	}
	for a != "" && b != "" {
		r, n := utf8.DecodeLastRuneInString(a)
		if q, _ := utf8.DecodeLastRuneInString(b); q != r {
			break
		}
		a, b = a[:len(a)-n], b[:len(b)-n]
	}
	return a, b
}

func isSeries(x, y string) bool {
	notDigit := func(r rune) bool { return !unicode.IsDigit(r) }
	return x+y != "" && !strings.ContainsFunc(x, notDigit) && !strings.ContainsFunc(y, notDigit)
}

// isLetterSeries reports whether a and b differ in one letter that stands alone between
// separators and does not look like the other.
func isLetterSeries(a, b, x, y string) bool {
	if utf8.RuneCountInString(x) != 1 || utf8.RuneCountInString(y) != 1 || skeleton(x) == skeleton(y) {
		return false
	}
	partsA, partsB := strings.FieldsFunc(a, isSeparator), strings.FieldsFunc(b, isSeparator)
	for i, p := range partsA {
		if i < len(partsB) && p != partsB[i] {
			return p == x && partsB[i] == y
		}
	}
	return false
}

// difference names what distinguishes a near pair.
func difference(a, b string) string {
	switch {
	case strings.EqualFold(a, b):
		return "upper and lower case"
	case withoutSeparators(strings.ToLower(a)) == withoutSeparators(strings.ToLower(b)):
		return "case, hyphen, underscore or dot"
	case skeleton(a) == skeleton(b):
		return "letters that look alike"
	default:
		return "one letter or the order of two"
	}
}

func withoutSeparators(s string) string {
	return strings.Map(func(r rune) rune {
		if isSeparator(r) {
			return -1
		}
		return r
	}, s)
}
