/* Instances that are known to leave. The list of a platform may be unreadable or behind when an
 * instance starts to leave, and is read again, with the old state, after the notice. */
#include <foxtailrun/base/digest.h>
#include <foxtailrun/member/leaving.h>
#include <glib.h>

typedef struct
{
  fb_name_t id;
  uint64_t incarnation;
  fb_time_t seen_at; /* last recorded or listed */
} notice_t;

struct fm_leaving
{
  const fb_clock_t *clock;
  GHashTable *notices; /* notice_t by id */
};

fm_leaving_t *
fm_create_leaving (const fb_clock_t *clock)
{
  fm_leaving_t *leaving = g_new0 (fm_leaving_t, 1);

  leaving->clock = clock;
  leaving->notices = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, g_free);
  return leaving;
}

void
fm_destroy_leaving (fm_leaving_t *leaving)
{
  if (leaving == NULL)
    return;
  g_hash_table_destroy (leaving->notices);
  g_free (leaving);
}

static gboolean
is_outdated (void *key, void *value, void *user)
{
  const notice_t *notice = value;
  const fb_time_t *now = user;

  return *now - notice->seen_at > FM_LEAVING_LIFETIME;
}

bool
fm_record_leaving (fm_leaving_t *leaving, const fb_name_t *id, uint64_t incarnation)
{
  fb_time_t now = fb_read_clock (leaving->clock);
  notice_t *notice = g_hash_table_lookup (leaving->notices, id);

  if (notice != NULL && notice->incarnation >= incarnation)
    {
      if (notice->incarnation == incarnation)
        notice->seen_at = now;
      return false;
    }
  if (notice == NULL)
    {
      g_hash_table_foreach_remove (leaving->notices, is_outdated, &now);
      notice = g_new0 (notice_t, 1);
      notice->id = *id;
      g_hash_table_insert (leaving->notices, &notice->id, notice);
    }
  notice->incarnation = incarnation;
  notice->seen_at = now;
  return true;
}

void
fm_apply_leaving (fm_leaving_t *leaving, fw_member_t *member)
{
  notice_t *notice = g_hash_table_lookup (leaving->notices, &member->id);

  if (notice == NULL || notice->incarnation != member->incarnation || member->state == FW_DEAD)
    return;
  notice->seen_at = fb_read_clock (leaving->clock);
  member->state = FW_LEAVING;
}
