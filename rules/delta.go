package rules

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Delta is a line-based diff that turns the text of one revision of the rule file into that of another.
type Delta struct {
	Base     Revision // revision that the edits apply to
	Revision Revision // revision of the result
	Hash     uint64   // HashText of the result
	Edits    []Edit
}

// Edit copies Count lines of the base text starting at line From, counted from zero, or inserts Lines if Count is
// zero.
type Edit struct {
	From  int
	Count int
	Lines []string
}

// Errors returned by Delta.Apply.
var (
	ErrDeltaRange = errors.New("line delta refers to lines outside the base text")
	ErrDeltaHash  = errors.New("result of line delta does not match the expected hash")
	ErrDeltaSize  = errors.New("result of line delta exceeds the size limit of a rule file")
)

// HashText returns the hash that peers use to compare rule files.
func HashText(text string) uint64 { return xxhash.Sum64String(text) }

// NewDelta returns the delta that turns the text of from into the text of to.
func NewDelta(from, to *Set) Delta {
	return Delta{
		Base:     from.Revision,
		Revision: to.Revision,
		Hash:     HashText(to.Text),
		Edits:    diffLines(strings.Split(from.Text, "\n"), strings.Split(to.Text, "\n")),
	}
}

// diffLines returns edits that copy runs of lines present in the base and insert all other lines.
func diffLines(base, next []string) []Edit {
	firstIndex := make(map[string]int, len(base))
	for i := len(base) - 1; i >= 0; i-- {
		firstIndex[base[i]] = i
	}
	var edits []Edit
	for _, line := range next {
		edits = appendLine(edits, base, firstIndex, line)
	}
	return edits
}

// appendLine appends one line of the new text to the edits, as a copy if the base has the line, else as an
// insertion. It clones inserted lines, because a retained delta must not keep the whole text in memory.
func appendLine(edits []Edit, base []string, firstIndex map[string]int, line string) []Edit {
	if n := len(edits); n > 0 && edits[n-1].Count > 0 {
		last := &edits[n-1]
		following := last.From + last.Count
		if following < len(base) && base[following] == line {
			last.Count++
			return edits
		}
	}
	if at, ok := firstIndex[line]; ok {
		return append(edits, Edit{From: copySource(edits, base, line, at), Count: 1})
	}
	if n := len(edits); n > 0 && edits[n-1].Count == 0 {
		edits[n-1].Lines = append(edits[n-1].Lines, strings.Clone(line))
		return edits
	}
	return append(edits, Edit{Lines: []string{strings.Clone(line)}})
}

// copySource returns the base line to copy from. It prefers the line after the replaced ones to the first
// occurrence, so that repeated lines, such as blank ones, do not split a copied run.
func copySource(edits []Edit, base []string, line string, first int) int {
	if len(edits) < 2 || edits[len(edits)-1].Count > 0 {
		return first
	}
	inserted := edits[len(edits)-1]
	before := edits[len(edits)-2]
	at := before.From + before.Count + len(inserted.Lines)
	if at < len(base) && base[at] == line {
		return at
	}
	return first
}

// Apply returns the result of applying the delta to the base text.
func (d *Delta) Apply(base string) (string, error) {
	lines := strings.Split(base, "\n")
	var next []string
	size := 0
	for _, edit := range d.Edits {
		part := edit.Lines
		if edit.Count > 0 {
			if edit.From < 0 || edit.From > len(lines) || edit.Count > len(lines)-edit.From {
				return "", ErrDeltaRange
			}
			part = lines[edit.From : edit.From+edit.Count]
		}
		for _, line := range part {
			size += len(line) + 1
		}
		if size > MaxFileBytes+1 {
			return "", ErrDeltaSize
		}
		next = append(next, part...)
	}
	text := strings.Join(next, "\n")
	if HashText(text) != d.Hash {
		return "", ErrDeltaHash
	}
	return text, nil
}

// Size returns the approximate size of the delta in memory and on the wire, in bytes.
func (d *Delta) Size() int {
	size := 0
	for _, edit := range d.Edits {
		size += editBytes
		for _, line := range edit.Lines {
			size += len(line) + lineBytes
		}
	}
	return size
}

// Overhead of an edit and of a line in Delta.Size, besides the text of the lines.
const (
	editBytes = 8
	lineBytes = 2
)
