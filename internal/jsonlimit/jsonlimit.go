// Package jsonlimit prepares JSON documents of other writers for decoding, so that one odd value in a list does not keep
// the rest of the list from its readers.
package jsonlimit

// LimitDepth returns the document with each array and object that is nested deeper than maxDepth replaced by null.
// encoding/json refuses a whole document for one value that is nested too deep. A document that is not balanced is
// returned as far as it goes, and is refused by the decoder. The document itself is not modified.
func LimitDepth(document []byte, maxDepth int) []byte {
	out := make([]byte, 0, len(document))
	depth := 0
	for i := 0; i < len(document); i++ {
		c := document[i]
		if c == '"' {
			end := stringEnd(document, i)
			if depth <= maxDepth {
				out = append(out, document[i:end]...)
			}
			i = end - 1
			continue
		}
		if c == '[' || c == '{' {
			depth++
			if depth == maxDepth+1 {
				out = append(out, "null"...)
			}
		}
		if depth <= maxDepth {
			out = append(out, c)
		}
		if c == ']' || c == '}' {
			depth--
		}
	}
	return out
}

// stringEnd returns the index after the string that starts at the index start.
func stringEnd(document []byte, start int) int {
	for i := start + 1; i < len(document); i++ {
		switch document[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(document)
}
