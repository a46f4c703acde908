package control

import (
	"fmt"
	"strings"
	"unicode"
)

// maxNameBytes limits the length in bytes of the names of routes, pools, aliases, homes
// and teams.
const maxNameBytes = 100

// validateName returns why name is invalid, as a phrase that follows the name in a
// message, or "" if it is valid.
func validateName(name string) string {
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
		if !isLetterOrDigit(r) && !strings.ContainsRune("-_.", r) {
			return fmt.Sprintf("contains %q; allowed are letters, digits, '-', '_' and '.'", r)
		}
	}
	return ""
}

func isLetterOrDigit(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) }

// checkName reports an invalid name and warns of a name with confusable letters. The
// message starts with what, the type of the name, such as "route".
func (c *checker) checkName(what, name string) {
	shown := truncate(name, maxNameBytes)
	if violation := validateName(name); violation != "" {
		c.error(ProblemBadName, shown, "", fmt.Sprintf("%s name %q %s", what, shown, violation), badNameRemedy(shown))
		return
	}
	if confusable := findConfusable(name); confusable != 0 {
		c.warn(ProblemMixedAlphabets, name, "",
			fmt.Sprintf("%s name %q mixes alphabets: %q (U+%04X) only looks like a Latin letter", what, name, confusable, confusable),
			fmt.Sprintf("type the name again with Latin letters: %s", toLatin(name)))
	}
}

// badNameRemedy suggests a valid name in place of an invalid one.
func badNameRemedy(name string) string {
	valid := strings.Map(func(r rune) rune {
		if isLetterOrDigit(r) || strings.ContainsRune("_.", r) {
			return r
		}
		return '-'
	}, name)
	if strings.Trim(valid, "-") == "" {
		return "write \"name:\" with letters, digits, '-', '_' and '.'"
	}
	return fmt.Sprintf("write \"%s\"", strings.Trim(valid, "-"))
}

// findConfusable returns the last letter of another alphabet that looks like a Latin
// letter, if name also has Latin letters. Otherwise it returns 0.
func findConfusable(name string) rune {
	var confusable rune
	hasLatin := false
	for _, r := range name {
		if unicode.Is(unicode.Latin, r) {
			hasLatin = true
		} else if _, ok := confusables[unicode.ToLower(r)]; ok && unicode.IsLetter(r) {
			confusable = r
		}
	}
	if !hasLatin {
		return 0
	}
	return confusable
}

// toLatin replaces the letters of other alphabets that look like Latin letters.
func toLatin(name string) string {
	return strings.Map(func(r rune) rune {
		l, ok := confusables[unicode.ToLower(r)]
		if !ok || !unicode.IsLetter(r) || unicode.Is(unicode.Latin, r) {
			return r
		}
		if unicode.IsUpper(r) {
			return unicode.ToUpper(l)
		}
		return l
	}, name)
}
