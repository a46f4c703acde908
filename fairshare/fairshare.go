// Package fairshare has the arithmetic by which users of a pool share its capacity: how much of the
// pool a user takes, how much it is entitled to, and whether a limit allows it more. Amounts are
// slices with one element for each dimension of the capacity, in the same order.
package fairshare

import "math"

// NoLimit stands for a dimension in which there is no limit.
const NoLimit = -1

// DominantShare returns the largest fraction of capacity that used takes in any dimension. It is
// infinite if used needs a dimension of which capacity has nothing.
func DominantShare(used, capacity []int64) float64 {
	share := 0.0
	for d, amount := range used {
		if amount <= 0 {
			continue
		}
		if capacity[d] <= 0 {
			return math.Inf(1)
		}
		share = max(share, float64(amount)/float64(capacity[d]))
	}
	return share
}

// Entitlement returns the fraction of a pool to which a user is entitled. totalWeight is the sum of
// the weights of all users that have work in the pool, including this one.
func Entitlement(weight, totalWeight float64) float64 { return weight / totalWeight }

// FirstExceeded returns the first dimension in which n more allocations of the amount each would
// bring used above limit, or -1. A dimension that each does not need is never exceeded.
func FirstExceeded(used, each, limit []int64, n int64) int {
	for d := range each {
		if fitting(used[d], each[d], limit[d]) < n {
			return d
		}
	}
	return -1
}

// Fitting returns how many allocations of the amount each fit between used and limit, at most most.
func Fitting(used, each, limit []int64, most int64) int64 {
	for d := range each {
		most = min(most, fitting(used[d], each[d], limit[d]))
	}
	return most
}

// fitting returns how many allocations fit in one dimension. It divides, since the product of a
// number of tasks and the resources that a caller requests can overflow.
func fitting(used, each, limit int64) int64 {
	if each <= 0 || limit == NoLimit {
		return math.MaxInt64
	}
	return max(limit-used, 0) / each
}
