// Package streamorigin decides where a stream may go on. What back ends of two software versions write does not fit
// together, and back ends don't check it: a stream goes on only at a back end whose software version is known to be that
// of the one that began it. Unknown versions never match. The package has no I/O, locks or clock; gateways and routers
// both use it.
package streamorigin
