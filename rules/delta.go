package rules

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Delta turns the text of one revision into that of another, line by line.
type Delta struct {
	Base     Revision // revision whose text the edits refer to
	Revision Revision // revision of the result
	Hash     uint64   // HashText of the result
	Edits    []Edit
}

// Edit copies Count lines of the base text from line From, counted from zero, or inserts Lines when Count is zero.
type Edit struct {
	From  int
	Count int
	Lines []string
}

// Errors of Delta.Apply.
var (
	ErrDeltaRange = errors.New("a line delta refers to lines that the base text does not have")
	ErrDeltaHash  = errors.New("the result of a line delta does not have the expected hash")
	ErrDeltaSize  = errors.New("the result of a line delta exceeds the size limit of a rule file")
)

// HashText returns the hash by which peers compare rule files.
func HashText(text string) uint64 { return xxhash.Sum64String(text) }

// NewDelta returns the edits from one set's text to the other's.
func NewDelta(from, to *Set) Delta {
	return Delta{
		Base:     from.Revision,
		Revision: to.Revision,
		Hash:     HashText(to.Text),
		Edits:    diffLines(strings.Split(from.Text, "\n"), strings.Split(to.Text, "\n")),
	}
}

// diffLines copies runs of lines that the base has and inserts all others.
func diffLines(base, next []string) []Edit {
	first := make(map[string]int, len(base))
	for i := len(base) - 1; i >= 0; i-- {
		first[base[i]] = i
	}
	var edits []Edit
	for _, line := range next {
		edits = appendLine(edits, base, first, line)
	}
	return edits
}

// appendLine copies inserted lines, because a delta that is kept must not hold the whole text in memory.
func appendLine(edits []Edit, base []string, first map[string]int, line string) []Edit {
	if n := len(edits); n > 0 && edits[n-1].Count > 0 {
		last := &edits[n-1]
		following := last.From + last.Count
		if following < len(base) && base[following] == line {
			last.Count++
			return edits
		}
	}
	if at, ok := first[line]; ok {
		return append(edits, Edit{From: resume(edits, base, line, at), Count: 1})
	}
	if n := len(edits); n > 0 && edits[n-1].Count == 0 {
		edits[n-1].Lines = append(edits[n-1].Lines, strings.Clone(line))
		return edits
	}
	return append(edits, Edit{Lines: []string{strings.Clone(line)}})
}

// resume prefers the line after the replaced ones, so that repeated lines such as blank ones do not split the copies.
func resume(edits []Edit, base []string, line string, first int) int {
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

// Apply returns the text that the delta makes of the base text.
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

// Size returns about how many bytes the delta takes in memory and on the wire.
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

// Sizes of the parts of a delta besides the text of its lines.
const (
	editBytes = 8
	lineBytes = 2
)
