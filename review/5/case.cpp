// A faulty instance sends bytes that are not a response of the protocol: a status line and a
// body, with neither X-Attempt-Id nor X-Response-Signature.
#include "../harness/harness.hpp"
using namespace review;

constexpr int kAnswersPerSpoilt = 50; // x = 0.02
constexpr double kTroubleStart = 2000, kTroubleEnd = 7000, kEnd = 9000;

static std::mutex mutex_;
static long sent, whole, spoilt, unsigned_successes;

static bool
answer (Stream &stream, const Message &request, Instance &instance, const std::string &text)
{
  static std::atomic<int> count{ 0 };

  if (!has_trouble () || now_ms () < kTroubleStart || now_ms () > kTroubleEnd
      || ++count % kAnswersPerSpoilt != 0)
    return stream.send_all (text);
  record ("%s: spoils its answer to %s", instance.id ().c_str (),
          request.get ("x-attempt-id").c_str ());
  {
    std::lock_guard<std::mutex> lock (mutex_);
    spoilt++;
  }
  stream.send_all (
      "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\x01\x02\x03\x04\x05\x06\x07\x08");
  return false;
}

static void
run_client (int node)
{
  for (int i = 0; now_ms () < kEnd; i++)
    {
      bool pay = i % 2 != 0;
      std::string path
          = (pay ? "/pay/" : "/view/") + std::to_string (node) + "-" + std::to_string (i);
      Result result
          = call_node (node, pay ? "POST" : "GET", kHostName, path, pay ? "2.5 kg" : "", 500);
      bool success = result.status >= 200 && result.status < 300;
      std::string signature = result.answer.get ("x-response-signature");
      std::lock_guard<std::mutex> lock (mutex_);

      sent++;
      record ("client at node %d: %s %s -> %d, signature %s", node, result.attempt.c_str (),
              path.c_str (), result.status, signature.empty () ? "none" : signature.c_str ());
      if (success && !signature.empty ())
        whole++;
      if (success && signature.empty ())
        {
          unsigned_successes++;
          record ("MIXED: %s got a success without the instance's signature, %zu bytes",
                  result.attempt.c_str (), result.answer.body.size ());
        }
    }
}

int
main (int argc, char **argv)
{
  std::vector<std::thread> clients;

  begin_case (argc, argv);
  Store store;
  Instance shop1 (1, "i-1", "shop", 9, 10), shop2 (2, "i-2", "shop", 9, 10),
      shop3 (3, "i-3", "shop", 9, 10);
  Node node1 (1, "zone-a", "shop"), node2 (2, "zone-b", "shop"), node3 (3, "zone-a", "shop");

  shop1.set_answer (
      [&shop1] (Stream &stream, const Message &request, int, int, const std::string &text) {
        return answer (stream, request, shop1, text);
      });
  store.put ("op/config", make_config (1,
                                       { { "view", "/view/", "shop", true, 500, 200, 1, 2 },
                                         { "pay", "/pay/", "shop", false, 500, 200, 0, 2 } },
                                       { "shop" }));
  store.put (shop1.key (), shop1.entry ("ready"));
  store.put (shop2.key (), shop2.entry ("ready"));
  store.put (shop3.key (), shop3.entry ("ready"));
  node1.start ();
  node2.start ();
  node3.start ();
  if (!node1.wait_ready (15000) || !node2.wait_ready (15000) || !node3.wait_ready (15000))
    cannot_run ("the nodes are not ready");
  sleep_until_ms (1500);
  for (int i = 0; i < 9; i++)
    clients.emplace_back (run_client, 1 + i % 3);
  for (std::thread &client : clients)
    client.join ();
  printf ("sent=%ld whole=%ld spoilt=%ld successes without a signature=%ld\n", sent, whole,
          spoilt, unsigned_successes);
  record ("sent=%ld whole=%ld spoilt=%ld unsigned=%ld", sent, whole, spoilt,
          unsigned_successes);
  if (whole < sent / 2)
    cannot_run ("too few answers to judge");
  end_case (unsigned_successes > 0 ? kBroken : kHeld);
}
