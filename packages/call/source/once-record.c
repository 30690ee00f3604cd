/* Records of used serials and their answers. */
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/call/once.h>
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

typedef struct
{
  uint64_t serial;
  uint64_t request_digest;
  bool running;
  bool refused;    /* reported as not run */
  uint8_t *answer; /* NULL when none is recorded */
  size_t answer_len;
  GList link; /* in answered, while answer is not NULL */
} record_t;

struct fr_once
{
  fb_name_t node;
  uint64_t start_id;
  uint8_t key[crypto_shorthash_KEYBYTES];
  size_t max_records;
  size_t max_bytes;
  uint64_t next_serial;
  /* Lower serials without a record count as run: the records may have been evicted. */
  uint64_t low_water_serial;
  GHashTable *records; /* serial -> record_t */
  GTree *completed;    /* serial -> record_t that is not running */
  GQueue answered;     /* record_t with an answer, oldest completion first */
  size_t bytes;
};

static int
compare_serials (const void *a, const void *b, void *user)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  if (left == right)
    return 0;
  return left < right ? -1 : 1;
}

static void
destroy_record (void *data)
{
  record_t *record = data;

  g_free (record->answer);
  g_free (record);
}

fr_once_t *
fr_create_once (const fb_name_t *node, uint64_t start_id, const uint8_t secret[32],
                size_t max_records, size_t max_bytes)
{
  fr_once_t *once = g_new0 (fr_once_t, 1);

  FB_INVARIANT (max_records > 0);
  FB_INVARIANT (sodium_init () >= 0);
  once->node = *node;
  once->start_id = start_id;
  crypto_generichash (once->key, sizeof once->key, secret, 32, NULL, 0);
  once->max_records = max_records;
  once->max_bytes = max_bytes;
  once->next_serial = 1;
  once->low_water_serial = 1;
  once->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, destroy_record);
  once->completed = g_tree_new_full (compare_serials, NULL, NULL, NULL);
  g_queue_init (&once->answered);
  return once;
}

void
fr_destroy_once (fr_once_t *once)
{
  if (once == NULL)
    return;
  g_tree_destroy (once->completed);
  g_hash_table_destroy (once->records);
  sodium_memzero (once->key, sizeof once->key);
  g_free (once);
}

/* Returns the keyed nonce of SERIAL, which prevents the forgery of tickets. */
static uint64_t
compute_nonce (const fr_once_t *once, uint64_t serial)
{
  uint64_t input[2] = { once->start_id, serial };
  uint64_t nonce;

  crypto_shorthash ((uint8_t *)&nonce, (const uint8_t *)input, sizeof input, once->key);
  return nonce;
}

void
fr_issue_ticket (fr_once_t *once, char text[FR_TICKET_SIZE])
{
  uint64_t serial = once->next_serial++;

  g_snprintf (text, FR_TICKET_SIZE, "ftr1-%s-%016" PRIx64 "-%" PRIx64 "-%016" PRIx64,
              once->node.data, once->start_id, serial, compute_nonce (once, serial));
}

/* Frees the answer only; RECORD remains, so that the call does not run again. */
static void
evict_answer (fr_once_t *once, record_t *record)
{
  if (record->answer == NULL)
    return;
  g_queue_unlink (&once->answered, &record->link);
  once->bytes -= record->answer_len;
  g_free (record->answer);
  record->answer = NULL;
  record->answer_len = 0;
}

/* Removes the completed record with the lowest serial; returns false when all are running. */
static bool
evict_record (fr_once_t *once)
{
  GTreeNode *first = g_tree_node_first (once->completed);
  record_t *record;

  if (first == NULL)
    return false;
  record = g_tree_node_value (first);
  evict_answer (once, record);
  once->low_water_serial = MAX (once->low_water_serial, record->serial + 1);
  g_tree_remove (once->completed, &record->serial);
  g_hash_table_remove (once->records, &record->serial);
  return true;
}

static fr_once_state_t
get_record_state (const record_t *record, uint64_t request_digest, fb_bytes_t *answer)
{
  if (record->refused)
    return FR_ONCE_REFUSED;
  if (record->request_digest != request_digest)
    return FR_ONCE_MISMATCH;
  if (record->running)
    return FR_ONCE_RUNNING;
  if (record->answer == NULL)
    return FR_ONCE_UNKNOWN;
  *answer = (fb_bytes_t){ record->answer, record->answer_len };
  return FR_ONCE_ANSWERED;
}

/* Returns the state of an earlier use of TICKET, or FR_ONCE_RUN with a new running record in
 * *CREATED. */
static fr_once_state_t
find_or_create (fr_once_t *once, const fr_ticket_t *ticket, uint64_t request_digest,
                fb_bytes_t *answer, record_t **created)
{
  uint64_t nonce;
  record_t *record;

  *answer = (fb_bytes_t){ NULL, 0 };
  if (!fb_equal_name (&ticket->node, &once->node) || ticket->start_id != once->start_id)
    return FR_ONCE_OTHER_PROCESS;
  nonce = compute_nonce (once, ticket->serial);
  if (ticket->serial == 0 || ticket->serial >= once->next_serial
      || sodium_memcmp (&nonce, &ticket->nonce, sizeof nonce) != 0)
    return FR_ONCE_INVALID;
  record = g_hash_table_lookup (once->records, &ticket->serial);
  if (record != NULL)
    return get_record_state (record, request_digest, answer);
  if (ticket->serial < once->low_water_serial)
    return FR_ONCE_UNKNOWN;
  /* The serial has not run, even if evict_record raises the low-water mark above it. */
  if (g_hash_table_size (once->records) >= once->max_records && !evict_record (once))
    return FR_ONCE_UNKNOWN;
  record = g_new0 (record_t, 1);
  record->serial = ticket->serial;
  record->request_digest = request_digest;
  record->running = true;
  g_hash_table_insert (once->records, &record->serial, record);
  *created = record;
  return FR_ONCE_RUN;
}

static void
mark_refused (fr_once_t *once, record_t *record)
{
  record->running = false;
  record->refused = true;
  g_tree_insert (once->completed, &record->serial, record);
}

fr_once_state_t
fr_begin_once (fr_once_t *once, const fr_ticket_t *ticket, uint64_t request_digest,
               fb_bytes_t *answer)
{
  record_t *created;

  return find_or_create (once, ticket, request_digest, answer, &created);
}

fr_once_state_t
fr_refuse_once (fr_once_t *once, const fr_ticket_t *ticket, uint64_t request_digest,
                fb_bytes_t *answer)
{
  record_t *created;
  fr_once_state_t state = find_or_create (once, ticket, request_digest, answer, &created);

  if (state != FR_ONCE_RUN)
    return state;
  mark_refused (once, created);
  return FR_ONCE_REFUSED;
}

/* Returns the running record of TICKET; a use that was not begun is a programming error. */
static record_t *
find_running (const fr_once_t *once, const fr_ticket_t *ticket)
{
  record_t *record = g_hash_table_lookup (once->records, &ticket->serial);

  FB_INVARIANT (record != NULL && record->running);
  return record;
}

void
fr_end_once (fr_once_t *once, const fr_ticket_t *ticket, fb_bytes_t answer)
{
  record_t *record = find_running (once, ticket);

  record->running = false;
  g_tree_insert (once->completed, &record->serial, record);
  if (answer.len == 0 || answer.len > once->max_bytes)
    return;
  record->answer = g_memdup2 (answer.data, answer.len);
  record->answer_len = answer.len;
  record->link.data = record;
  once->bytes += answer.len;
  g_queue_push_tail_link (&once->answered, &record->link);
  while (once->bytes > once->max_bytes)
    evict_answer (once, g_queue_peek_head (&once->answered));
}

void
fr_abandon_once (fr_once_t *once, const fr_ticket_t *ticket)
{
  mark_refused (once, find_running (once, ticket));
}

size_t
fr_count_once_records (const fr_once_t *once)
{
  return g_hash_table_size (once->records);
}

size_t
fr_get_once_bytes (const fr_once_t *once)
{
  return once->bytes;
}
