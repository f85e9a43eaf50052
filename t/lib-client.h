#ifndef LIB_CLIENT_H
#define LIB_CLIENT_H

#include "lib-script.h"

/* A client that sends any bytes, on the thread of the loop that it tests. */

struct client {
    int fd;
    GString *in;
    bool closed;
    const char *wanted;
};

void client_open(uint16_t port, struct client *client);
void client_close(struct client *client);
void client_send(struct client *client, const char *text);
/*
 * Runs the loop until the text has come, which else fails the test; NULL:
 * until the server ends the connection.
 */
void client_await(struct script *script, struct client *client,
                  const char *wanted);

#endif
