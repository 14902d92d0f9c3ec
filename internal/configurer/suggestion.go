package configurer

import "strconv"

// suggestion returns a hint with the word that is most similar to an unknown one, or "" if
// none is similar.
func suggestion(unknown string, words []string) string {
	if len(unknown) > maxNameBytes {
		return ""
	}
	best, bestDistance := "", len(unknown)/2+1
	for _, w := range words {
		if d := distance(unknown, w); d < bestDistance {
			best, bestDistance = w, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + strconv.Quote(best) + "?"
}

// distance returns the Levenshtein distance of two strings in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
