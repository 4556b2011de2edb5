package shdaemon

import "net"

// ListenWith replaces net.Listen for the listeners of this process, so that a
// measurement can place relays at the advertised addresses. It must be called
// before Run.
func ListenWith(f func(network, address string) (net.Listener, error)) { listen = f }
