package rules

import (
	"fmt"
	"strings"
)

// MaxFileBytes is the maximum size of a value in the configuration service.
const MaxFileBytes = 1 << 20

// MaxErrors is the number of errors after which Parse stops reading a file.
const MaxErrors = 100

// Parse parses a rule file. It returns Errors if the file is rejected; a file is never accepted in part.
func Parse(text string, revision Revision) (*Set, error) {
	if len(text) > MaxFileBytes {
		return nil, Errors{{
			Line: 1, Column: 1,
			Found: fmt.Sprintf("a file of %d bytes", len(text)),
			Want:  fmt.Sprintf("at most %d bytes", MaxFileBytes),
		}}
	}
	p := &parser{set: &Set{Revision: revision, Text: text, Drained: make(map[string]string)}}
	for number, line := range strings.Split(text, "\n") {
		if len(p.errs) >= MaxErrors {
			break
		}
		p.parseLine(number+1, strings.TrimSuffix(line, "\r"))
	}
	if len(p.errs) == 0 {
		p.validate()
	}
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p.set, nil
}

// word is a token of a line. Its column starts at 1.
type word struct {
	text   string
	column int
}

// position is the place in the file at which a name is declared or referenced.
type position struct {
	line   int
	column int
}

type parser struct {
	set              *Set
	errs             Errors
	outRules         []reference
	drainRules       []reference
	servicePositions []position // position of each entry of set.Services
	domainPositions  []position // position of each entry of set.Domains
}

// reference refers to a name that is checked after the whole file has been parsed.
type reference struct {
	name      string
	requester string
	position
}

func (p *parser) addError(line, column int, found, want string) {
	p.errs = append(p.errs, &Error{Line: line, Column: column, Found: found, Want: want})
}

func (p *parser) parseLine(number int, line string) {
	rule, comment, hasComment := strings.Cut(line, "#")
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	requester := strings.TrimSpace(comment)
	if !hasComment || requester == "" {
		p.addError(number, len(line)+1, "no comment", "a trailing # comment that names who requested the rule")
		return
	}
	requester = strings.TrimPrefix(requester, "asked by ")
	p.parseRule(number, words, requester)
}

func (p *parser) parseRule(line int, words []word, requester string) {
	kind := words[0]
	if len(words) < 2 {
		p.addError(line, kind.column+len(kind.text), "the end of the rule", "a name after "+quote(kind.text))
		return
	}
	name := words[1]
	if !validName(name.text) {
		p.addError(line, name.column, quote(name.text), "a name of letters, digits, '-', '_' or '.', at most 63 bytes")
		return
	}
	options := words[2:]
	at := position{line: line, column: name.column}
	switch kind.text {
	case "service":
		p.parseService(line, name, options, requester)
	case "domain":
		p.parseDomain(line, name, options, requester)
	case "drain":
		p.rejectOptions(line, options)
		p.drainRules = append(p.drainRules, reference{name: name.text, requester: requester, position: at})
	case "out":
		p.rejectOptions(line, options)
		p.outRules = append(p.outRules, reference{name: name.text, requester: requester, position: at})
	default:
		p.addError(line, kind.column, quote(kind.text), "service, domain, drain or out")
	}
}

func (p *parser) rejectOptions(line int, options []word) {
	if len(options) > 0 {
		p.addError(line, options[0].column, quote(options[0].text), "the end of the rule")
	}
}

// splitWords splits a line at spaces and tabs.
func splitWords(line string) []word {
	var words []word
	start := -1
	for i := 0; i <= len(line); i++ {
		blank := i == len(line) || line[i] == ' ' || line[i] == '\t'
		switch {
		case !blank && start < 0:
			start = i
		case blank && start >= 0:
			words = append(words, word{text: line[start:i], column: start + 1})
			start = -1
		}
	}
	return words
}

// maxNameBytes is the maximum length of a name, as for a DNS label.
const maxNameBytes = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := 0; i < len(name); i++ {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '_' || c == '.'
	}
}
