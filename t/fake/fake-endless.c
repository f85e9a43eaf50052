#include "fake-endless.h"

#define BLOCK_BYTES 16384
#define OK_HEAD "HTTP/1.1 200 OK\r\n%FIELDS%"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM                                                                \
    OK_HEAD "Content-Type: text/event-stream\r\n"                             \
            "Transfer-Encoding: chunked\r\n\r\n"
#define ZEROS "00000000000000000000000000000000"

const struct fake_endless fake_endless_kinds[] = {
    {"status line", "HTTP/1.1 200 ", "OK", FALSE},
    {"head lines", OK_HEAD, "X-Line: 1\r\n", FALSE},
    {"head line", OK_HEAD "X-Line: ", "1", FALSE},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", FALSE},
    {"interim head lines", "HTTP/1.1 102 Processing\r\n", "X-Line: 1\r\n",
     FALSE},
    {"chunk size", CHUNKED, ZEROS, FALSE},
    {"chunk extension", CHUNKED "2;", "x", FALSE},
    {"trailers", CHUNKED "2\r\nok\r\n0\r\n", "X-Line: 1\r\n", FALSE},
    {"trailer", CHUNKED "2\r\nok\r\n0\r\nX-Line: ", "1", FALSE},
    {"chunks", CHUNKED, "2\r\nok\r\n", FALSE},
    {"body of unknown length", OK_HEAD "\r\n", "ok", FALSE},
    {"failure", "HTTP/1.1 500 Failed\r\n%FIELDS%\r\n", "no", FALSE},
    {"body of large length",
     OK_HEAD "Content-Length: 1000000000000000\r\n\r\n", "ok", FALSE},
    {"comments", STREAM, "3\r\n:\n\n\r\n", FALSE},
    {"event without an end", STREAM, "8\r\ndata: x\n\r\n", FALSE},
    {"events", STREAM, "f\r\ndata: {\"x\":1}\n\n\r\n", FALSE},
    {"bytes after the length", OK_HEAD "Content-Length: 2\r\n\r\nok", "junk",
     TRUE},
    {"bytes after the last chunk", CHUNKED "2\r\nok\r\n0\r\n\r\n", "junk",
     TRUE},
    {"body where the status has none", "HTTP/1.1 204 None\r\n%FIELDS%\r\n",
     "junk", TRUE},
};

const guint fake_endless_kinds_n = G_N_ELEMENTS(fake_endless_kinds);

char *
fake_endless_head(const struct fake_endless *kind, const char *fields)
{
    GString *text = g_string_new(kind->head);

    g_string_replace(text, "%FIELDS%", fields, 0);
    return g_string_free(text, FALSE);
}

GString *
fake_endless_block(const struct fake_endless *kind)
{
    GString *block = g_string_new(NULL);

    while (block->len < BLOCK_BYTES) {
        g_string_append(block, kind->repeated);
    }
    return block;
}
