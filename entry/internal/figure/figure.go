// Package figure formats numbers for reports.
package figure

import (
	"math"
	"strconv"
)

// significantDigits is the minimum number of significant digits. Integer digits are never
// dropped.
const significantDigits = 3

// Short formats a number with three significant digits, keeping all integer digits, and
// never with an exponent: 0.0123, 1.45, 87.1, 1450.
func Short(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	places := max(0, significantDigits-1-int(math.Floor(math.Log10(math.Abs(v)))))
	scale := math.Pow10(places)
	return strconv.FormatFloat(math.Round(v*scale)/scale, 'f', -1, 64)
}
