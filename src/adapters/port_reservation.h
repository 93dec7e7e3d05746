#pragma once

// Ports for servers whose address is not given, in tests and in the quick start.

#include <string>

namespace skylarkhitch {

// Returns a TCP port of the host, an IPv4 address, that nothing uses, and reserves it until the process ends: other processes neither
// listen nor connect from there meanwhile. Servers of this process can listen on it if they set SO_REUSEADDR, as HttpServer and
// PeerTransport do. Throws UsageError if there is none.
int reservePort(const std::string& host);

}
