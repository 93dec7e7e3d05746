#include "adapters/port_reservation.h"

#include "core/check.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkhitch {

int reservePort(const std::string& host)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    // The socket stays bound. Linux lets a server with SO_REUSEADDR listen on the port nevertheless, since this one does not listen, and
    // gives it to no socket that does not ask for it.
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    socklen_t size = sizeof address;
    bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 && ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!bound)
        ::close(fd);
    USAGE_CHECK(bound) << "no free port on " << host;
    return ntohs(address.sin_port);
}

}
