// One request with a header of 20 KB, within the operator's MaxHeaderBytes, beside requests on
// kept connections.
#include "../harness/harness.hpp"
using namespace review;

constexpr double kStart = 2000, kEnd = 12000;
constexpr size_t kHeaderBytes = 20000;
constexpr int kHeaderLimit = 65536; // MaxHeaderBytes
constexpr long kAllowed = 3;        // of the rule LOST

static std::mutex mutex_;
static long sent, answered, cut, long_sent, long_answered;
static std::vector<std::string> cut_attempts;

// Sends requests on kept connections; counts those whose connection ends without an answer.
static void
run_client (int node)
{
  std::unique_ptr<Stream> stream;

  for (int i = 0; now_ms () < kEnd; i++)
    {
      std::string path = "/view/" + std::to_string (node) + "-" + std::to_string (i);
      bool kept = stream != nullptr;
      Result result;

      if (!kept)
        {
          int fd = connect_to (host_address (node), kOutboundPort, 1000);

          if (fd < 0)
            {
              sleep_ms (50);
              continue;
            }
          stream.reset (new Stream (fd));
        }
      result = call (*stream, "GET", kHostName, path, "", 500);
      if (result.read != Read::complete || result.answer.get ("connection") == "close")
        stream.reset ();
      std::lock_guard<std::mutex> lock (mutex_);
      record ("client at node %d: %s %s on a %s connection -> %d%s", node,
              result.attempt.c_str (), path.c_str (), kept ? "kept" : "new", result.status,
              result.read == Read::complete ? "" : ", no answer");
      sent++;
      if (result.read == Read::complete)
        answered++;
      else if (kept && result.read != Read::timeout)
        cut_attempts.push_back (result.attempt);
    }
}

static void
send_long_request (int node, size_t header_bytes)
{
  std::string id = new_attempt_id ();
  int fd = connect_to (host_address (node), kOutboundPort, 1000);
  Message answer;

  if (fd < 0)
    return;
  Stream stream (fd);
  stream.send_all ("GET /view/long HTTP/1.1\r\nHost: " + std::string (kHostName)
                   + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 500\r\nCookie: "
                   + std::string (header_bytes, 'c') + "\r\n\r\n");
  Read read = stream.read (answer, true, 1500);
  record ("client at node %d: %s with a header of %zu bytes -> %d%s", node, id.c_str (),
          header_bytes, answer.status (), read == Read::complete ? "" : ", no answer");
  long_sent++;
  long_answered += read == Read::complete;
}

int
main (int argc, char **argv)
{
  std::vector<std::thread> clients;
  std::vector<Route> routes = { { "view", "/view/", "shop", true, 500, 200, 1, 2 } };
  std::string config;
  int ends = 0;

  begin_case (argc, argv);
  Store store;
  Instance shop1 (1, "i-1", "shop", 9, 60), shop2 (2, "i-2", "shop", 9, 60);
  Node node1 (1, "zone-a", "shop"), node2 (2, "zone-b", "shop");

  config = make_config (1, routes, { "shop" });
  config.replace (config.find ("16384"), 5, std::to_string (kHeaderLimit));
  store.put ("op/config", config);
  store.put (shop1.key (), shop1.entry ("ready"));
  store.put (shop2.key (), shop2.entry ("ready"));
  node1.start ();
  node2.start ();
  if (!node1.wait_ready (15000) || !node2.wait_ready (15000))
    cannot_run ("the nodes are not ready");
  for (int i = 0; i < 8; i++)
    clients.emplace_back (run_client, 1 + i % 2);
  sleep_until_ms (std::max (now_ms () + 1000, kStart));
  for (int i = 0; i < 6; i++)
    {
      send_long_request (1 + i % 2, has_trouble () ? kHeaderBytes : 8000);
      sleep_ms (500);
      for (Node *node : { &node1, &node2 })
        if (!node->is_running ())
          {
            ends++;
            node->start ();
          }
    }
  for (std::thread &client : clients)
    client.join ();
  for (const std::string &attempt : cut_attempts)
    for (Instance *instance : { &shop1, &shop2 })
      for (const Arrival &arrival : instance->arrivals ())
        if (arrival.attempt == attempt && arrival.ran)
          {
            cut++;
            record ("LOST: %s reached %s from a kept connection, which was closed without an "
                    "answer",
                    attempt.c_str (), instance->id ().c_str ());
          }
  printf ("requests=%ld answered=%ld cut after they were passed on=%ld; long requests=%ld "
          "answered=%ld; processes that ended by themselves=%d\n",
          sent, answered, cut, long_sent, long_answered, ends);
  record ("requests=%ld answered=%ld cut=%ld ends=%d", sent, answered, cut, ends);
  if (answered < sent / 2)
    cannot_run ("too few answers to judge");
  end_case (cut > kAllowed ? kBroken : kHeld);
}
