/* Fuzz target: the account of memory. After any sequence of events of its connections it holds
 * what they hold, and nothing when they are closed. Each event is three bytes: its kind, the
 * connection, and an amount. */
#include "fuzz.h"
#include <foxtailrun/base/account.h>

#define CONNECTIONS 16
#define BUDGET ((size_t)8 * 1024 * 1024)
#define UNIT ((size_t)8 * 1024)

typedef struct
{
  fb_holder_t holder;
  bool paused;
} connection_t;

typedef enum
{
  EVENT_OPEN,
  EVENT_CLOSE,
  EVENT_HOLD,
  EVENT_MOVE,
  EVENT_TURN,
  EVENT_READ,
  EVENT_SETTLE,
  EVENT_COUNT
} event_t;

static void
set_paused (fb_holder_t *holder, bool paused)
{
  connection_t *connection = (connection_t *)holder;

  FUZZ_CHECK (connection->paused != paused);
  connection->paused = paused;
}

static bool
has_input (const fb_holder_t *holder)
{
  return holder->total % 2 == 0;
}

/* Every second connection is closed later, as those with a descriptor to close first. */
static void
close_connection (fb_holder_t *holder)
{
  if (holder->moved_at % 2 == 0)
    fb_remove_holder (holder);
}

static void
open_connection (fb_account_t *account, connection_t *connection, uint8_t amount, fb_time_t now)
{
  static const fb_holder_class_t class = { set_paused, has_input, close_connection };

  if (connection->holder.account)
    return;
  connection->paused = false;
  fb_add_holder (account, &connection->holder, &class, amount % 4, now);
}

static void
handle_event (fb_account_t *account, connection_t *connection, const uint8_t event[3],
              fb_time_t *now)
{
  fb_holder_t *holder = &connection->holder;
  uint8_t amount = event[2];

  if (event[0] % EVENT_COUNT == EVENT_OPEN)
    open_connection (account, connection, amount, *now);
  if (event[0] % EVENT_COUNT == EVENT_SETTLE)
    {
      *now += amount * FB_MILLISECOND + amount % 2;
      fb_settle_account (account, *now);
    }
  if (!holder->account)
    return;
  switch ((event_t)(event[0] % EVENT_COUNT))
    {
    case EVENT_CLOSE:
      fb_remove_holder (holder);
      break;
    case EVENT_HOLD:
      fb_hold (holder, (fb_held_kind_t)(amount % FB_HELD_KINDS), amount * UNIT);
      break;
    case EVENT_MOVE:
      fb_count_progress (holder, (size_t)amount * 16, *now);
      break;
    case EVENT_TURN:
      fb_set_peer_turn (holder, amount % 2 != 0, *now);
      break;
    case EVENT_READ:
      fb_check_pause (holder);
      break;
    default:
      break;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fb_account_t *account = fb_create_account (BUDGET, NULL, NULL);
  connection_t connections[CONNECTIONS] = { 0 };
  fb_time_t now = FB_SECOND;

  for (size_t i = 0; i + 3 <= size; i += 3)
    {
      size_t held = 0;

      handle_event (account, &connections[data[i + 1] % CONNECTIONS], data + i, &now);
      for (size_t j = 0; j < CONNECTIONS; j++)
        held += connections[j].holder.account ? connections[j].holder.total : 0;
      FUZZ_CHECK (held == fb_get_held_total (account));
    }
  for (size_t j = 0; j < CONNECTIONS; j++)
    fb_remove_holder (&connections[j].holder);
  for (int kind = 0; kind < FB_HELD_KINDS; kind++)
    FUZZ_CHECK (fb_get_held (account, (fb_held_kind_t)kind) == 0);
  FUZZ_CHECK (fb_get_held_total (account) == 0);
  fb_destroy_account (account);
  return 0;
}
