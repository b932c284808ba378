package routing

import "crypto/sha256"

// KeySeed is the secret prefix of the key digests of a keyring. Each process draws its own
// and never discloses it.
type KeySeed [sha256.Size]byte

// digest is the digest of a key.
type digest [sha256.Size]byte

// keyring finds the tenant of a key. It stores only SHA-256 (FIPS 180-4) digests of a secret
// seed followed by the key. An attacker can neither choose nor guess a digest, so the time of
// a lookup reveals nothing about keys that are nearly correct.
type keyring struct {
	seed    KeySeed
	tenants map[digest]*Tenant
}

// inlineKeyBytes is the maximum length of a key that is digested without an allocation.
const inlineKeyBytes = 256

// newKeyring indexes the keys of tenants and removes them from the document, which stays in
// memory while it is active.
func newKeyring(tenants []Tenant, seed KeySeed) keyring {
	ring := keyring{seed: seed, tenants: make(map[digest]*Tenant)}
	for index := range tenants {
		for _, key := range tenants[index].Keys {
			ring.tenants[ring.digestOf(key)] = &tenants[index]
		}
		tenants[index].Keys = nil
	}
	return ring
}

func (k *keyring) digestOf(key string) digest {
	var buffer [sha256.Size + inlineKeyBytes]byte
	input := append(buffer[:0], k.seed[:]...)
	return sha256.Sum256(append(input, key...))
}

// find returns the tenant that holds a key, or nil.
func (k *keyring) find(key string) *Tenant { return k.tenants[k.digestOf(key)] }
