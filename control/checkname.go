package control

import (
	"fmt"
	"strings"
	"unicode"
)

// maxNameBytes bounds the names of routes, pools, aliases, homes and teams.
const maxNameBytes = 100

// nameFault says what is wrong with a name, or "".
func nameFault(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes; at most %d are allowed", len(name), maxNameBytes)
	}
	if strings.Trim(name, "-_.") == "" {
		return "has no letter or digit"
	}
	for _, r := range name {
		if !isNameLetter(r) && !strings.ContainsRune("-_.", r) {
			return fmt.Sprintf("contains %q; allowed are letters, digits, '-', '_' and '.'", r)
		}
	}
	return ""
}

func isNameLetter(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) }

func (c *checker) checkName(what, name string) {
	shown := truncate(name, maxNameBytes)
	if fault := nameFault(name); fault != "" {
		c.error(ProblemBadName, shown, "", fmt.Sprintf("%s name %q %s", what, shown, fault), badNameRemedy(shown))
		return
	}
	if odd := oddLetter(name); odd != 0 {
		c.warn(ProblemMixedAlphabets, name, "",
			fmt.Sprintf("%s name %q mixes alphabets: %q (U+%04X) only looks like a Latin letter", what, name, odd, odd),
			fmt.Sprintf("type the name again with Latin letters: %s", latin(name)))
	}
}

func badNameRemedy(name string) string {
	fixed := strings.Map(func(r rune) rune {
		if isNameLetter(r) || strings.ContainsRune("_.", r) {
			return r
		}
		return '-'
	}, name)
	if strings.Trim(fixed, "-") == "" {
		return "write \"name:\" with letters, digits, '-', '_' and '.'"
	}
	return fmt.Sprintf("write \"%s\"", strings.Trim(fixed, "-"))
}

// oddLetter returns a look-alike of another alphabet in a name with Latin letters, or 0.
func oddLetter(name string) rune {
	var odd rune
	hasLatin := false
	for _, r := range name {
		if unicode.Is(unicode.Latin, r) {
			hasLatin = true
		} else if _, ok := lookAlikes[unicode.ToLower(r)]; ok && unicode.IsLetter(r) {
			odd = r
		}
	}
	if !hasLatin {
		return 0
	}
	return odd
}

// latin replaces the look-alikes of other alphabets.
func latin(name string) string {
	return strings.Map(func(r rune) rune {
		l, ok := lookAlikes[unicode.ToLower(r)]
		if !ok || !unicode.IsLetter(r) || unicode.Is(unicode.Latin, r) {
			return r
		}
		if unicode.IsUpper(r) {
			return unicode.ToUpper(l)
		}
		return l
	}, name)
}
