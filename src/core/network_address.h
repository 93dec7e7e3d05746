#pragma once

// Addresses of the form ip:port that others state.

#include <string>

namespace skylarkhitch {

// Whether a connection can be opened to the address, and the address be part of a header: an IPv4 or IPv6 address of one host, without
// brackets, a colon, and a port from 1 to 65535 in digits.
bool isDialable(const std::string& address);

}
