#include "core/network_address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <netinet/in.h>

namespace skylarkhitch {

namespace {

    bool isHost(const std::string& text)
    {
        in_addr ipv4 {};
        in6_addr ipv6 {};
        // inet_pton() reads up to the first zero byte.
        if (text.find('\0') != std::string::npos)
            return false;
        if (::inet_pton(AF_INET, text.c_str(), &ipv4) == 1)
            return ipv4.s_addr != INADDR_ANY && ipv4.s_addr != INADDR_BROADCAST && !IN_MULTICAST(ntohl(ipv4.s_addr));
        bool isIpv6 = ::inet_pton(AF_INET6, text.c_str(), &ipv6) == 1;
        return isIpv6 && ipv6.s6_addr[0] != 0xff && !std::equal(std::begin(ipv6.s6_addr), std::end(ipv6.s6_addr), std::begin(in6addr_any.s6_addr));
    }

    bool isPort(const std::string& text)
    {
        std::uint16_t port = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        return ec == std::errc() && end == text.data() + text.size() && port > 0;
    }

}

bool isDialable(const std::string& address)
{
    auto colon = address.rfind(':');
    return colon != std::string::npos && isHost(address.substr(0, colon)) && isPort(address.substr(colon + 1));
}

}
