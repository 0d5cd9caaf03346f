// Package tunnel reaches back ends through other processes of the fleet while this one has no direct path to them.
//
// A Dialer connects directly and, if that fails or takes long, asks a peer to open the connection. A path counts as lost
// once a peer reached an address that this process could not, so a back end that is down for all costs no path. Lost
// paths are probed in the background; requests never serve as probes. Paths are tracked by address, since a partition
// may separate any gateways from any back ends.
//
// A tunnel carries the bytes of one connection and nothing else: placement, limits and retries stay with the process
// that received the request. The peer dials directly, so tunnels have one hop. From the peer, bytes are sent in chunks
// (RFC 9112, 7.1) and the last chunk only follows an orderly end of the back end's stream, so that the death of the peer
// is not mistaken for the end of a response. A tunnel is used for one request: a peer that shuts down can wait for the
// tunnels in use.
//
// Table holds the state of paths; it uses no I/O, locks or clock.
package tunnel
