package shdocument

import "iter"

// Structure returns the braces, brackets and commas of a JSON text that are not within
// strings, whether the text is valid or not. What a text takes when it is decoded is
// counted by them before it is.
func Structure(data []byte) iter.Seq[byte] {
	return func(yield func(byte) bool) {
		text := false
		for i := 0; i < len(data); i++ {
			switch c := data[i]; {
			case text && c == '\\':
				i++
			case c == '"':
				text = !text
			case text:
			case c == '{', c == '}', c == '[', c == ']', c == ',':
				if !yield(c) {
					return
				}
			}
		}
	}
}
