#include <foxtailrun/base/account.h>

/* Holders that are read although the account is short, so that bodies complete one after the
 * other and never all wait for each other. Each may need up to a request's body of 1 MB. */
#define FAVOURED_MAX 4

/* Time without progress after which a holder is closed while the account is short. Longer than
 * the retransmission of a lost segment takes, also twice in a row. */
#define STALL_TIME (2 * FB_SECOND)

/* Part of the budget that one client may hold while the account is half full. */
#define CLIENT_PARTS 4

/* The connections of one address. */
struct fb_account_client
{
  uint64_t number;
  size_t bytes;
  size_t holders;
};

struct fb_account
{
  size_t budget;
  size_t held[FB_HELD_KINDS];
  size_t total;
  GQueue holders;      /* fb_holder_t, oldest first */
  GHashTable *clients; /* fb_account_client_t by number */
  bool is_short;       /* SHORT_CALLBACK was called */
  uint64_t paused_count;
  uint64_t closed_count;
  fb_account_short_fn_t short_callback;
  void *user;
};

fb_account_t *
fb_create_account (size_t budget, fb_account_short_fn_t short_callback, void *user)
{
  fb_account_t *account = g_new0 (fb_account_t, 1);

  account->budget = budget;
  account->short_callback = short_callback;
  account->user = user;
  account->clients = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return account;
}

void
fb_destroy_account (fb_account_t *account)
{
  if (!account)
    return;
  while (account->holders.head)
    fb_remove_holder (account->holders.head->data);
  g_hash_table_destroy (account->clients);
  g_free (account);
}

void
fb_set_account_budget (fb_account_t *account, size_t budget)
{
  account->budget = budget;
}

/* Returns the bytes from which the account is short. */
static size_t
get_threshold (const fb_account_t *account)
{
  return account->budget - account->budget / 4;
}

static fb_account_client_t *
find_or_add_client (fb_account_t *account, uint64_t number)
{
  fb_account_client_t *client = g_hash_table_lookup (account->clients, &number);

  if (!client)
    {
      client = g_new0 (fb_account_client_t, 1);
      client->number = number;
      g_hash_table_insert (account->clients, &client->number, client);
    }
  client->holders++;
  return client;
}

void
fb_add_holder (fb_account_t *account, fb_holder_t *holder, const fb_holder_class_t *class,
               uint64_t client, fb_time_t now)
{
  *holder = (fb_holder_t){ .account = account,
                           .class = class,
                           .link.data = holder,
                           .client = client ? find_or_add_client (account, client) : NULL,
                           .moved_at = now };
  g_queue_push_tail_link (&account->holders, &holder->link);
}

/* Has the account settled from now on, until nobody needs to be paused. */
static void
begin_shortage (fb_account_t *account)
{
  if (account->is_short)
    return;
  account->is_short = true;
  if (account->short_callback)
    account->short_callback (account->user);
}

void
fb_hold (fb_holder_t *holder, fb_held_kind_t kind, size_t bytes)
{
  fb_account_t *account = holder->account;
  size_t delta = bytes - holder->bytes[kind];

  if (delta == 0 || !account)
    return;
  holder->bytes[kind] = bytes;
  holder->total += delta;
  account->held[kind] += delta;
  account->total += delta;
  if (holder->client)
    holder->client->bytes += delta;
  if (account->total >= get_threshold (account))
    begin_shortage (account);
}

void
fb_remove_holder (fb_holder_t *holder)
{
  if (!holder->account)
    return;
  for (int kind = 0; kind < FB_HELD_KINDS; kind++)
    fb_hold (holder, (fb_held_kind_t)kind, 0);
  g_queue_unlink (&holder->account->holders, &holder->link);
  if (holder->client && --holder->client->holders == 0)
    g_hash_table_remove (holder->account->clients, &holder->client->number);
  holder->client = NULL;
  holder->account = NULL;
}

void
fb_count_progress (fb_holder_t *holder, size_t bytes, fb_time_t now)
{
  holder->moved += bytes;
  if (holder->moved < FB_PROGRESS_MIN)
    return;
  holder->moved = 0;
  holder->moved_at = now;
}

void
fb_set_peer_turn (fb_holder_t *holder, bool waits_for_peer, fb_time_t now)
{
  if (waits_for_peer == holder->waits_for_peer)
    return;
  holder->waits_for_peer = waits_for_peer;
  holder->moved_at = now;
}

bool
fb_must_refuse (const fb_account_t *account, size_t bytes)
{
  return bytes > FB_HELD_SMALL && account->total >= account->budget - account->budget / 8;
}

size_t
fb_get_read_size (const fb_account_t *account)
{
  return account->total < get_threshold (account) ? 64 * 1024 : 4 * 1024;
}

/* Returns whether HOLDER's client holds more than its share, which counts from half of the
 * budget on. */
static bool
is_over_share (const fb_account_t *account, const fb_holder_t *holder)
{
  return holder->client && account->total > account->budget / 2
         && holder->client->bytes > account->budget / CLIENT_PARTS;
}

/* Returns whether HOLDER may be closed for the memory that it holds. */
static bool
is_candidate (const fb_holder_t *holder)
{
  return holder->total > FB_HELD_SMALL && holder->waits_for_peer && !holder->closing;
}

/* Returns whether A is to be closed before B: the one of a client over its share, then the one
 * with the longer time without progress for the bytes that it holds. */
static bool
is_worse (const fb_account_t *account, const fb_holder_t *a, const fb_holder_t *b,
          fb_time_t now)
{
  bool a_over = is_over_share (account, a);

  if (a_over != is_over_share (account, b))
    return a_over;
  return (double)(now - a->moved_at + 1) * (double)a->total
         > (double)(now - b->moved_at + 1) * (double)b->total;
}

/* Returns the holder to close first among those without progress for STALL ns, or NULL. */
static fb_holder_t *
find_victim (const fb_account_t *account, fb_time_t stall, fb_time_t now)
{
  fb_holder_t *worst = NULL;

  for (GList *link = account->holders.head; link; link = link->next)
    {
      fb_holder_t *holder = link->data;

      if (is_candidate (holder) && now - holder->moved_at >= stall
          && (!worst || is_worse (account, holder, worst, now)))
        worst = holder;
    }
  return worst;
}

/* Closes holders until less than LIMIT bytes are held by the others. */
static void
close_holders (fb_account_t *account, size_t limit, fb_time_t stall, fb_time_t now)
{
  size_t released = 0;
  fb_holder_t *victim;

  while (account->total >= limit + released && (victim = find_victim (account, stall, now)))
    {
      size_t before = account->total;
      size_t bytes = victim->total;

      victim->closing = true;
      account->closed_count++;
      victim->class->close (victim);
      /* The memory of some is only released when their handle is closed. */
      if (account->total >= before)
        released += bytes;
    }
}

/* A paused peer whose bytes wait to be read makes no progress because of this process. */
static void
excuse_paused (fb_account_t *account, fb_time_t now)
{
  for (GList *link = account->holders.head; link; link = link->next)
    {
      fb_holder_t *holder = link->data;

      if (holder->paused && holder->class->has_input && holder->class->has_input (holder))
        holder->moved_at = now;
    }
}

/* Favours the holders with most bytes, which are nearest to their end, up to FAVOURED_MAX. One
 * that stalls loses its place to another. */
static void
choose_favoured (fb_account_t *account, fb_time_t now)
{
  fb_holder_t *chosen[FAVOURED_MAX] = { NULL };

  for (GList *link = account->holders.head; link; link = link->next)
    {
      fb_holder_t *holder = link->data;

      holder->favoured = false;
      if (!is_candidate (holder) || !holder->class->set_paused
          || now - holder->moved_at >= STALL_TIME || is_over_share (account, holder))
        continue;
      for (size_t i = 0; i < FAVOURED_MAX && holder; i++)
        if (!chosen[i] || chosen[i]->total < holder->total)
          {
            fb_holder_t *displaced = chosen[i];

            chosen[i] = holder;
            holder = displaced;
          }
    }
  for (size_t i = 0; i < FAVOURED_MAX && chosen[i]; i++)
    chosen[i]->favoured = true;
}

static bool
must_pause (const fb_account_t *account, const fb_holder_t *holder)
{
  if (account->total >= account->budget)
    return true;
  if (holder->total <= FB_HELD_SMALL || holder->favoured)
    return false;
  return account->total >= get_threshold (account) || is_over_share (account, holder);
}

static void
set_paused (fb_holder_t *holder, bool paused)
{
  holder->paused = paused;
  holder->account->paused_count += paused;
  holder->class->set_paused (holder, paused);
}

void
fb_check_pause (fb_holder_t *holder)
{
  if (holder->paused || holder->closing || !must_pause (holder->account, holder))
    return;
  set_paused (holder, true);
  /* A client over its share is paused before the account is short. */
  begin_shortage (holder->account);
}

static void
update_paused (fb_account_t *account)
{
  for (GList *link = account->holders.head, *next; link; link = next)
    {
      fb_holder_t *holder = link->data;
      bool pause = must_pause (account, holder);

      next = link->next;
      if (holder->class->set_paused && !holder->closing && pause != holder->paused)
        set_paused (holder, pause);
    }
}

bool
fb_settle_account (fb_account_t *account, fb_time_t now)
{
  if (account->total >= get_threshold (account))
    {
      excuse_paused (account, now);
      close_holders (account, account->budget, 0, now);
      close_holders (account, get_threshold (account), STALL_TIME, now);
      choose_favoured (account, now);
    }
  update_paused (account);
  account->is_short = account->total >= account->budget / 2;
  return account->is_short;
}

size_t
fb_get_held (const fb_account_t *account, fb_held_kind_t kind)
{
  return account->held[kind];
}

size_t
fb_get_held_total (const fb_account_t *account)
{
  return account->total;
}

size_t
fb_get_account_budget (const fb_account_t *account)
{
  return account->budget;
}

uint64_t
fb_get_paused_count (const fb_account_t *account)
{
  return account->paused_count;
}

uint64_t
fb_get_closed_count (const fb_account_t *account)
{
  return account->closed_count;
}

const char *
fb_describe_held_kind (fb_held_kind_t kind)
{
  static const char *const names[FB_HELD_KINDS]
      = { "head", "body", "response", "call", "answer", "http2", "admin" };

  return names[kind];
}
