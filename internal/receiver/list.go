package receiver

// CountElements returns the number of elements of a valid JSON list, or 1 if it is empty. A list whose
// elements are small takes far more memory once it is decoded.
func CountElements(list []byte) int {
	n, depth := 1, 0
	quoted, escaped := false, false
	for _, c := range list {
		switch {
		case escaped:
			escaped = false
		case quoted:
			quoted, escaped = c != '"', c == '\\'
		case c == '"':
			quoted = true
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			n++
		}
	}
	return n
}
