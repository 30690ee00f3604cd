// The open connections to the store go silent, new ones work. Then an instance leaves: it never
// reports "draining", its entry is removed, and it goes on serving for some seconds.
#include "../harness/harness.hpp"
using namespace review;

constexpr double kStability = 3000, kDrain = 2500; // StabilityMs, DrainMs
constexpr double kMargin = 100;                    // past the end of the excuse
constexpr double kServesOn = 6000; // of the instance, after its entry was removed

static std::atomic<bool> stopping{ false };
static std::mutex mutex_;
static std::map<std::string, std::pair<double, int> > sent; // time and node, by attempt
static std::map<int, long> answered;

static void
run_client (int node)
{
  for (int i = 0; !stopping; i++)
    {
      std::string path = "/view/" + std::to_string (node) + "-" + std::to_string (i);
      double before = now_ms ();
      Result result = call_node (node, "GET", kHostName, path, "", 500);
      std::lock_guard<std::mutex> lock (mutex_);

      sent[result.attempt] = { before, node };
      answered[result.status]++;
      record ("client at node %d: sent %s at %.1f -> %d %s", node, result.attempt.c_str (),
              before, result.status, result.answer.body.c_str ());
      sleep_ms (10);
    }
}

int
main (int argc, char **argv)
{
  std::vector<std::thread> clients;
  double silent_at, removed_at;
  long counted = 0;
  double last = 0;

  begin_case (argc, argv);
  Store store;
  Instance shop1 (1, "i-1", "shop", 9, 10), shop2 (2, "i-2", "shop", 9, 10);
  Node node1 (1, "zone-a", "shop"), node2 (2, "zone-b", "shop");

  store.put (
      "op/config",
      make_config (1, { { "view", "/view/", "shop", true, 500, 200, 1, 2 } }, { "shop" }));
  store.put (shop1.key (), shop1.entry ("ready"));
  store.put (shop2.key (), shop2.entry ("ready"));
  node1.start ();
  node2.start ();
  if (!node1.wait_ready (15000) || !node2.wait_ready (15000))
    cannot_run ("the nodes are not ready");
  for (int i = 0; i < 4; i++)
    clients.emplace_back (run_client, 1 + i % 2);
  sleep_ms (5000);
  // Any moment does at which the nodes' reads, of two seconds, have just begun.
  for (double limit = now_ms () + 15000; !store.has_young_watches (2, 1050); sleep_ms (5))
    if (now_ms () > limit)
      cannot_run ("the nodes do not watch the store");
  silent_at = now_ms ();
  if (has_trouble ())
    store.silence_open_connections ();
  sleep_ms (200);
  store.remove (shop1.key ());
  removed_at = now_ms ();
  sleep_until_ms (removed_at + kServesOn);
  stopping = true;
  for (std::thread &client : clients)
    client.join ();
  for (const Arrival &arrival : shop1.arrivals ())
    {
      auto request = sent.find (arrival.attempt);

      if (!arrival.ran || request == sent.end () || arrival.at <= removed_at + kDrain
          || request->second.first < silent_at + kStability + kMargin)
        continue;
      counted++;
      last = std::max (last, arrival.at);
      record (
          "DRAIN: %s, sent at %.1f to node %d, reached i-1 at %.1f, %.0f ms after its entry "
          "was removed and %.0f ms after the connections went silent",
          arrival.attempt.c_str (), request->second.first, request->second.second, arrival.at,
          arrival.at - removed_at, arrival.at - silent_at);
    }
  printf (
      "requests=%zu answered with 200=%ld, past the bound at the instance that left=%ld, the "
      "last %.0f ms after its removal\n",
      sent.size (), answered[200], counted, counted ? last - removed_at : 0);
  record ("requests=%zu past the bound=%ld", sent.size (), counted);
  if (answered[200] < (long)sent.size () / 2)
    cannot_run ("too few answers to judge");
  end_case (counted > 0 ? kBroken : kHeld);
}
