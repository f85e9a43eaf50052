#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <linux/filter.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"

#define PORT_MAX 65535
/* Offset of the flags byte in the TCP header. */
#define TCP_FLAGS_OFFSET 13
/* Bits of that byte. */
#define FLAG_SYN 0x02
#define FLAG_ACK 0x10

static int
parse_address(const char *text, struct sockaddr_in *address)
{
    const char *colon = strrchr(text, ':');
    guint64 port;
    char *ip;
    int ok;

    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, PORT_MAX, &port, NULL)) {
        return CT_ERR_INVALID;
    }
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    ip = g_strndup(text, (gsize)(colon - text));
    ok = inet_pton(AF_INET, ip, &address->sin_addr);
    g_free(ip);
    return ok == 1 ? CT_OK : CT_ERR_INVALID;
}

static int
open_socket(const char *text, struct sockaddr_in *address)
{
    int fd;

    if (parse_address(text, address) < 0) {
        return CT_ERR_INVALID;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    return fd < 0 ? CT_ERR_IO : fd;
}

int
ct_socket_listen(const char *text, uint16_t *port)
{
    struct sockaddr_in address;
    socklen_t size = sizeof(address);
    int on = 1;
    int fd;

    fd = open_socket(text, &address);
    if (fd < 0) {
        return fd;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, size) < 0 ||
        listen(fd, SOMAXCONN) < 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) < 0) {
        close(fd);
        return CT_ERR_IO;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

int
ct_socket_stop_accepting(int listener)
{
    /* Drops packets with SYN but not ACK; the filter sees the TCP header. */
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, FLAG_SYN | FLAG_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, FLAG_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    const struct sock_fprog program = {G_N_ELEMENTS(code), code};

    return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) < 0
               ? CT_ERR_IO
               : CT_OK;
}

bool
ct_socket_has_pending(int listener)
{
    struct pollfd pfd = {.fd = listener, .events = POLLIN};

    return poll(&pfd, 1, 0) > 0 && (pfd.revents & POLLIN) != 0;
}

int
ct_socket_connect(const char *text)
{
    struct sockaddr_in address;
    int on = 1;
    int fd;

    fd = open_socket(text, &address);
    if (fd < 0) {
        return fd;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return CT_ERR_IO;
    }
    return fd;
}

int
ct_socket_accept(int listener)
{
    int on = 1;
    int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        return CT_ERR_IO;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

uint64_t
ct_socket_bytes_received(int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);

    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0) {
        return 0;
    }
    return info.tcpi_bytes_received;
}

uint64_t
ct_socket_peer_address(const struct sockaddr *address)
{
    struct sockaddr_in ip;

    if (address == NULL || address->sa_family != AF_INET) {
        return 0;
    }
    memcpy(&ip, address, sizeof(ip));
    return ntohl(ip.sin_addr.s_addr);
}

int
ct_socket_limit_buffers(int listener, int receive_bytes, int send_bytes)
{
    return setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                      sizeof(receive_bytes)) < 0 ||
                   setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &send_bytes,
                              sizeof(send_bytes)) < 0
               ? CT_ERR_IO
               : CT_OK;
}
