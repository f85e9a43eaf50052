#include "lib-client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void
client_open(uint16_t port, struct client *client)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    memset(client, 0, sizeof(*client));
    client->in = g_string_new(NULL);
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_no_errno(
        connect(client->fd, (struct sockaddr *)&address, sizeof(address)));
    fcntl(client->fd, F_SETFL, O_NONBLOCK);
}

void
client_close(struct client *client)
{
    close(client->fd);
    g_string_free(client->in, TRUE);
}

void
client_send(struct client *client, const char *text)
{
    g_assert_cmpint(send(client->fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    strlen(text));
}

static bool
receive_text(void *arg)
{
    struct client *client = arg;
    char buffer[4096];
    ssize_t n;

    while ((n = recv(client->fd, buffer, sizeof(buffer), 0)) > 0) {
        g_string_append_len(client->in, buffer, n);
    }
    if (n == 0 || errno != EAGAIN) {
        client->closed = true;
    }
    return client->closed || (client->wanted != NULL &&
                              strstr(client->in->str, client->wanted) != NULL);
}

void
client_await(struct script *script, struct client *client, const char *wanted)
{
    client->wanted = wanted;
    script_wait_until(script, receive_text, client);
    if (wanted != NULL && strstr(client->in->str, wanted) == NULL) {
        g_error("no \"%s\" in \"%s\"", wanted, client->in->str);
    }
}
