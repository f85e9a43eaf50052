#ifndef LIB_PLATFORM_H
#define LIB_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Writes to the fake store of the users' platform, in its wire format, what
 * operators and upstreams write there.
 */

#define PLATFORM_TOPIC_CONFIG "keyed.op"
#define PLATFORM_TOPIC_UPSTREAMS "keyed.servers"

/* Paths of requests to the readiness address and the lookup address. */
#define PLATFORM_PATH_READY "/v1/readyz"
#define PLATFORM_PATH_ADDRESSES "/v1/resolve"

/* Size limit of bodies that platform_put_config() sets. */
#define PLATFORM_BODY_MAX_BYTES (64 * 1024)

/* Headers of calls and responses, and the authority of all routes. */
#define PLATFORM_HOST_HEADER "Host: svc.example"
/* A prompt of 100 tokens and at most 20 more: short enough for a backup. */
#define PLATFORM_TOKENS_HEADER "Token-Count: 100,20"
#define PLATFORM_ID "Request-Id"
#define PLATFORM_PROMPT_PARTS "Prefix-Hash"
#define PLATFORM_PROOF "Runner-Signature"

/* Writes an entry; an empty value removes it. */
void platform_put(uint16_t store, const char *topic, const char *key,
                  const char *value);

/* Writes the entry of upstream "run-N" with a state such as "ready". */
void platform_put_upstream(uint16_t store, int n, uint16_t port,
                           const char *state);
/* The same for another process, which started at born, under that name. */
void platform_put_restarted(uint16_t store, int n, uint16_t port, int born);

/* The same for another process under that name, in another zone than "z". */
void platform_put_upstream_in(uint16_t store, int n, uint16_t port,
                              const char *zone);

/* The same in a zone other than "z". */
void platform_put_upstream_of(uint16_t store, int n, uint16_t port,
                              const char *zone, const char *state);
/* Requests the evacuation of a zone, or removes the request. */
void platform_put_evacuation(uint16_t store, const char *zone, bool evacuate);

/* Adds an organisation to a list; keys are quoted and comma-separated. */
void platform_add_organisation(GString *list, const char *name,
                               const char *keys);

/*
 * Writes a configuration with the routes /any/ (idempotent), /once/ (not
 * idempotent), /open/ (no key needed), /s/res/ (a resumable stream) and
 * /s/str/ (a stream that is not resumable), each with two attempts and a
 * timeout of 8 s.
 */
void platform_put_config(uint16_t store, int version,
                         const char *organisations);
/* The same with another size limit of bodies. */
void platform_put_config_for(uint16_t store, int version,
                             const char *organisations, int body_max_bytes);

/* Trims the history of the store to the newest record of each key. */
void platform_trim_history(uint16_t store);

#endif
