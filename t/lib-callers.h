#ifndef LIB_CALLERS_H
#define LIB_CALLERS_H

#include "callers.h"
#include "lib-client.h"
#include "lib-script.h"

/* The callers' port driven by a scripted reducer. */

#define HEAD_BYTES 4096
#define BODY_BYTES 8192
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
#define KEYED CHAT "Authorization: Bearer key\r\n"
#define BODY                                                                  \
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
#define COMPLETE_CALL KEYED "Content-Length: 56\r\n\r\n" BODY
#define LOOKUP "GET /stock?item=3 HTTP/1.1\r\nHost: h\r\n"
#define IDLE_CONNECTIONS 1000
/* Handle of the request whose response the store holds. */
#define CALLERS_REQUEST                                                       \
    {                                                                         \
        5, 1                                                                  \
    }

struct callers_fixture {
    struct script *script;
    struct ct_response_store *responses;
    struct ct_callers *callers;
};

void callers_set_up(struct callers_fixture *f, ct_ms idle_timeout_ms);
void callers_tear_down(struct callers_fixture *f);

/*
 * Refuses calls that the front end rejected or that carry no key, and leaves
 * the other calls pending.
 */
void callers_react(struct script *script, const struct ct_event *event,
                   struct ct_effects *effects);
/* Responds to each call at once with the four stored bytes. */
void callers_react_complete(struct script *script,
                            const struct ct_event *event,
                            struct ct_effects *effects);
/* Starts a stream with the four stored bytes and leaves it open. */
void callers_react_stream(struct script *script, const struct ct_event *event,
                          struct ct_effects *effects);

/* Ends the response to the last call. */
void callers_run_write(struct callers_fixture *f, bool stream,
                       bool complete_response);

#endif
