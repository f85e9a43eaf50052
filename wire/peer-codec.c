#include "peer-codec.h"

#include "coriandertrack.pb-c.h"
#include "error.h"
#include "row-maps.h"

/* Hosts that a load report may claim to include. */
#define LOAD_HOSTS_MAX 65536

static const struct ct_map_field heartbeat_fields[] = {
    CT_MAP_F_OFFSET(Heartbeat, peer_heartbeat, applied_offset),
    CT_MAP_F_OFFSET(Heartbeat, peer_heartbeat, known_head),
    /* CT_MS_NEVER if the sender has never had a response from the log. */
    CT_MAP_F_I64(Heartbeat, peer_heartbeat, log_age_ms, 0, CT_MS_NEVER),
    CT_MAP_F_U32(Heartbeat, peer_heartbeat, direct_withdrawals, 0, UINT32_MAX),
    CT_MAP_F_BOOL(Heartbeat, peer_heartbeat, draining),
};
static const struct ct_map heartbeat_map = {
    &ct__heartbeat__descriptor, sizeof(struct ct_peer_heartbeat),
    CT_MAP_COUNT(heartbeat_fields), heartbeat_fields, NULL};

static const struct ct_map_field digest_fields[] = {
    CT_MAP_F_BYTES(Digest, digest, bytes),
};
static const struct ct_map digest_map = {
    &ct__digest__descriptor, sizeof(struct ct_digest),
    CT_MAP_COUNT(digest_fields), digest_fields, NULL};

static const struct ct_map_field share_fields[] = {
    CT_MAP_F_TEXT(ShareRow, slot_row, pool),
    CT_MAP_F_U32(ShareRow, slot_row, slots_held, 0, UINT32_MAX),
    CT_MAP_F_U32(ShareRow, slot_row, slots_busy, 0, UINT32_MAX),
    {CT_MAP_U32_ARRAY, offsetof(Ct__ShareRow, n_waiting),
     offsetof(struct ct_slot_row, waiting), CT_TIERS, 0, 0},
    CT_MAP_F_BOOL(ShareRow, slot_row, cheap),
    CT_MAP_F_U32(ShareRow, slot_row, slots, 0, UINT32_MAX),
    {CT_MAP_U64, offsetof(Ct__ShareRow, epoch),
     offsetof(struct ct_slot_row, request_number), 0, 0, 0},
};
static const struct ct_map share_map = {
    &ct__share_row__descriptor, sizeof(struct ct_slot_row),
    CT_MAP_COUNT(share_fields), share_fields, NULL};

static const struct ct_map_field request_id_fields[] = {
    CT_MAP_F_TEXT(RequestId, request_id, text),
};
static const struct ct_map request_id_map = {
    &ct__request_id__descriptor, sizeof(struct ct_request_id),
    CT_MAP_COUNT(request_id_fields), request_id_fields, NULL};

static const struct ct_map_field state_offset_fields[] = {
    {CT_MAP_I64, offsetof(Ct__StateOffset, offset), 0, 0, 0, INT64_MAX},
};
static const struct ct_map state_offset_map = {
    &ct__state_offset__descriptor, sizeof(int64_t),
    CT_MAP_COUNT(state_offset_fields), state_offset_fields, NULL};

static const struct ct_map_field update_request_fields[] = {
    {CT_MAP_I64, offsetof(Ct__FeedAsk, asked_ms), 0, 0, 0, CT_MAP_MS_MAX},
};
static const struct ct_map update_request_map = {
    &ct__feed_ask__descriptor, sizeof(ct_ms),
    CT_MAP_COUNT(update_request_fields), update_request_fields, NULL};

static const struct ct_map_field update_fields[] = {
    CT_MAP_F_U32(FeedNews, store_update, topic, 0, CT_TOPIC_UPSTREAMS),
    CT_MAP_F_OFFSET(FeedNews, store_update, from),
    CT_MAP_F_OFFSET(FeedNews, store_update, next),
    {CT_MAP_I64, offsetof(Ct__FeedNews, asked_ms),
     offsetof(struct ct_store_update, requested_ms), 0, 0, CT_MAP_MS_MAX},
    {CT_MAP_I64, offsetof(Ct__FeedNews, lead_ms),
     offsetof(struct ct_store_update, known_after_ms), 0, -CT_MAP_MS_MAX,
     CT_MAP_MS_MAX},
    /* CT_MS_NEVER if the sender has had no store outage. */
    {CT_MAP_I64, offsetof(Ct__FeedNews, back_age_ms),
     offsetof(struct ct_store_update, recovered_age_ms), 0, 0, CT_MS_NEVER},
    CT_MAP_F_BOOL(FeedNews, store_update, failed),
};
static const struct ct_map update_map = {
    &ct__feed_news__descriptor, sizeof(struct ct_store_update),
    CT_MAP_COUNT(update_fields), update_fields, NULL};

/* Offsets of a field of the struct ct_upstream in an upstream entry. */
#define ENTRY_OFFSETS(f)                                                      \
    offsetof(Ct__UpstreamEntry, f),                                           \
        offsetof(struct ct_store_upstream, upstream.f)
#define ENTRY_TEXT(f)                                                         \
    {                                                                         \
        CT_MAP_TEXT, ENTRY_OFFSETS(f),                                        \
            sizeof(((struct ct_store_upstream *)0)->upstream.f), 0, 0         \
    }

static const struct ct_map_field entry_fields[] = {
    ENTRY_TEXT(name),
    ENTRY_TEXT(pool),
    ENTRY_TEXT(zone),
    ENTRY_TEXT(address),
    {CT_MAP_U32, ENTRY_OFFSETS(slots), 0, 0, UINT32_MAX},
    {CT_MAP_BOOL, ENTRY_OFFSETS(cheap), 0, 0, 0},
    {CT_MAP_BOOL, offsetof(Ct__UpstreamEntry, gone),
     offsetof(struct ct_store_upstream, removed), 0, 0, 0},
    CT_MAP_F_BOOL(UpstreamEntry, store_upstream, leaving),
    {CT_MAP_I64, offsetof(Ct__UpstreamEntry, born_ms),
     offsetof(struct ct_store_upstream, started_ms), 0, INT64_MIN, INT64_MAX},
    CT_MAP_F_OFFSET(UpstreamEntry, store_upstream, offset),
    CT_MAP_F_MS(UpstreamEntry, store_upstream, cold_left_ms),
    CT_MAP_F_I64(UpstreamEntry, store_upstream, sequence, 0, INT64_MAX),
};
static const struct ct_map entry_map = {
    &ct__upstream_entry__descriptor, sizeof(struct ct_store_upstream),
    CT_MAP_COUNT(entry_fields), entry_fields, NULL};

static const struct ct_map_field member_fields[] = {
    CT_MAP_F_TEXT(Member, member, host),
    CT_MAP_F_TEXT(Member, member, address),
    CT_MAP_F_TEXT(Member, member, zone),
    CT_MAP_F_TEXT(Member, member, peer_address),
};
static const struct ct_map member_map = {
    &ct__member__descriptor, sizeof(struct ct_member),
    CT_MAP_COUNT(member_fields), member_fields, NULL};

static const struct ct_map_field tally_fields[] = {
    CT_MAP_F_I64(Tally, tally, window, 0, INT64_MAX),
    CT_MAP_F_TEXT(Tally, tally, writer),
    CT_MAP_F_U64(Tally, tally, sequence),
    CT_MAP_F_BOOL(Tally, tally, closes),
    CT_MAP_F_BOOL(Tally, tally, ends),
};
static const struct ct_map tally_map = {
    &ct__tally__descriptor, sizeof(struct ct_tally),
    CT_MAP_COUNT(tally_fields), tally_fields, NULL};

static const struct ct_map_field tally_row_fields[] = {
    CT_MAP_F_TEXT(TallyRow, tally_row, organisation),
    CT_MAP_F_U64(TallyRow, tally_row, requests),
};
static const struct ct_map tally_row_map = {
    &ct__tally_row__descriptor, sizeof(struct ct_tally_row),
    CT_MAP_COUNT(tally_row_fields), tally_row_fields, NULL};

static const struct ct_map_field tally_done_fields[] = {
    {CT_MAP_U64, offsetof(Ct__TallyDone, sequence), 0, 0, 0, 0},
};
static const struct ct_map tally_done_map = {
    &ct__tally_done__descriptor, sizeof(uint64_t),
    CT_MAP_COUNT(tally_done_fields), tally_done_fields, NULL};

static const struct ct_map_field load_fields[] = {
    CT_MAP_F_U32(Load, peer_load, sequence, 0, UINT32_MAX),
    CT_MAP_F_U32(Load, peer_load, list_version, 0, UINT32_MAX),
    CT_MAP_F_U32(Load, peer_load, hosts, 0, LOAD_HOSTS_MAX),
    CT_MAP_F_I64(Load, peer_load, age_ms, 0, CT_MAP_MS_MAX),
    CT_MAP_F_BOOL(Load, peer_load, follows),
};
static const struct ct_map load_map = {
    &ct__load__descriptor, sizeof(struct ct_peer_load),
    CT_MAP_COUNT(load_fields), load_fields, NULL};

/* Offsets of a field of the struct ct_peer_load in a sum. */
#define LOAD_OFFSETS(f)                                                       \
    offsetof(Ct__LoadSum, f), offsetof(struct ct_peer_load_sum, load.f)
#define REPORTER_FIELD(f)                                                     \
    {                                                                         \
        CT_MAP_U32_ARRAY, offsetof(Ct__LoadSum, n_##f),                       \
            offsetof(struct ct_peer_load_sum, f), CT_LOAD_REPORTERS_MAX, 0, 0 \
    }

static const struct ct_map_field load_sum_fields[] = {
    {CT_MAP_U32, LOAD_OFFSETS(sequence), 0, 0, UINT32_MAX},
    {CT_MAP_U32, LOAD_OFFSETS(list_version), 0, 0, UINT32_MAX},
    {CT_MAP_U32, LOAD_OFFSETS(hosts), 0, 0, LOAD_HOSTS_MAX},
    {CT_MAP_I64, LOAD_OFFSETS(age_ms), 0, 0, CT_MAP_MS_MAX},
    REPORTER_FIELD(reporters),
    REPORTER_FIELD(reported),
};
static const struct ct_map load_sum_map = {
    &ct__load_sum__descriptor, sizeof(struct ct_peer_load_sum),
    CT_MAP_COUNT(load_sum_fields), load_sum_fields, NULL};

static const struct ct_map_column load_columns_items[] = {
    {CT_MAP_COLUMN_U32, offsetof(Ct__PeerMessage, n_load_counts),
     offsetof(struct ct_load_row, in_flight)},
    {CT_MAP_COLUMN_INDEX, offsetof(Ct__PeerMessage, n_load_numbers),
     offsetof(struct ct_load_row, number)},
};
static const struct ct_map_columns load_columns = {
    sizeof(struct ct_load_row), CT_MAP_COUNT(load_columns_items),
    load_columns_items};

static const struct ct_map_field load_list_fields[] = {
    CT_MAP_F_U32(LoadList, peer_load_list, version, 0, UINT32_MAX),
    CT_MAP_F_U32(LoadList, peer_load_list, first, 0, UINT32_MAX),
};
static const struct ct_map load_list_map = {
    &ct__load_list__descriptor, sizeof(struct ct_peer_load_list),
    CT_MAP_COUNT(load_list_fields), load_list_fields, NULL};

static const struct ct_map_column load_list_columns_items[] = {
    {CT_MAP_COLUMN_U64, offsetof(Ct__PeerMessage, n_load_hashes),
     offsetof(struct ct_load_list_row, upstream_hash)},
};
static const struct ct_map_columns load_list_columns = {
    sizeof(struct ct_load_list_row), CT_MAP_COUNT(load_list_columns_items),
    load_list_columns_items};

static const struct ct_map_field load_gaps_fields[] = {
    CT_MAP_F_U32(LoadGaps, peer_load_gaps, sequence, 0, UINT32_MAX),
    CT_MAP_F_U32(LoadGaps, peer_load_gaps, list_version, 0, UINT32_MAX),
    CT_MAP_F_BOOL(LoadGaps, peer_load_gaps, follows),
};
static const struct ct_map load_gaps_map = {
    &ct__load_gaps__descriptor, sizeof(struct ct_peer_load_gaps),
    CT_MAP_COUNT(load_gaps_fields), load_gaps_fields, NULL};

static const struct ct_map_column load_gaps_columns_items[] = {
    {CT_MAP_COLUMN_U32, offsetof(Ct__PeerMessage, n_load_counts),
     offsetof(struct ct_load_gap_row, gap_code)},
    {CT_MAP_COLUMN_INDEX, offsetof(Ct__PeerMessage, n_load_numbers),
     offsetof(struct ct_load_gap_row, number)},
};
static const struct ct_map_columns load_gaps_columns = {
    sizeof(struct ct_load_gap_row), CT_MAP_COUNT(load_gaps_columns_items),
    load_gaps_columns_items};

/* Fields of the configuration in an update. */
#define CONFIG_FIELD(kind, wire, f, size, min, max)                           \
    {                                                                         \
        kind, offsetof(Ct__ConfigUpdate, wire),                               \
            offsetof(struct ct_store_config_update, config.f), size, min, max \
    }

static const struct ct_map_field config_update_fields[] = {
    CT_MAP_F_OFFSET(ConfigUpdate, store_config_update, from),
    CT_MAP_F_OFFSET(ConfigUpdate, store_config_update, next),
    CONFIG_FIELD(CT_MAP_I64, version, version, 0, INT64_MIN, INT64_MAX),
    CONFIG_FIELD(CT_MAP_BOOL, keys_required, keys_required, 0, 0, 0),
    CONFIG_FIELD(CT_MAP_BOOL, has_bounds, has_bounds, 0, 0, 0),
    CONFIG_FIELD(CT_MAP_U32, head_bytes, bounds.head_bytes, 0, 0, UINT32_MAX),
    CONFIG_FIELD(CT_MAP_U32, body_bytes, bounds.body_bytes, 0, 0, UINT32_MAX),
    CONFIG_FIELD(CT_MAP_I64, head_timeout_ms, bounds.head_timeout_ms, 0, 0,
                 CT_MAP_MS_MAX),
    CONFIG_FIELD(CT_MAP_I64, idle_timeout_ms, bounds.idle_timeout_ms, 0, 0,
                 CT_MAP_MS_MAX),
    CONFIG_FIELD(CT_MAP_U32, n_left_out, n_left_out, 0, 0, UINT32_MAX),
    CONFIG_FIELD(CT_MAP_TEXT, left_out_name, left_out_name,
                 sizeof(struct ct_name), 0, 0),
    CONFIG_FIELD(CT_MAP_I32, left_out_reason, left_out_reason, 0, INT32_MIN,
                 INT32_MAX),
};
static const struct ct_map config_update_map = {
    &ct__config_update__descriptor, sizeof(struct ct_store_config_update),
    CT_MAP_COUNT(config_update_fields), config_update_fields, NULL};

#define BODY(map, wire_member, member)                                        \
    .body = &(map),                                                           \
    .body_wire_offset = offsetof(Ct__PeerMessage, wire_member),               \
    .body_core_offset = offsetof(struct ct_peer_message, u.member)
#define ROWS(map, member)                                                     \
    .rows = &(map), .rows_wire_offset = offsetof(Ct__PeerMessage, n_##member)

static const struct ct_map_variant message_variant_items[] = {
    [CT_PEER_HEARTBEAT] = {BODY(heartbeat_map, heartbeat, heartbeat)},
    [CT_PEER_WITHDRAW] = {BODY(digest_map, digest, digest)},
    [CT_PEER_WITHDRAWN] = {BODY(digest_map, digest, digest)},
    [CT_PEER_USAGE_COPY] = {ROWS(ct_map_usage_row, usage_rows)},
    [CT_PEER_REFUSAL_COPY] = {ROWS(ct_map_refusal_row, refusal_rows)},
    [CT_PEER_SLOT_REQUEST] = {BODY(share_map, share, slot_row)},
    [CT_PEER_SLOT_GRANT] = {BODY(share_map, share, slot_row)},
    [CT_PEER_RESPONSE_LOOKUP] = {BODY(request_id_map, request_id, request_id)},
    [CT_PEER_RESPONSE_FOUND] = {BODY(request_id_map, request_id, request_id)},
    [CT_PEER_STATE_REQUEST] = {NULL},
    [CT_PEER_STATE] = {BODY(state_offset_map, state, offset),
                       ROWS(ct_map_snapshot_row, snapshot_rows)},
    [CT_PEER_DEMAND] = {ROWS(share_map, share_rows)},
    [CT_PEER_STORE_UPDATE_REQUEST] = {BODY(update_request_map, feed_ask,
                                           requested_ms)},
    [CT_PEER_STORE_UPDATE] = {BODY(update_map, feed_news, store_update),
                              ROWS(entry_map, upstream_entries)},
    [CT_PEER_MEMBERS_UPDATE] = {ROWS(member_map, members)},
    [CT_PEER_TALLY] = {BODY(tally_map, tally, tally),
                       ROWS(tally_row_map, tally_rows)},
    [CT_PEER_TALLY_DONE] = {BODY(tally_done_map, tally_done, sequence)},
    [CT_PEER_LOAD] = {BODY(load_map, load, load), .columns = &load_columns},
    [CT_PEER_LOAD_SUM] = {BODY(load_sum_map, load_sum, load_sum),
                          .columns = &load_columns},
    [CT_PEER_LOAD_LIST] = {BODY(load_list_map, load_list, load_list),
                           .columns = &load_list_columns},
    [CT_PEER_LOAD_GAPS] = {BODY(load_gaps_map, load_gaps, load_gaps),
                           .columns = &load_gaps_columns},
    [CT_PEER_STORE_CONFIG] = {BODY(config_update_map, config_update,
                                   store_config),
                              ROWS(ct_map_config_row, config_rows)},
};

static const struct ct_map_variants message_variants = {
    offsetof(Ct__PeerMessage, type), offsetof(struct ct_peer_message, type),
    offsetof(struct ct_peer_message, rows),
    CT_MAP_COUNT(message_variant_items), message_variant_items};

static const struct ct_map_field message_fields[] = {
    CT_MAP_F_TEXT(PeerMessage, peer_message, sender),
};
static const struct ct_map message_map = {
    &ct__peer_message__descriptor, sizeof(struct ct_peer_message),
    CT_MAP_COUNT(message_fields), message_fields, &message_variants};

static const struct ct_map_field hello_fields[] = {
    CT_MAP_F_TEXT(Hello, hello, host),
    CT_MAP_F_TEXT(Hello, hello, zone),
    CT_MAP_F_BYTES(Hello, hello, nonce),
};
static const struct ct_map hello_map = {
    &ct__hello__descriptor, sizeof(struct ct_hello),
    CT_MAP_COUNT(hello_fields), hello_fields, NULL};

static const struct ct_map_field proof_fields[] = {
    CT_MAP_F_BYTES(Proof, proof, hmac),
};
static const struct ct_map proof_map = {
    &ct__proof__descriptor, sizeof(struct ct_proof),
    CT_MAP_COUNT(proof_fields), proof_fields, NULL};

#define FRAME_VARIANT(map, member)                                            \
    {                                                                         \
        &(map), offsetof(Ct__PeerFrame, hello),                               \
            offsetof(struct ct_peer_frame, u.member), NULL, 0                 \
    }

static const struct ct_map_variant frame_variant_items[] = {
    [CT_PEER_FRAME_HELLO] = FRAME_VARIANT(hello_map, hello),
    [CT_PEER_FRAME_PROOF] = FRAME_VARIANT(proof_map, proof),
    [CT_PEER_FRAME_MESSAGE] = FRAME_VARIANT(message_map, message),
};

static const struct ct_map_variants frame_variants = {
    offsetof(Ct__PeerFrame, frame_case), offsetof(struct ct_peer_frame, kind),
    0, CT_MAP_COUNT(frame_variant_items), frame_variant_items};

static const struct ct_map frame_map = {&ct__peer_frame__descriptor,
                                        sizeof(struct ct_peer_frame), 0, NULL,
                                        &frame_variants};

int
ct_peer_encode(const struct ct_peer_frame *frame, GByteArray *out)
{
    return ct_map_encode(&frame_map, frame, out);
}

int
ct_peer_decode(const uint8_t *bytes, size_t n,
               struct ct_decoded_peer_frame *out)
{
    return ct_map_decode(&frame_map, bytes, n, &out->frame, &out->arena);
}

void
ct_decoded_peer_frame_free(struct ct_decoded_peer_frame *decoded)
{
    ct_arena_free(&decoded->arena);
}
