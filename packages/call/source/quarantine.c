/* The crashes of a request are a set that only grows, each with a flag that only rises: nodes
 * agree in whatever order their reports arrive. */
#include <foxtailrun/call/quarantine.h>
#include <glib.h>
#include <string.h>

/* Bounds memory when many different requests run in crashes. */
#define RECORDS_MAX FW_SUSPECTS_MAX

/* Time after its last crash in which a request remains a suspect. */
#define SUSPECT_TIME (60 * FB_SECOND)

/* Time of the first quarantine, doubled with each failed trial: a new version of the software
 * may have made the request harmless. */
#define QUARANTINE_TIME (60 * FB_SECOND)
#define QUARANTINE_DOUBLINGS_MAX 4

/* Time after a quarantine in which a trial is still needed. */
#define TRIAL_TIME (600 * FB_SECOND)

/* Time in which late reports of crashes before a complete run are recognised. */
#define CLEARED_TIME (20 * FB_SECOND)

typedef struct
{
  fw_suspect_t suspect;    /* its age is not used */
  fb_time_t last_crash_at; /* or when it was cleared */
  fb_time_t held_until;    /* by another node's word */
  uint64_t sequence;       /* of its last change */
} record_t;

struct fr_quarantine
{
  const fb_clock_t *clock;
  GHashTable *records; /* record_t by key */
  uint64_t sequence;
  fb_counter_t *gauge;
};

static guint
hash_key (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return fb_compare_digests (a, b) == 0;
}

static void
append_part (GByteArray *bytes, const void *data, size_t len)
{
  uint64_t length = len;

  g_byte_array_append (bytes, (const guint8 *)&length, sizeof length);
  if (len > 0)
    g_byte_array_append (bytes, data, (guint)len);
}

fb_digest_t
fr_get_request_key (const fr_request_parts_t *parts)
{
  GByteArray *bytes = g_byte_array_new ();
  fb_digest_t key;

  append_part (bytes, parts->method.data, parts->method.len);
  append_part (bytes, parts->host.data, parts->host.len);
  append_part (bytes, parts->path.data, parts->path.len);
  append_part (bytes, parts->caller.data, parts->caller.len);
  append_part (bytes, parts->body.data, parts->body.len);
  key = fb_compute_digest ((fb_bytes_t){ bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  return key;
}

fr_quarantine_t *
fr_create_quarantine (const fb_clock_t *clock, fb_counters_t *counters)
{
  fr_quarantine_t *quarantine = g_new0 (fr_quarantine_t, 1);

  quarantine->clock = clock;
  quarantine->records = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
  quarantine->gauge = fb_find_counter (counters, "quarantine_records", "");
  return quarantine;
}

void
fr_destroy_quarantine (fr_quarantine_t *quarantine)
{
  if (!quarantine)
    return;
  g_hash_table_destroy (quarantine->records);
  g_free (quarantine);
}

bool
fr_has_suspects (const fr_quarantine_t *quarantine)
{
  return g_hash_table_size (quarantine->records) > 0;
}

/* Returns the number of crashes since the last complete run. */
static size_t
count_crashes (const record_t *record)
{
  size_t count = 0;

  for (size_t i = 0; i < record->suspect.crash_count; i++)
    count += !record->suspect.cleared[i];
  return count;
}

/* Returns whether RECORD has enough crashes for a quarantine, which may have ended since. */
static bool
is_tripped (const record_t *record)
{
  return count_crashes (record) >= FR_QUARANTINE_CRASHES;
}

static fb_time_t
get_quarantine_end (const record_t *record)
{
  uint32_t doublings = MIN (record->suspect.failed_trials, QUARANTINE_DOUBLINGS_MAX);

  return record->last_crash_at + (QUARANTINE_TIME << doublings);
}

static fb_time_t
get_expiry (const record_t *record)
{
  fb_time_t expiry = record->last_crash_at + SUSPECT_TIME;

  if (record->suspect.crash_count == 0)
    expiry = 0;
  else if (count_crashes (record) == 0)
    expiry = record->last_crash_at + CLEARED_TIME;
  else if (is_tripped (record))
    expiry = get_quarantine_end (record) + TRIAL_TIME;
  return MAX (expiry, record->held_until);
}

static void
update_gauge (fr_quarantine_t *quarantine)
{
  fb_set_counter (quarantine->gauge, g_hash_table_size (quarantine->records));
}

static void
remove_expired (fr_quarantine_t *quarantine, fb_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now >= get_expiry (value))
      g_hash_table_iter_remove (&iter);
  update_gauge (quarantine);
}

/* Returns whether A is needed less than B: it ran in fewer crashes, or the last one is longer
 * ago. */
static bool
is_less_needed (const record_t *a, const record_t *b)
{
  size_t crashes_a = count_crashes (a);
  size_t crashes_b = count_crashes (b);

  return crashes_a != crashes_b ? crashes_a < crashes_b : a->last_crash_at < b->last_crash_at;
}

static void
make_room (fr_quarantine_t *quarantine, fb_time_t now)
{
  const record_t *least = NULL;
  GHashTableIter iter;
  gpointer value;

  remove_expired (quarantine, now);
  if (g_hash_table_size (quarantine->records) < RECORDS_MAX)
    return;
  g_hash_table_iter_init (&iter, quarantine->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!least || is_less_needed (value, least))
      least = value;
  g_hash_table_remove (quarantine->records, &least->suspect.key);
}

/* Returns the record of KEY that has not expired, or NULL. */
static record_t *
find_record (fr_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t now)
{
  record_t *record = g_hash_table_lookup (quarantine->records, key);

  if (!record || now < get_expiry (record))
    return record;
  remove_expired (quarantine, now);
  return NULL;
}

static record_t *
find_or_add_record (fr_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t now)
{
  record_t *record = find_record (quarantine, key, now);

  if (record)
    return record;
  make_room (quarantine, now);
  record = g_new0 (record_t, 1);
  record->suspect.key = *key;
  record->last_crash_at = now;
  g_hash_table_insert (quarantine->records, &record->suspect.key, record);
  update_gauge (quarantine);
  return record;
}

fr_request_state_t
fr_check_request (fr_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t *left)
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  const record_t *record = find_record (quarantine, key, now);
  fb_time_t end;

  if (!record)
    return FR_REQUEST_FREE;
  end = MAX (is_tripped (record) ? get_quarantine_end (record) : 0, record->held_until);
  if (now < end)
    {
      *left = end - now;
      return FR_REQUEST_QUARANTINED;
    }
  if (is_tripped (record))
    return FR_REQUEST_TRIAL;
  return count_crashes (record) > 0 ? FR_REQUEST_SUSPECT : FR_REQUEST_FREE;
}

bool
fr_owns_trial (const fb_digest_t *key, const fb_name_t *name, const fb_name_t *names,
               size_t count)
{
  fb_str_t text = { (const char *)key->bytes, FB_DIGEST_LEN };
  uint64_t weight = fb_get_rendezvous_weight (text, fb_get_name (name));

  for (size_t i = 0; i < count; i++)
    if (fb_get_rendezvous_weight (text, fb_get_name (&names[i])) > weight)
      return false;
  return true;
}

/* Returns the index of crash ID in SUSPECT, or its crash count without it. */
static size_t
find_crash (const fw_suspect_t *suspect, uint64_t id)
{
  size_t index = 0;

  while (index < suspect->crash_count && suspect->crashes[index] != id)
    index++;
  return index;
}

/* Removes the oldest cleared crash, or the oldest one without any. */
static void
drop_crash (fw_suspect_t *suspect)
{
  size_t index = 0;

  while (index < suspect->crash_count && !suspect->cleared[index])
    index++;
  if (index == suspect->crash_count)
    index = 0;
  suspect->crash_count--;
  for (; index < suspect->crash_count; index++)
    {
      suspect->crashes[index] = suspect->crashes[index + 1];
      suspect->cleared[index] = suspect->cleared[index + 1];
    }
}

static void
append_crash (fw_suspect_t *suspect, uint64_t id, bool cleared)
{
  if (suspect->crash_count == FW_CRASHES_MAX)
    drop_crash (suspect);
  suspect->crashes[suspect->crash_count] = id;
  suspect->cleared[suspect->crash_count++] = cleared;
}

bool
fr_add_crash (fr_quarantine_t *quarantine, const fb_digest_t *key, uint64_t id)
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  record_t *record = find_or_add_record (quarantine, key, now);

  if (find_crash (&record->suspect, id) < record->suspect.crash_count)
    return false;
  if (is_tripped (record) && now >= get_quarantine_end (record))
    record->suspect.failed_trials++;
  append_crash (&record->suspect, id, false);
  record->last_crash_at = now;
  record->sequence = ++quarantine->sequence;
  return true;
}

/* Ends the quarantine and the suspicion of RECORD. */
static void
clear_record (record_t *record, fb_time_t now)
{
  for (size_t i = 0; i < record->suspect.crash_count; i++)
    record->suspect.cleared[i] = true;
  record->suspect.failed_trials = 0;
  record->held_until = 0;
  record->last_crash_at = now;
}

bool
fr_clear_request (fr_quarantine_t *quarantine, const fb_digest_t *key)
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  record_t *record = find_record (quarantine, key, now);

  if (!record || count_crashes (record) == 0)
    return false;
  clear_record (record, now);
  record->sequence = ++quarantine->sequence;
  return true;
}

void
fr_hold_request (fr_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t time)
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  fb_time_t longest = QUARANTINE_TIME << QUARANTINE_DOUBLINGS_MAX;
  record_t *record = find_or_add_record (quarantine, key, now);

  record->held_until = MAX (record->held_until, now + MIN (time, longest));
}

/* Merges crash ID into SUSPECT; returns whether it was news. */
static bool
merge_crash (fw_suspect_t *suspect, uint64_t id, bool cleared)
{
  size_t index = find_crash (suspect, id);

  if (index == FW_CRASHES_MAX)
    return false;
  if (index == suspect->crash_count)
    {
      append_crash (suspect, id, cleared);
      return true;
    }
  if (suspect->cleared[index] || !cleared)
    return false;
  suspect->cleared[index] = true;
  return true;
}

static bool
is_cleared (const fw_suspect_t *suspect)
{
  for (size_t i = 0; i < suspect->crash_count; i++)
    if (!suspect->cleared[i])
      return false;
  return true;
}

bool
fr_merge_suspect (fr_quarantine_t *quarantine, const fw_suspect_t *suspect)
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  fb_time_t last_crash_at = now - (fb_time_t)suspect->age_us * FB_MICROSECOND;
  record_t *record = find_record (quarantine, &suspect->key, now);
  bool is_new = !record;
  bool is_news = false;

  if (is_new && is_cleared (suspect))
    return false;
  if (is_new)
    record = find_or_add_record (quarantine, &suspect->key, now);
  for (size_t i = 0; i < suspect->crash_count; i++)
    is_news |= merge_crash (&record->suspect, suspect->crashes[i], suspect->cleared[i]);
  if (!is_news && suspect->failed_trials <= record->suspect.failed_trials)
    return false;
  record->sequence = ++quarantine->sequence;
  if (count_crashes (record) == 0)
    clear_record (record, now);
  else
    {
      record->suspect.failed_trials
          = MAX (record->suspect.failed_trials, suspect->failed_trials);
      record->last_crash_at
          = is_new ? last_crash_at : MAX (record->last_crash_at, last_crash_at);
    }
  return true;
}

uint64_t
fr_get_quarantine_sequence (const fr_quarantine_t *quarantine)
{
  return quarantine->sequence;
}

size_t
fr_collect_suspects (fr_quarantine_t *quarantine, uint64_t sequence,
                     fw_suspect_t suspects[FW_SUSPECTS_MAX])
{
  fb_time_t now = fb_read_clock (quarantine->clock);
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  remove_expired (quarantine, now);
  g_hash_table_iter_init (&iter, quarantine->records);
  while (count < FW_SUSPECTS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const record_t *record = value;

      if (record->suspect.crash_count == 0 || record->sequence <= sequence)
        continue;
      suspects[count] = record->suspect;
      suspects[count++].age_us = (uint64_t)((now - record->last_crash_at) / FB_MICROSECOND);
    }
  return count;
}
