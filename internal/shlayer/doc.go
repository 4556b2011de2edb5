// Package shlayer checks the layers that docs/design.md defines, from the highest
// to the lowest: transport, protocol, coordination and state. A package imports
// only from its own layer or a lower one, and only programs and tools import
// transport. The package has no API; its test reads the imports of the whole
// tree.
package shlayer
