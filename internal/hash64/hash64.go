// Package hash64 provides the 64-bit mixing function for rendezvous hashing.
package hash64

// Mix is the 64-bit finalizer of MurmurHash3, a bijection in which each input bit affects all output bits.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
