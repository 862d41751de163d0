#include "reservedport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kingcuptrail {

ReservedPort::ReservedPort()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0 && getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        m_number = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    close(m_socket);
}

}
