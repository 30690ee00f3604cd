/* Check of ranks, customers and objectives. */
#include "checker.h"
#include <string.h>

/* Number of orders that the schema allows. */
#define ORDERS_COUNT 100

/* Exceeds every rank index, so that each (service, rank) has its own number. */
#define PAIR_STRIDE ((size_t)1 << 20)

/* The floating-point sum of shares that add up to 1, such as 0.1 + 0.2 + 0.7, can exceed 1. */
#define SHARE_TOLERANCE 1e-9

typedef struct
{
  size_t first_by_order[ORDERS_COUNT]; /* 1 + index of the rank with this order; 0 for none */
  GHashTable *names;                   /* to index in the document */
  double share_sum;                    /* of the ranks checked so far */
} rank_check_t;

static void
check_rank (fc_checker_t *checker, rank_check_t *check, const fc_row_t *row, size_t index)
{
  fc_rank_t *rank = &checker->snapshot->ranks[index];
  double sum_before = check->share_sum;
  size_t earlier;

  fb_set_name (&rank->name, fc_get_value (row, "name")->text);
  rank->order = (uint32_t)fc_get_value (row, "order")->integer;
  rank->target_ms = (uint32_t)fc_get_value (row, "target_ms")->integer;
  rank->worth = fc_get_value (row, "worth")->number;
  rank->share = fc_get_value (row, "share")->number;
  if (rank->name.len > 0 && !fc_add_name (check->names, &rank->name, index, &earlier))
    fc_report_duplicate (checker, row, "name", "rank", earlier);
  if (fc_get_value (row, "order")->node)
    {
      if (check->first_by_order[rank->order])
        fc_report_duplicate (checker, row, "order", "rank",
                             check->first_by_order[rank->order] - 1);
      else
        check->first_by_order[rank->order] = index + 1;
    }
  check->share_sum += rank->share;
  if (sum_before <= 1 + SHARE_TOLERANCE && check->share_sum > 1 + SHARE_TOLERANCE)
    {
      char *found = g_strdup_printf ("a sum of %.10g up to this rank", check->share_sum);

      fc_add_key_problem (checker->problems, row, "share", found,
                          "a sum of at most 1 over all ranks");
      g_free (found);
    }
}

static int
compare_ranks (const void *a, const void *b)
{
  const fc_rank_t *left = a;
  const fc_rank_t *right = b;

  return left->order < right->order ? -1 : left->order > right->order;
}

void
fc_check_ranks (fc_checker_t *checker)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  rank_check_t check = { .names = fc_create_name_table () };
  const fc_toml_t *table = NULL;
  size_t index;
  size_t earlier;
  fc_row_t row;

  snapshot->rank_count = fc_count_rows (checker, "rank");
  snapshot->ranks = g_new0 (fc_rank_t, snapshot->rank_count);
  while (fc_next_row (checker, "rank", &table, &index, &row))
    check_rank (checker, &check, &row, index);
  g_hash_table_unref (check.names);
  if (snapshot->rank_count > 0)
    qsort (snapshot->ranks, snapshot->rank_count, sizeof *snapshot->ranks, compare_ranks);
  for (size_t i = 0; i < snapshot->rank_count; i++)
    if (snapshot->ranks[i].name.len > 0)
      fc_add_name (snapshot->rank_names, &snapshot->ranks[i].name, i, &earlier);
}

void
fc_check_customers (fc_checker_t *checker)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  const fc_toml_t *table = NULL;
  size_t index;
  size_t earlier;
  fc_row_t row;

  snapshot->customer_count = fc_count_rows (checker, "customer");
  snapshot->customers = g_new0 (fc_customer_t, snapshot->customer_count);
  while (fc_next_row (checker, "customer", &table, &index, &row))
    {
      fc_customer_t *customer = &snapshot->customers[index];

      fb_set_name (&customer->name, fc_get_value (&row, "name")->text);
      customer->weight = fc_get_value (&row, "weight")->number;
      if (customer->name.len > 0
          && !fc_add_name (snapshot->customer_names, &customer->name, index, &earlier))
        fc_report_duplicate (checker, &row, "name", "customer", earlier);
    }
}

/* Reports a second objective of a service and rank; PAIRS maps a pair to 1 + index. */
static void
check_unique_pair (fc_checker_t *checker, const fc_row_t *row, size_t index, GHashTable *pairs)
{
  const fc_objective_t *objective = &checker->snapshot->objectives[index];
  size_t pair = (size_t)objective->service * PAIR_STRIDE + objective->rank;
  gpointer earlier = g_hash_table_lookup (pairs, GSIZE_TO_POINTER (pair));
  char *found;

  if (!fc_get_value (row, "service")->node || !fc_get_value (row, "rank")->node)
    return;
  if (!earlier)
    {
      g_hash_table_insert (pairs, GSIZE_TO_POINTER (pair), GSIZE_TO_POINTER (index + 1));
      return;
    }
  found = g_strdup_printf ("the service and rank of objective[%zu]",
                           GPOINTER_TO_SIZE (earlier) - 1);
  fc_add_key_problem (checker->problems, row, "service", found,
                      "one [[objective]] for each service and rank");
  g_free (found);
}

void
fc_check_objectives (fc_checker_t *checker)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  GHashTable *pairs = g_hash_table_new (NULL, NULL);
  const fc_toml_t *table = NULL;
  size_t index;
  fc_row_t row;

  snapshot->objective_count = fc_count_rows (checker, "objective");
  snapshot->objectives = g_new0 (fc_objective_t, snapshot->objective_count);
  while (fc_next_row (checker, "objective", &table, &index, &row))
    {
      fc_objective_t *objective = &snapshot->objectives[index];
      size_t problems_before = fc_count_problems (checker->problems);

      objective->service = fc_resolve_name (checker, &row, "service", snapshot->service_names);
      objective->rank = fc_resolve_name (checker, &row, "rank", snapshot->rank_names);
      objective->target_ms = (uint32_t)fc_get_value (&row, "target_ms")->integer;
      objective->ratio = fc_get_value (&row, "ratio")->number;
      if (fc_count_problems (checker->problems) == problems_before)
        check_unique_pair (checker, &row, index, pairs);
    }
  g_hash_table_unref (pairs);
}
