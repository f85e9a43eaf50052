#ifndef LIB_CLIENT_H
#define LIB_CLIENT_H

#include "lib-script.h"

/*
 * A TCP client that sends arbitrary bytes, on the same thread as the loop
 * under test.
 */

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
 * Runs the loop until the text has arrived; fails the test if the connection
 * ends first. With NULL, runs it until the server closes the connection.
 */
void client_await(struct script *script, struct client *client,
                  const char *wanted);

#endif
