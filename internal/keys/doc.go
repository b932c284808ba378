// Package keys makes and reads the certificates by which the processes of a
// site know each other. A site has an authority of its own, made once by Init;
// Issue signs a certificate for each process and operator. A certificate names
// its holder in the common name and its role in the organizational unit, and
// lists the IP addresses that the holder may be reached at.
package keys
