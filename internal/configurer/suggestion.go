package configurer

import "strconv"

// suggestion names the word that is nearest to an unknown one, if one is near.
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

// distance is the number of bytes to insert, delete or replace to make a into b.
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
