package rules

import (
	"fmt"
	"strings"
)

// Error is one error in a rule file. Line and Column start at 1; Column counts bytes.
type Error struct {
	Line   int
	Column int
	Found  string
	Want   string
}

// Error formats the error on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: found %s, want %s", e.Line, e.Column, e.Found, e.Want)
}

// Errors holds the errors of a rejected rule file in line order.
type Errors []*Error

// Error formats the errors, one per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// maxFoundBytes limits how much of an invalid value an error message quotes.
const maxFoundBytes = 60

// quote returns a value from the file in quotes, truncated to maxFoundBytes.
func quote(value string) string {
	if len(value) > maxFoundBytes {
		value = value[:maxFoundBytes] + "..."
	}
	return fmt.Sprintf("%q", value)
}
