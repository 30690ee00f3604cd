/* Round trips and malformed input of the message codecs. */
#include <foxtailrun/wire/call.h>
#include <foxtailrun/wire/control.h>
#include <foxtailrun/wire/crash.h>
#include <foxtailrun/wire/datagram.h>
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <string.h>

static fw_member_t
make_member (int number)
{
  char id[32];
  fw_member_t member = { 0 };

  g_snprintf (id, sizeof id, "node-%04d", number);
  member.id = fb_make_name (id);
  member.incarnation = 1000 + (uint64_t)number;
  member.state = (fw_member_state_t)(number % 4);
  member.address = fb_make_name ("127.0.0.1");
  member.control_port = 7001;
  member.call_port = 7002;
  member.admin_port = 7003;
  member.zone = fb_make_name ("zone-a");
  member.region = fb_make_name ("gh-south");
  member.service = fb_make_name ("storefront");
  return member;
}

static void
assert_same_member (const fw_member_t *a, const fw_member_t *b)
{
  g_assert_cmpstr (a->id.data, ==, b->id.data);
  g_assert_cmpuint (a->incarnation, ==, b->incarnation);
  g_assert_cmpuint (a->state, ==, b->state);
  g_assert_cmpstr (a->address.data, ==, b->address.data);
  g_assert_cmpuint (a->control_port, ==, b->control_port);
  g_assert_cmpuint (a->call_port, ==, b->call_port);
  g_assert_cmpuint (a->admin_port, ==, b->admin_port);
  g_assert_cmpstr (a->zone.data, ==, b->zone.data);
  g_assert_cmpstr (a->region.data, ==, b->region.data);
  g_assert_cmpstr (a->service.data, ==, b->service.data);
}

/* Guards against fields that change in transit and datagrams over the size limit. */
static void
test_datagram_round_trip (void)
{
  fw_datagram_t *sent = g_new0 (fw_datagram_t, 1);
  fw_datagram_t *decoded = g_new0 (fw_datagram_t, 1);
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t packed_count;

  sent->kind = FW_PING_REQ;
  sent->sequence = 42;
  sent->sender = make_member (1);
  sent->version = (fb_version_t){ 7, 8, { { 9 } } };
  sent->members_digest = 99;
  sent->target = fb_make_name ("node-0002");
  sent->update_count = FW_UPDATES_MAX;
  for (int i = 0; i < FW_UPDATES_MAX; i++)
    sent->updates[i] = make_member (i);
  g_assert_cmpint (fw_encode_datagram (sent, buffer, &length, &packed_count), ==, FB_OK);
  g_assert_cmpuint (length, <=, FW_DATAGRAM_MAX);
  g_assert_cmpuint (packed_count, >, 5);
  g_assert_cmpuint (packed_count, <, FW_UPDATES_MAX);
  g_assert_cmpint (fw_decode_datagram ((fb_bytes_t){ buffer, length }, decoded), ==, FB_OK);
  g_assert_cmpint (decoded->kind, ==, FW_PING_REQ);
  g_assert_cmpuint (decoded->sequence, ==, 42);
  g_assert_cmpint (fb_compare_versions (&decoded->version, &sent->version), ==, 0);
  g_assert_cmpuint (decoded->members_digest, ==, 99);
  g_assert_cmpstr (decoded->target.data, ==, "node-0002");
  assert_same_member (&decoded->sender, &sent->sender);
  g_assert_cmpuint (decoded->update_count, ==, packed_count);
  for (size_t i = 0; i < packed_count; i++)
    assert_same_member (&decoded->updates[i], &sent->updates[i]);
  g_free (sent);
  g_free (decoded);
}

static fw_control_t
make_control (fw_member_t *members)
{
  return (fw_control_t){ .kind = FW_DOCUMENT,
                         .request_id = 3,
                         .sender = fb_make_name ("node-0001"),
                         .version = { 4, 5, { { 6 } } },
                         .ready = true,
                         .base_digest = { { 1, 2, 3 } },
                         .page = 1,
                         .page_count = 2,
                         .payload = { (const uint8_t *)"payload", 7 },
                         .member_count = 2,
                         .members = members };
}

/* Guards against control messages whose payload or member list changes in transit. */
static void
test_control_round_trip (void)
{
  fw_member_t members[2] = { make_member (1), make_member (2) };
  fw_control_t sent = make_control (members);
  fw_control_t decoded;
  size_t length;
  uint8_t *bytes = fw_encode_control (&sent, &length);

  g_assert_cmpint (fw_decode_control ((fb_bytes_t){ bytes, length }, &decoded), ==, FB_OK);
  g_assert_cmpint (decoded.kind, ==, FW_DOCUMENT);
  g_assert_cmpuint (decoded.request_id, ==, 3);
  g_assert_true (decoded.ready);
  g_assert_cmpmem (decoded.payload.data, decoded.payload.len, "payload", 7);
  g_assert_cmpmem (decoded.base_digest.bytes, FB_DIGEST_LEN, sent.base_digest.bytes,
                   FB_DIGEST_LEN);
  g_assert_cmpuint (decoded.page_count, ==, 2);
  g_assert_cmpuint (decoded.member_count, ==, 2);
  assert_same_member (&decoded.members[1], &members[1]);
  fw_clear_control (&decoded);
  g_free (bytes);
}

static fw_call_t
make_call (void)
{
  return (fw_call_t){ .kind = FW_CALL,
                      .id = UINT64_MAX,
                      .remaining_us = 250000,
                      .service = FB_LITERAL ("storefront"),
                      .rank = FB_LITERAL ("urgent"),
                      .customer = FB_LITERAL ("shop-1"),
                      .method = FB_LITERAL ("POST"),
                      .path = FB_LITERAL ("/pay?x=1"),
                      .ticket = FB_LITERAL ("ftr1-n-1-1-1"),
                      .request_id = FB_LITERAL ("r-1"),
                      .reason = FB_LITERAL (""),
                      .leaving = true,
                      .instance = FB_LITERAL ("i-1"),
                      .incarnation = 5,
                      .rate_limit_milli = 59700,
                      .header_count = 1,
                      .headers
                      = { { FB_LITERAL ("content-type"), FB_LITERAL ("text/plain") } } };
}

/* Guards against calls whose request changes in transit. */
static void
test_call_round_trip (void)
{
  fw_call_t sent = make_call ();
  fw_call_t decoded;
  size_t length;
  uint8_t *bytes = fw_encode_call (&sent, &length);
  fb_bytes_t body = { (const uint8_t *)"body", 4 };

  g_assert_cmpint (fw_decode_call ((fb_bytes_t){ bytes, length }, body, &decoded), ==, FB_OK);
  g_assert_cmpuint (decoded.id, ==, UINT64_MAX);
  g_assert_cmpuint (decoded.remaining_us, ==, 250000);
  g_assert_true (fb_equal_str (decoded.path, sent.path));
  g_assert_true (fb_equal_str (decoded.ticket, sent.ticket));
  g_assert_true (decoded.leaving);
  g_assert_true (fb_equal_str (decoded.instance, sent.instance));
  g_assert_cmpuint (decoded.incarnation, ==, 5);
  g_assert_cmpuint (decoded.rate_limit_milli, ==, 59700);
  g_assert_cmpuint (decoded.header_count, ==, 1);
  g_assert_true (fb_equal_str (decoded.headers[0].value, sent.headers[0].value));
  g_assert_cmpmem (decoded.body.data, decoded.body.len, "body", 4);
  body.len = FW_REQUEST_BODY_MAX + 1;
  g_assert_cmpint (fw_decode_call ((fb_bytes_t){ bytes, length }, body, &decoded), ==,
                   FB_INVALID);
  g_free (bytes);
}

/* Guards against a text of a caller that is lost in transit, or ends a process, because it is
 * long. */
static void
test_call_lengths (void)
{
  static const struct
  {
    size_t length;
    fb_status_t status;
  } cases[]
      = { { 16 * 1024 + 1, FB_OK }, { FW_TEXT_MAX, FB_OK }, { FW_TEXT_MAX + 1, FB_INVALID } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int field = 0; field < 5; field++)
      {
        char *text = g_strnfill (cases[i].length, 'x');
        fw_call_t sent = make_call ();
        fb_str_t *const fields[] = { &sent.path, &sent.host, &sent.ticket,
                                     &sent.headers[0].name, &sent.headers[0].value };
        fw_call_t decoded;
        size_t length;
        uint8_t *bytes;

        *fields[field] = fb_wrap_text (text);
        bytes = fw_encode_call (&sent, &length);
        g_test_message ("field %d of %zu bytes", field, cases[i].length);
        g_assert_cmpint (
            fw_decode_call ((fb_bytes_t){ bytes, length }, (fb_bytes_t){ NULL, 0 }, &decoded),
            ==, cases[i].status);
        g_free (bytes);
        g_free (text);
      }
}

/* Guards against a crash or quarantine that changes in transit, and calls without one that an
 * earlier build would refuse. */
static void
test_call_crash (void)
{
  static const struct
  {
    uint64_t crash_id;
    uint64_t quarantine_us;
    size_t fields;
  } cases[] = { { 0, 0, 30 }, { 7, 0, 32 }, { 0, 60000000, 32 }, { UINT64_MAX, 1, 32 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_call_t sent = make_call ();
      fw_call_t decoded;
      size_t length;
      uint8_t *bytes;

      sent.crash_id = cases[i].crash_id;
      sent.quarantine_us = cases[i].quarantine_us;
      bytes = fw_encode_call (&sent, &length);
      /* An array of more than 15 elements begins with its count in 16 bits. */
      g_assert_cmpuint (bytes[2], ==, cases[i].fields);
      g_assert_cmpint (
          fw_decode_call ((fb_bytes_t){ bytes, length }, (fb_bytes_t){ NULL, 0 }, &decoded), ==,
          FB_OK);
      g_assert_cmpuint (decoded.crash_id, ==, sent.crash_id);
      g_assert_cmpuint (decoded.quarantine_us, ==, sent.quarantine_us);
      g_free (bytes);
    }
}

/* Guards against pace fields that change in transit, that are sent where nobody set them, so
 * that an earlier build would refuse the message, or that displace those of a crash. */
static void
test_call_pace (void)
{
  static const struct
  {
    uint64_t expected_service_us;
    uint32_t pace_permille;
    uint64_t crash_id;
    size_t fields;
    fb_status_t status;
  } cases[] = {
    { 0, 0, 0, 30, FB_OK },           { 0, 0, 7, 32, FB_OK },
    { 4000, 0, 0, 34, FB_OK },        { 0, 125, 0, 34, FB_OK },
    { 0, FW_PACE_MAX, 7, 34, FB_OK }, { 0, FW_PACE_MAX + 1, 0, 34, FB_INVALID },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_call_t sent = make_call ();
      fw_call_t decoded;
      size_t length;
      uint8_t *bytes;

      sent.expected_service_us = cases[i].expected_service_us;
      sent.pace_permille = cases[i].pace_permille;
      sent.crash_id = cases[i].crash_id;
      bytes = fw_encode_call (&sent, &length);
      g_assert_cmpuint (bytes[2], ==, cases[i].fields);
      g_assert_cmpint (
          fw_decode_call ((fb_bytes_t){ bytes, length }, (fb_bytes_t){ NULL, 0 }, &decoded), ==,
          cases[i].status);
      if (cases[i].status == FB_OK)
        {
          g_assert_cmpuint (decoded.expected_service_us, ==, sent.expected_service_us);
          g_assert_cmpuint (decoded.pace_permille, ==, sent.pace_permille);
          g_assert_cmpuint (decoded.crash_id, ==, sent.crash_id);
        }
      g_free (bytes);
    }
}

static fw_crash_report_t
make_crash_report (fw_suspect_t suspects[2])
{
  suspects[0] = (fw_suspect_t){ .key = { { 1 } },
                                .failed_trials = 2,
                                .age_us = 5000,
                                .crash_count = 2,
                                .crashes = { UINT64_MAX, 3 },
                                .cleared = { true, false } };
  suspects[1] = (fw_suspect_t){ .key = { { 2 } }, .crash_count = 1, .crashes = { 4 } };
  return (fw_crash_report_t){
    .sender = fb_make_name ("10.0.0.1"), .start_id = 9, .suspect_count = 2, .suspects = suspects
  };
}

/* Guards against crash reports that change in transit. */
static void
test_crash_round_trip (void)
{
  fw_suspect_t suspects[2];
  fw_crash_report_t sent = make_crash_report (suspects);
  fw_crash_report_t decoded;
  size_t length;
  uint8_t *bytes = fw_encode_crash_report (&sent, &length);

  g_assert_cmpint (fw_decode_crash_report ((fb_bytes_t){ bytes, length }, &decoded), ==, FB_OK);
  g_assert_cmpstr (decoded.sender.data, ==, "10.0.0.1");
  g_assert_cmpuint (decoded.start_id, ==, 9);
  g_assert_cmpuint (decoded.suspect_count, ==, 2);
  for (size_t i = 0; i < 2; i++)
    {
      const fw_suspect_t *suspect = &decoded.suspects[i];

      g_assert_cmpint (fb_compare_digests (&suspect->key, &suspects[i].key), ==, 0);
      g_assert_cmpuint (suspect->failed_trials, ==, suspects[i].failed_trials);
      g_assert_cmpuint (suspect->age_us, ==, suspects[i].age_us);
      g_assert_cmpuint (suspect->crash_count, ==, suspects[i].crash_count);
      g_assert_cmpmem (suspect->crashes, sizeof suspect->crashes, suspects[i].crashes,
                       sizeof suspects[i].crashes);
      g_assert_cmpmem (suspect->cleared, sizeof suspect->cleared, suspects[i].cleared,
                       sizeof suspects[i].cleared);
    }
  fw_clear_crash_report (&decoded);
  g_free (bytes);
}

static fw_feed_message_t
make_feed (fw_endpoint_t endpoints[2])
{
  endpoints[0] = (fw_endpoint_t){ make_member (1), 9 };
  endpoints[1] = (fw_endpoint_t){ make_member (2), UINT32_MAX };
  return (fw_feed_message_t){ .kind = FW_FEED_UPDATE,
                              .feed_id = UINT64_MAX,
                              .sequence = 7,
                              .position = { 3, 8 },
                              .document_position = { 2, 9 },
                              .document_number = 13,
                              .document_known_position = { 3, 12 },
                              .digest = { { 1 } },
                              .delta = { (const uint8_t *)"delta", 5 },
                              .age_us = 10,
                              .request_wait_us = 11,
                              .complete = true,
                              .endpoint_count = 2,
                              .endpoints = endpoints };
}

/* Guards against a message of a build without the known position that is rejected, or that
 * raises it above the document. */
static void
test_feed_known_position (void)
{
  static const struct
  {
    uint64_t era; /* of all positions; 0 as sent by a build without eras */
    uint64_t sent;
    uint64_t decoded;
  } cases[] = { { 0, 12, 12 }, { 0, 0, 9 }, { 0, UINT64_MAX, UINT64_MAX },
                { 3, 12, 12 }, { 3, 0, 0 }, { UINT64_MAX, UINT64_MAX, UINT64_MAX } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_endpoint_t endpoints[2];
      fw_feed_message_t sent = make_feed (endpoints);
      fw_feed_message_t decoded;
      size_t length;
      uint8_t *bytes;

      sent.position.era = cases[i].era;
      sent.document_position.era = cases[i].era;
      sent.document_known_position = (fb_position_t){ cases[i].era, cases[i].sent };
      bytes = fw_encode_feed (&sent, &length);
      g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ bytes, length }, &decoded), ==, FB_OK);
      g_assert_cmpuint (decoded.document_known_position.revision, ==, cases[i].decoded);
      g_assert_cmpuint (decoded.document_known_position.era, ==, cases[i].era);
      g_assert_cmpuint (decoded.position.era, ==, cases[i].era);
      fw_clear_feed (&decoded);
      g_free (bytes);
    }
}

/* Guards against a set of evacuated zones that changes in transit, that is lost without a
 * refusal by builds that don't know it, or that makes other messages longer. */
static void
test_feed_evacuations (void)
{
  static const struct
  {
    fw_feed_message_kind_t kind;
    uint64_t era;
    bool has_set;
    size_t count;
    uint8_t fields; /* of the encoded message */
    fb_status_t decoded;
  } cases[] = { { FW_FEED_UPDATE, 0, false, 0, 12, FB_OK },
                { FW_FEED_UPDATE, 3, false, 2, 16, FB_OK },
                { FW_FEED_UPDATE, 3, true, 0, 17, FB_OK },
                { FW_FEED_UPDATE, 0, true, 2, 17, FB_OK },
                { FW_FEED_UPDATE, 3, true, FW_EVACUATIONS_MAX, 17, FB_OK },
                { FW_FEED_UPDATE, 3, true, FW_EVACUATIONS_MAX + 1, 17, FB_INVALID },
                { FW_FEED_REQUEST, 3, true, 1, 17, FB_INVALID } };
  fb_name_t zones[FW_EVACUATIONS_MAX + 1];

  for (char i = 0; i <= FW_EVACUATIONS_MAX; i++)
    zones[(int)i] = (fb_name_t){ .data = { 'z', '0' + i }, .len = 2 };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_endpoint_t endpoints[2];
      fw_feed_message_t sent = make_feed (endpoints);
      fw_feed_message_t decoded;
      size_t length;
      uint8_t *bytes;

      sent.kind = cases[i].kind;
      sent.position.era = sent.document_position.era = sent.document_known_position.era
          = cases[i].era;
      sent.has_evacuations = cases[i].has_set;
      sent.evacuations_position = (fb_position_t){ cases[i].era, 21 };
      sent.evacuation_count = cases[i].count;
      sent.evacuated_zones = zones;
      bytes = fw_encode_feed (&sent, &length);
      /* A short array's header has the count in its low bits; a longer one follows 0xdc 0. */
      g_assert_cmpuint (bytes[0] == 0xdc ? bytes[2] : bytes[0] & 15, ==, cases[i].fields);
      g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ bytes, length }, &decoded), ==,
                       cases[i].decoded);
      if (cases[i].decoded == FB_OK)
        {
          g_assert_cmpint (decoded.has_evacuations, ==, cases[i].has_set);
          g_assert_cmpuint (decoded.evacuations_position.revision, ==, cases[i].has_set * 21);
          g_assert_cmpmem (decoded.evacuated_zones, decoded.evacuation_count * sizeof zones[0],
                           zones, cases[i].has_set * cases[i].count * sizeof zones[0]);
        }
      fw_clear_feed (&decoded);
      g_free (bytes);
    }
}

/* Guards against feed messages whose endpoints or configuration change in transit. */
static void
test_feed_round_trip (void)
{
  fw_endpoint_t endpoints[2];
  fw_feed_message_t sent = make_feed (endpoints);
  fw_feed_message_t decoded;
  size_t length;
  uint8_t *bytes = fw_encode_feed (&sent, &length);

  g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ bytes, length }, &decoded), ==, FB_OK);
  g_assert_cmpint (decoded.kind, ==, FW_FEED_UPDATE);
  g_assert_cmpuint (decoded.feed_id, ==, UINT64_MAX);
  g_assert_cmpuint (decoded.sequence, ==, 7);
  g_assert_cmpint (fb_compare_positions (decoded.position, sent.position), ==, 0);
  g_assert_cmpuint (decoded.document_number, ==, 13);
  g_assert_cmpint (fb_compare_positions (decoded.document_position, sent.document_position), ==,
                   0);
  g_assert_cmpint (
      fb_compare_positions (decoded.document_known_position, sent.document_known_position), ==,
      0);
  g_assert_cmpmem (decoded.digest.bytes, FB_DIGEST_LEN, sent.digest.bytes, FB_DIGEST_LEN);
  g_assert_cmpmem (decoded.delta.data, decoded.delta.len, "delta", 5);
  g_assert_cmpuint (decoded.age_us, ==, 10);
  g_assert_cmpuint (decoded.request_wait_us, ==, 11);
  g_assert_true (decoded.complete);
  g_assert_cmpuint (decoded.endpoint_count, ==, 2);
  for (size_t i = 0; i < 2; i++)
    {
      assert_same_member (&decoded.endpoints[i].member, &endpoints[i].member);
      g_assert_cmpuint (decoded.endpoints[i].slots, ==, endpoints[i].slots);
    }
  fw_clear_feed (&decoded);
  g_free (bytes);
}

/* Guards against ids of instances that are cut or lost in transit, and against updates without
 * long ids that an earlier build would refuse. */
static void
test_feed_long_ids (void)
{
  static const struct
  {
    size_t len;
    bool stored;
  } cases[] = { { 0, true },   { 1, true },   { 48, true },
                { 191, true }, { 192, true }, { 193, false } };
  size_t plain_length = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_endpoint_t endpoints[2];
      fw_feed_message_t sent = make_feed (endpoints);
      char *id = g_strnfill (cases[i].len, 'i');
      fw_feed_message_t decoded;
      size_t length;
      uint8_t *bytes;

      g_assert_cmpint (fw_set_instance_id (&endpoints[1].full_id, fb_wrap_text (id)), ==,
                       cases[i].stored);
      bytes = fw_encode_feed (&sent, &length);
      if (i == 0)
        plain_length = length;
      else
        g_assert_cmpint (length > plain_length, ==, cases[i].stored);
      g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ bytes, length }, &decoded), ==, FB_OK);
      g_assert_cmpuint (decoded.endpoints[0].full_id.len, ==, 0);
      g_assert_cmpuint (decoded.endpoints[1].slots, ==, endpoints[1].slots);
      g_assert_cmpmem (&decoded.endpoints[1].full_id, sizeof decoded.endpoints[1].full_id,
                       &endpoints[1].full_id, sizeof endpoints[1].full_id);
      fw_clear_feed (&decoded);
      g_free (bytes);
      g_free (id);
    }
}

static fb_status_t
decode_any (int codec, fb_bytes_t bytes)
{
  fw_datagram_t datagram;
  fw_control_t control;
  fw_call_t call;
  fw_feed_message_t feed;
  fw_crash_report_t report;
  fb_status_t status;

  if (codec == 0)
    return fw_decode_datagram (bytes, &datagram);
  if (codec == 2)
    return fw_decode_call (bytes, (fb_bytes_t){ NULL, 0 }, &call);
  if (codec == 3)
    {
      status = fw_decode_feed (bytes, &feed);
      if (status == FB_OK)
        fw_clear_feed (&feed);
      return status;
    }
  if (codec == 4)
    {
      status = fw_decode_crash_report (bytes, &report);
      if (status == FB_OK)
        fw_clear_crash_report (&report);
      return status;
    }
  status = fw_decode_control (bytes, &control);
  if (status == FB_OK)
    fw_clear_control (&control);
  return status;
}

static uint8_t *
encode_any (int codec, size_t *length)
{
  fw_member_t members[2] = { make_member (1), make_member (2) };
  fw_datagram_t datagram = { .kind = FW_PING, .sender = members[0] };
  fw_control_t control = make_control (members);
  fw_call_t call = make_call ();
  fw_endpoint_t endpoints[2];
  fw_feed_message_t feed = make_feed (endpoints);
  fw_suspect_t suspects[2];
  fw_crash_report_t report = make_crash_report (suspects);
  uint8_t *buffer;
  size_t packed_count;

  if (codec == 1)
    return fw_encode_control (&control, length);
  if (codec == 2)
    return fw_encode_call (&call, length);
  if (codec == 3)
    return fw_encode_feed (&feed, length);
  if (codec == 4)
    return fw_encode_crash_report (&report, length);
  buffer = g_malloc (FW_DATAGRAM_MAX);
  g_assert_cmpint (fw_encode_datagram (&datagram, buffer, length, &packed_count), ==, FB_OK);
  return buffer;
}

/* Guards against decoders that accept a truncated message or read past the end of a corrupted
 * one. */
static void
test_malformed (void)
{
  GRand *random = g_rand_new_with_seed (1);

  for (int codec = 0; codec < 5; codec++)
    {
      size_t length;
      uint8_t *encoded = encode_any (codec, &length);

      g_assert_cmpint (decode_any (codec, (fb_bytes_t){ encoded, length }), ==, FB_OK);
      for (size_t truncated_len = 0; truncated_len < length; truncated_len++)
        {
          uint8_t *copy = g_memdup2 (encoded, truncated_len);
          g_assert_cmpint (decode_any (codec, (fb_bytes_t){ copy, truncated_len }), ==,
                           FB_INVALID);
          g_free (copy);
        }
      for (int round = 0; round < 20000; round++)
        {
          uint8_t *copy = g_memdup2 (encoded, length);
          int changes = g_rand_int_range (random, 1, 5);
          for (int i = 0; i < changes; i++)
            copy[g_rand_int_range (random, 0, (gint32)length)] = (uint8_t)g_rand_int (random);
          decode_any (codec, (fb_bytes_t){ copy, length });
          g_free (copy);
        }
      g_free (encoded);
    }
  g_rand_free (random);
}

/* Guards against short messages whose declared sizes make the decoder allocate memory for
 * elements that do not exist. */
static void
test_declared_sizes (void)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } cases[] = {
    { "\xdd\xff\xff\xff\xff\x01", 6 },     /* array 32 */
    { "\xdc\xff\xff\x01", 4 },             /* array 16 */
    { "\xdb\xff\xff\xff\xff\x01", 6 },     /* string 32 */
    { "\xc6\xff\xff\xff\xff\x01", 6 },     /* binary 32 */
    { "\x91\x91\x91\x91\x91\x91\x01", 7 }, /* nesting */
    { "\x81\x01\x01", 3 },                 /* map */
    { "\x01\x01", 2 },                     /* two values */
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      for (int codec = 0; codec < 4; codec++)
        g_assert_cmpint (
            decode_any (codec, (fb_bytes_t){ (const uint8_t *)cases[i].bytes, cases[i].len }),
            ==, FB_INVALID);
    }
}

/* Guards against an older record of a member that overrides a newer one. */
static void
test_override (void)
{
  static const struct
  {
    uint64_t newer_incarnation;
    fw_member_state_t newer_state;
    uint64_t older_incarnation;
    fw_member_state_t older_state;
    bool overrides;
  } cases[] = {
    { 2, FW_ALIVE, 1, FW_DEAD, true },    { 1, FW_DEAD, 2, FW_ALIVE, false },
    { 1, FW_SUSPECT, 1, FW_ALIVE, true }, { 1, FW_LEAVING, 1, FW_SUSPECT, true },
    { 1, FW_DEAD, 1, FW_LEAVING, true },  { 1, FW_ALIVE, 1, FW_ALIVE, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_member_t newer
          = { .incarnation = cases[i].newer_incarnation, .state = cases[i].newer_state };
      fw_member_t older
          = { .incarnation = cases[i].older_incarnation, .state = cases[i].older_state };
      g_assert_cmpint (fw_overrides (&newer, &older), ==, cases[i].overrides);
    }
}

/* Guards against the status of another node's answer that is no final HTTP status and would be
 * passed on to the caller, such as 000. */
static void
test_answer_status (void)
{
  static const struct
  {
    fw_call_kind_t kind;
    fw_outcome_t outcome;
    uint32_t status;
    bool valid;
  } cases[] = {
    { FW_ANSWER, FW_ANSWERED, 0, false },   { FW_ANSWER, FW_ANSWERED, 99, false },
    { FW_ANSWER, FW_ANSWERED, 100, false }, { FW_ANSWER, FW_ANSWERED, 199, false },
    { FW_ANSWER, FW_ANSWERED, 200, true },  { FW_ANSWER, FW_ANSWERED, 599, true },
    { FW_ANSWER, FW_ANSWERED, 600, false }, { FW_ANSWER, FW_ANSWERED, 999, false },
    { FW_ANSWER, FW_NOT_RUN, 0, false },    { FW_ANSWER, FW_NOT_RUN, 503, true },
    { FW_ANSWER, FW_UNKNOWN, 0, false },    { FW_ANSWER, FW_FAILED, 0, false },
    { FW_ANSWER, FW_FAILED, 502, true },    { FW_CALL, 0, 0, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_call_t sent
          = { .kind = cases[i].kind, .outcome = cases[i].outcome, .status = cases[i].status };
      fw_call_t decoded;
      GByteArray *packed = fw_pack_call (&sent);

      g_test_message ("case %zu", i);
      g_assert_cmpint (fw_unpack_call ((fb_bytes_t){ packed->data, packed->len }, &decoded), ==,
                       cases[i].valid ? FB_OK : FB_INVALID);
      g_byte_array_unref (packed);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/datagram-round-trip", test_datagram_round_trip);
  g_test_add_func ("/wire/control-round-trip", test_control_round_trip);
  g_test_add_func ("/wire/call-round-trip", test_call_round_trip);
  g_test_add_func ("/wire/call-lengths", test_call_lengths);
  g_test_add_func ("/wire/call-crash", test_call_crash);
  g_test_add_func ("/wire/answer-status", test_answer_status);
  g_test_add_func ("/wire/call-pace", test_call_pace);
  g_test_add_func ("/wire/crash-round-trip", test_crash_round_trip);
  g_test_add_func ("/wire/feed-round-trip", test_feed_round_trip);
  g_test_add_func ("/wire/feed-long-ids", test_feed_long_ids);
  g_test_add_func ("/wire/feed-known-position", test_feed_known_position);
  g_test_add_func ("/wire/feed-evacuations", test_feed_evacuations);
  g_test_add_func ("/wire/malformed", test_malformed);
  g_test_add_func ("/wire/declared-sizes", test_declared_sizes);
  g_test_add_func ("/wire/override", test_override);
  return g_test_run ();
}
