// Package hash64 holds the mixing function of rendezvous hashing.
package hash64

// Mix is the finalizer of MurmurHash3, a bijection that spreads each bit over the whole word.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
