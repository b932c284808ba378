// Package keys issues and loads the certificates by which the processes of a
// site authenticate each other. Each site has its own certificate authority,
// created once by Init; Issue signs a certificate for each process and operator.
// A certificate has the holder's name as common name and its role as
// organizational unit, and lists the IP addresses that the holder listens on.
package keys
