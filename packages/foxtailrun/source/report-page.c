/* The burn report as a self-contained HTML page. */
#include "report-burn.h"

/* Dimensions of the plots in units of the view box. */
#define PLOT_WIDTH 320
#define PLOT_BASELINE_Y 120 /* y of burn rate 0 */
#define PLOT_HEIGHT 100
#define BAR_WIDTH 44

/* The policy keeps mail readers from loading resources or running scripts, even if a name has
 * markup. */
static const char page_head[]
    = "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
      "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; "
      "style-src 'unsafe-inline'\">\n"
      "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n"
      "<title>Service-level burn</title>\n<style>\n"
      "body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:1em;max-width:46em;"
      "color:#1a1a1a;background:#fff}\n"
      "section{border-top:1px solid #ccc;padding:.5em 0}\n"
      "h2{font-size:1.1em;overflow-wrap:anywhere}\n"
      "table{border-collapse:collapse;width:100%}\n"
      "th,td{text-align:left;padding:.15em .5em .15em 0;overflow-wrap:anywhere}\n"
      "svg{display:block;width:100%;max-width:30em;height:auto}\n"
      "svg text{font:12px system-ui,sans-serif}\n"
      ".page{background:#b3261e;color:#fff}.ticket{background:#f2b84b}\n"
      ".page,.ticket{padding:0 .4em;border-radius:.2em}\n"
      "</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n";

/* Appends TEXT, escaped for HTML. Invalid UTF-8, as in a name truncated within a character, is
 * replaced first: escaping needs valid UTF-8. */
static void
append_escaped (GString *page, const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  char *escaped = g_markup_escape_text (valid, -1);

  g_string_append (page, escaped);
  g_free (escaped);
  g_free (valid);
}

/* Returns the burn rate that WINDOW must reach for an alert. */
static double
get_alert_threshold (int window)
{
  return window == FS_WINDOW_5M || window == FS_WINDOW_1H ? FS_PAGE_BURN_RATE
                                                          : FS_TICKET_BURN_RATE;
}

static void
append_rate_plot (GString *page, const fs_objective_counts_t *objective_counts)
{
  double scale_max = FS_PAGE_BURN_RATE * 1.25;

  g_string_append_printf (page,
                          "<svg viewBox=\"0 0 %d 145\" role=\"img\" "
                          "aria-label=\"Burn rate by window\">\n",
                          PLOT_WIDTH);
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    scale_max = MAX (scale_max, fs_compute_burn_rate (&objective_counts->windows[window],
                                                      objective_counts->objective.ratio));
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    {
      double rate = fs_compute_burn_rate (&objective_counts->windows[window],
                                          objective_counts->objective.ratio);
      double threshold = get_alert_threshold (window);
      double height = rate / scale_max * PLOT_HEIGHT;
      double threshold_y = PLOT_BASELINE_Y - threshold / scale_max * PLOT_HEIGHT;
      int x = window * PLOT_WIDTH / FS_WINDOW_COUNT + 18;
      char *text = burn_format_rate (objective_counts, (fs_window_t)window);

      g_string_append_printf (
          page,
          "<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" fill=\"%s\"/>\n"
          "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#1a1a1a\" "
          "stroke-dasharray=\"4 3\"/>\n"
          "<text x=\"%d\" y=\"%.1f\" text-anchor=\"middle\">%s</text>\n"
          "<text x=\"%d\" y=\"138\" text-anchor=\"middle\">%s</text>\n",
          x, PLOT_BASELINE_Y - height, BAR_WIDTH, height,
          rate >= threshold ? "#b3261e" : "#4a7fb5", x - 8, x + BAR_WIDTH + 8, threshold_y,
          threshold_y, x + BAR_WIDTH / 2, PLOT_BASELINE_Y - height - 4, text, x + BAR_WIDTH / 2,
          fs_describe_window ((fs_window_t)window));
      g_free (text);
    }
  g_string_append_printf (page,
                          "<line x1=\"0\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#888\"/>\n"
                          "</svg>\n",
                          PLOT_WIDTH, PLOT_BASELINE_Y, PLOT_BASELINE_Y);
}

static void
append_cause_plot (GString *page, const fs_counts_t *counts)
{
  uint64_t bad = fs_count_bad (counts);

  if (bad == 0)
    {
      g_string_append (page, "<p>No bad call in the longest window.</p>\n");
      return;
    }
  g_string_append_printf (page,
                          "<svg viewBox=\"0 0 %d 84\" role=\"img\" "
                          "aria-label=\"Bad calls by cause\">\n",
                          PLOT_WIDTH);
  for (int cause = FS_GOOD + 1; cause < FS_CAUSE_COUNT; cause++)
    {
      double fraction = (double)counts->calls[cause] / (double)bad;
      int y = (cause - 1) * 20 + 4;

      g_string_append_printf (
          page,
          "<text x=\"0\" y=\"%d\">%s</text>\n"
          "<rect x=\"64\" y=\"%d\" width=\"%.1f\" height=\"14\" fill=\"#c77b30\"/>\n"
          "<text x=\"%.1f\" y=\"%d\">%" G_GUINT64_FORMAT "</text>\n",
          y + 11, fs_describe_cause ((fs_cause_t)cause), y, fraction * 170, 70 + fraction * 170,
          y + 11, counts->calls[cause]);
    }
  g_string_append (page, "</svg>\n");
}

static void
append_groups (GString *page, const char *title, const GArray *groups)
{
  g_string_append_printf (page, "<table><tr><th>%s</th><th>bad calls</th><th>calls</th></tr>\n",
                          title);
  for (guint i = 0; i < groups->len && i < BURN_GROUPS_SHOWN_MAX; i++)
    {
      const burn_group_t *group = &g_array_index (groups, burn_group_t, i);

      g_string_append (page, "<tr><td>");
      append_escaped (page, group->name.data);
      g_string_append_printf (
          page, "</td><td>%" G_GUINT64_FORMAT "</td><td>%" G_GUINT64_FORMAT "</td></tr>\n",
          group->bad, group->calls);
    }
  g_string_append (page, "</table>\n");
}

static void
append_row (GString *page, const burn_row_t *row)
{
  const fs_objective_counts_t *objective_counts = &row->objective_counts;
  const fs_counts_t *longest = &objective_counts->windows[FS_WINDOW_LONGEST];
  fs_alert_t alert = fs_evaluate_alert (objective_counts);
  char *budget = burn_format_budget (objective_counts);
  char *reach = burn_format_reach (longest);

  g_string_append (page, "<section>\n<h2>");
  append_escaped (page, objective_counts->objective.service.data);
  g_string_append (page, " / ");
  append_escaped (page, objective_counts->objective.rank.data);
  if (alert != FS_ALERT_NONE)
    g_string_append_printf (page, " <span class=\"%s\">%s</span>", fs_describe_alert (alert),
                            fs_describe_alert (alert));
  g_string_append_printf (
      page,
      "</h2>\n<p>Objective: %.6g of the calls answered within %u ms. Budget "
      "left in the longest window: <strong>",
      objective_counts->objective.ratio, objective_counts->objective.target_ms);
  append_escaped (page, budget);
  g_string_append_printf (page, "</strong>. Counts go back %s.</p>\n<h3>Burn rate</h3>\n",
                          reach);
  append_rate_plot (page, objective_counts);
  g_string_append (page, "<h3>Bad calls by cause</h3>\n");
  append_cause_plot (page, longest);
  if (row->nodes->len > 0)
    {
      append_groups (page, "zone", row->zones);
      append_groups (page, "node", row->nodes);
    }
  g_string_append (page, "</section>\n");
  g_free (reach);
  g_free (budget);
}

static void
append_unanswered (GString *page, const burn_report_t *report)
{
  g_string_append (page, "<ul>\n");
  for (guint i = 0; i < report->nodes->len; i++)
    {
      const burn_node_t *node = &g_array_index (report->nodes, burn_node_t, i);

      if (node->answered)
        continue;
      g_string_append (page, "<li>No answer: ");
      append_escaped (page, node->id.data);
      g_string_append (page, " in ");
      append_escaped (page, node->zone.data);
      g_string_append (page, ", ");
      append_escaped (page, node->state.data);
      g_string_append (page, "</li>\n");
    }
  g_string_append (page, "</ul>\n");
}

char *
burn_format_page (const burn_report_t *report, const char *created)
{
  GString *page = g_string_new (page_head);
  size_t answered = burn_count_responses (report);

  g_string_append (page, "<p>Taken ");
  append_escaped (page, created);
  g_string_append_printf (page,
                          ". %zu of %u nodes answered. A rate of 1 uses up the budget exactly; "
                          "a dashed line marks the rate at which a window supports an "
                          "alert.</p>\n",
                          answered, report->nodes->len);
  if (answered < report->nodes->len)
    append_unanswered (page, report);
  if (report->rows->len == 0)
    g_string_append (page, "<p>No objectives.</p>\n");
  for (guint i = 0; i < report->rows->len; i++)
    append_row (page, report->rows->pdata[i]);
  g_string_append (page, "</body>\n</html>\n");
  return g_string_free (page, FALSE);
}
