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

// checkNearDuplicates warns of names that are easily confused. An alias is compared only
// with the names and aliases of other routes, because aliases are meant to resemble
// the name of their own route.
func (c *checker) checkNearDuplicates() {
	var kinds, pools []ownedName
	for _, r := range c.new.Routes {
		kinds = append(kinds, ownedName{r.Name, r.Name})
		for _, a := range r.Aliases {
			kinds = append(kinds, ownedName{a, r.Name})
		}
	}
	for _, p := range c.new.Pools {
		pools = append(pools, ownedName{p.Name, p.Name})
	}
	c.warnNearDuplicates(ProblemNearDuplicateKind, "kinds", kinds)
	c.warnNearDuplicates(ProblemNearDuplicatePool, "pools", pools)
}

// warnNearDuplicates warns of each near duplicate among names with a problem of the given
// kind.
func (c *checker) warnNearDuplicates(kind, what string, names []ownedName) {
	for _, pair := range findNearDuplicates(names) {
		a, b := pair[0].name, pair[1].name
		remedy := "rename one of them"
		if kind == ProblemNearDuplicateKind {
			remedy = fmt.Sprintf("rename one of them, or remove %q and write \"aliases: [%s]\" in route %q", b, b, pair[0].owner)
		}
		c.warn(kind, b, a, fmt.Sprintf("%s %q and %q differ only by %s", what, a, b, describeDifference(a, b)), remedy)
	}
}

// ownedName is the name of a route or pool or an alias, with the name of the route or
// pool that it belongs to.
type ownedName struct{ name, owner string }

// maxBucketSize limits how many names with a common deletion variant are compared with
// each other. More occur only in tables that are crafted to be slow to check.
const maxBucketSize = 100

// findNearDuplicates returns the pairs of names for which isNearDuplicate holds. Each pair
// and the list are sorted. Only names whose skeletons share a deletion variant are
// compared, so the cost grows linearly and not quadratically with the number of names.
func findNearDuplicates(names []ownedName) [][2]ownedName {
	names = slices.Clone(names)
	slices.SortFunc(names, compareOwnedNames)
	skeletons := make([]string, len(names))
	buckets := make(map[string][]int)
	for i, n := range names {
		skeletons[i] = skeleton(n.name)
		for _, key := range deletionVariants(skeletons[i]) {
			buckets[key] = append(buckets[key], i)
		}
	}
	var found [][2]int
	for _, bucket := range buckets {
		bucket = bucket[:min(len(bucket), maxBucketSize)]
		for i, a := range bucket {
			for _, b := range bucket[i+1:] {
				if isNearDuplicate(names[a], names[b], skeletons[a], skeletons[b]) {
					found = append(found, [2]int{a, b})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var out [][2]ownedName
	for _, f := range slices.Compact(found) {
		out = append(out, [2]ownedName{names[f[0]], names[f[1]]})
	}
	return out
}

func compareOwnedNames(a, b ownedName) int {
	return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.owner, b.owner))
}

// deletionVariants returns s and every string that results from deleting one character
// of s.
func deletionVariants(s string) []string {
	runes := []rune(s)
	out := []string{s}
	for i := range runes {
		if i > 0 && runes[i] == runes[i-1] {
			continue // same variant as for the previous character
		}
		out = append(out, string(runes[:i])+string(runes[i+1:]))
	}
	return out
}

// isNearDuplicate reports whether two names have different owners and skeletons that are
// equal or one edit apart. Members of a numbered or lettered series, such as plan-1 and
// plan-2 or rack-a and rack-b, are not near duplicates. The cheap comparisons come first,
// because most candidates are members of a series.
func isNearDuplicate(a, b ownedName, skeletonA, skeletonB string) bool {
	if a.owner == b.owner || a.name == b.name {
		return false
	}
	x, y := trimCommonAffixes(a.name, b.name)
	return !isNumberSeries(x, y) && isWithinOneEdit(skeletonA, skeletonB) && !isLetterSeries(a.name, b.name, x, y)
}

// isWithinOneEdit reports whether a and b are equal, differ by one letter or differ by the
// transposition of two adjacent letters.
func isWithinOneEdit(a, b string) bool {
	if levenshtein.ComputeDistance(a, b) <= 1 {
		return true
	}
	x, y := trimCommonAffixes(a, b)
	first, size := utf8.DecodeRuneInString(x)
	return utf8.RuneCountInString(x) == 2 && y == x[size:]+string(first)
}

// trimCommonAffixes returns a and b without their common prefix and suffix.
func trimCommonAffixes(a, b string) (string, string) {
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

// isNumberSeries reports whether the differing parts x and y of two names consist of
// digits only.
func isNumberSeries(x, y string) bool {
	notDigit := func(r rune) bool { return !unicode.IsDigit(r) }
	return x+y != "" && !strings.ContainsFunc(x, notDigit) && !strings.ContainsFunc(y, notDigit)
}

// isLetterSeries reports whether the names a and b differ only in one letter that forms a
// whole part between separators, and whether the two letters are not confusable. The
// differing parts of the names are x and y.
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

// describeDifference returns how the names of a near duplicate differ, for a message.
func describeDifference(a, b string) string {
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
