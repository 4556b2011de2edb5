// Package shlayer checks the layers that docs/design.md sets: transport,
// protocol, coordination and state, in this order. A package imports only from
// its own layer or a lower one, and only programs and tools import transport.
// The package has no API; its test reads the imports of the whole tree.
package shlayer
