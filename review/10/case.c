/* Clients send idempotent requests behind one another on kept connections; the answer to the
 * first has no length. */
#include "../rig-2/rig.h"
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 4
#define ENTRY 0
#define CLIENTS 6
#define BEHIND 2 /* requests behind the first one */
#define DEADLINE_MS 4000
#define CLOSES_ALLOWED 3

typedef struct
{
  char id[32];
  bool ran;
  bool answered;
} request_t;

typedef struct
{
  request_t requests[1 + BEHIND];
  bool ready;
  bool first_whole;
  bool ended_by_node; /* before the deadline of the requests */
  pthread_t thread;
} client_t;

static client_t clients[CLIENTS];

static request_t *
find_request (const char *id)
{
  for (int i = 0; i < CLIENTS; i++)
    for (int k = 0; k <= BEHIND; k++)
      if (strcmp (clients[i].requests[k].id, id) == 0)
        return &clients[i].requests[k];
  return NULL;
}

static bool
work (rig_instance_t *instance, int fd, const rig_request_t *request)
{
  request_t *known = find_request (request->id);
  bool is_first = strncmp (request->path, "/rates/first", 12) == 0;

  if (known)
    known->ran = true;
  rig_sleep (is_first ? 100 : 400);
  return rig_answer (fd, 200, instance, request, "rates\n", 6,
                     !(is_first && rig_has_trouble ()));
}

/* Reads the answers to COUNT framed requests in their order, or one that ends with the
 * connection. */
static void
read_answers (int fd, client_t *client)
{
  static const size_t size = 64 * 1024;
  char *bytes = calloc (1, size + 1);
  size_t length = 0;
  int64_t until = rig_now () + DEADLINE_MS;
  bool ended = false;

  while (!ended && length < size && rig_now () < until)
    {
      int all = 0;
      ssize_t got = rig_read_some (fd, bytes + length, size - length, until - rig_now ());

      if (got < 0)
        break;
      ended = got == 0;
      length += (size_t)got;
      for (int k = 0; k <= BEHIND; k++)
        all += strstr (bytes, client->requests[k].id) != NULL;
      if (all == 1 + BEHIND && length > 6 && strcmp (bytes + length - 6, "rates\n") == 0)
        break;
    }
  client->ended_by_node = ended;
  for (int k = 0; k <= BEHIND; k++)
    {
      const char *head = strstr (bytes, client->requests[k].id);

      client->requests[k].answered = head && strstr (head, "rates\n");
    }
  client->first_whole = client->requests[0].answered;
  free (bytes);
}

static void *
run_client (void *data)
{
  client_t *client = data;
  rig_answer_t first = { 0 };
  char first_id[32];
  int fd = rig_connect (ENTRY, 0, 0);

  rig_make_id (first_id);
  if (fd >= 0 && rig_send_request (fd, "GET", "/rates/list", first_id, 1000, NULL, 0))
    rig_read_answer (fd, &first, 2000, 0);
  client->ready = first.status == 200 && first.complete && !first.closes;
  free (first.body);
  if (!client->ready)
    return NULL;
  for (int k = 0; k <= BEHIND; k++)
    {
      rig_record ("client: sends GET /rates/%s id %s", k == 0 ? "first" : "next",
                  client->requests[k].id);
      rig_send_request (fd, "GET", k == 0 ? "/rates/first" : "/rates/next",
                        client->requests[k].id, DEADLINE_MS, NULL, 0);
    }
  read_answers (fd, client);
  for (int k = 0; k <= BEHIND; k++)
    rig_record ("client: id %s %s%s", client->requests[k].id,
                client->requests[k].answered ? "answered" : "not answered",
                client->ended_by_node ? ", the node has closed the connection" : "");
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const services[] = { "rates" };
  rig_config_t config;
  int lost = 0, answered = 0;

  rig_open (argc > 1 ? argv[1] : "record.txt", NODES);
  for (int i = 0; i < CLIENTS; i++)
    for (int k = 0; k <= BEHIND; k++)
      rig_make_id (clients[i].requests[k].id);
  rig_start_store ();
  rig_config_begin (&config, 7);
  rig_config_route (&config, "r-rates", "/rates/", "rates", true, DEADLINE_MS, 600, 2);
  rig_put ("op/config", rig_config_end (&config, services, 1));
  for (int i = 0; i < NODES; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "i-%d", i + 1);
      rig_start_instance (i, id, "rates", 12, work);
    }
  for (int i = 0; i < NODES; i++)
    rig_start_node (i);
  for (int i = 0; i < NODES; i++)
    if (!rig_wait_ready (i, 10000))
      rig_finish (2);
  rig_sleep (4000); /* StabilityMs */
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i].thread, NULL, run_client, &clients[i]);
  for (int i = 0; i < CLIENTS; i++)
    {
      pthread_join (clients[i].thread, NULL);
      if (!clients[i].ready || !clients[i].first_whole)
        rig_finish (2);
      for (int k = 0; k <= BEHIND; k++)
        {
          const request_t *request = &clients[i].requests[k];

          answered += request->answered;
          lost += request->ran && !request->answered && clients[i].ended_by_node;
        }
    }
  rig_record (
      "%d requests: %d answered, %d passed on to an instance and closed without an answer (allowed: %d)",
      CLIENTS * (1 + BEHIND), answered, lost, CLOSES_ALLOWED);
  if (!rig_has_trouble () && answered < CLIENTS * (1 + BEHIND))
    rig_finish (2);
  rig_finish (lost > CLOSES_ALLOWED);
}
