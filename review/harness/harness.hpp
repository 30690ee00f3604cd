// Stand-ins for the platform's store, the instances and the clients, and control of the nodes.
// Nodes are processes of the deploy file; stand-ins are threads of the case's own process.
#pragma once
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr int kInboundPort = 8146;
constexpr int kOutboundPort = 8147;
constexpr int kReadyPort = 8141;
constexpr int kInstancePort = 8145;
constexpr int kStorePort = 8142;
constexpr int kStoreHost
    = 200; // last byte of the store's address; that of a node is its number

using Clock = std::chrono::steady_clock;

// Milliseconds since the start of the case.
double now_ms ();
void sleep_ms (double ms);
void sleep_until_ms (double at);

// Writes a line with the time to record.txt.
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

// Returns whether the case runs with its disruption (TROUBLE is not 0).
bool has_trouble ();

struct Message
{
  std::string first_line;                                    // request line or status line
  std::vector<std::pair<std::string, std::string> > headers; // names in lower case
  std::string body;

  std::string get (const std::string &name) const;
  std::string method () const;
  std::string path () const;
  int status () const;
};

enum class Read
{
  complete,
  closed,  // before the first byte
  partial, // ended in the message
  reset,
  timeout
};

// A connected socket with its unparsed input.
struct Stream
{
  int fd = -1;
  std::string input;

  explicit Stream (int descriptor) : fd (descriptor)
  {
  }
  Stream (const Stream &) = delete;
  ~Stream ();
  bool send_all (const std::string &text);
  // Reads a message; a response without a length ends with the connection.
  Read read (Message &message, bool is_response, double timeout_ms);
  // Returns whether the peer has closed the connection.
  bool is_closed_by_peer ();
};

int connect_to (const std::string &address, int port, double timeout_ms);

// The addresses of a case: a loopback network of its own whose ports are free.
std::string host_address (int number);

// Server that runs HANDLER in a thread for each connection.
class Server
{
public:
  using Handler = std::function<void (Stream &, int connection)>;
  Server (const std::string &address, int port, Handler handler);
  ~Server ();
  // Ends all connections and the listener.
  void stop ();

private:
  void accept_loop ();
  int listener_;
  Handler handler_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> active_{ 0 };
  std::mutex mutex_;
  std::set<int> open_;
  std::thread thread_;
};

// The platform's store: reads by key, by prefix and by watch, as PROTOCOL.md has them.
class Store
{
public:
  Store ();
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  // All connections that are open now get no further response, and are not reset; new ones
  // work.
  void silence_open_connections ();
  // Cuts the watches that wait now. Returns their number.
  int cut_watches ();
  // Returns whether COUNT watches wait, and all of them since less than MS.
  bool has_young_watches (size_t count, double ms);
  long
  reads () const
  {
    return reads_;
  }
  void stop ();

private:
  struct Item
  {
    std::string value; // base64
    long revision = 0;
    long created = 0;
    bool removed = false;
  };
  struct Watch
  {
    int fd;
    double started;
  };
  void serve (Stream &stream, int connection);
  bool handle (Stream &stream, int connection, const Message &request);
  bool respond (Stream &stream, int connection, int status, const std::string &body);
  std::string encode (const std::string &key, const Item &item) const;
  bool handle_watch (Stream &stream, int connection, std::map<std::string, std::string> &query);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<int, Watch> watches_; // by connection
  long revision_ = 100;
  int silent_below_ = 0; // connections below this number get no response
  int last_connection_ = 0;
  std::atomic<long> reads_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::unique_ptr<Server> server_;
};

// One run or refusal at an instance.
struct Arrival
{
  double at;
  std::string attempt;
  std::string method;
  std::string path;
  bool ran;
};

class Instance
{
public:
  // Writes the answer to REQUEST, the NUMBER-th of CONNECTION, which has run; returns whether
  // the connection is kept.
  using Answer = std::function<bool (Stream &, const Message &request, int connection,
                                     int number, const std::string &whole)>;
  Instance (int host, std::string id, std::string service, int slots, double service_ms);
  void
  set_answer (Answer answer)
  {
    answer_ = std::move (answer);
  }
  void set_header (const std::string &name, const std::string &value);
  std::string entry (const char *state) const;
  const std::string &
  id () const
  {
    return id_;
  }
  const std::string &
  key () const
  {
    return key_;
  }
  std::vector<Arrival> arrivals ();
  void
  stop ()
  {
    server_->stop ();
  }
  // Body and headers of the answer to REQUEST.
  std::string format_answer (const Message &request, bool with_length);
  static std::string body_of (const std::string &id, const Message &request);

private:
  void serve (Stream &stream, int connection);

  int host_;
  std::string id_, service_, key_;
  int slots_;
  double service_ms_;
  long long born_;
  std::mutex mutex_;
  std::map<std::string, std::string> headers_;
  std::vector<Arrival> arrivals_;
  int in_use_ = 0;
  Answer answer_;
  std::unique_ptr<Server> server_;
};

// A node: a process of the deploy file with settings of its own.
class Node
{
public:
  Node (int host, std::string zone, std::string service);
  ~Node ();
  void start ();
  void signal (int number);
  void wait_end ();
  bool is_running ();
  bool wait_ready (double timeout_ms);
  bool is_ready ();
  pid_t
  pid () const
  {
    return pid_;
  }
  std::string
  log_path () const
  {
    return folder_ + ".log";
  }

private:
  int host_;
  std::string zone_, service_, folder_;
  pid_t pid_ = -1;
};

struct Result
{
  std::string attempt;
  double sent_at = 0;
  double ended_at = 0;
  Read read = Read::closed;
  int status = 0;
  Message answer;
};

// Sends one request on STREAM and reads the answer.
Result call (Stream &stream, const std::string &method, const std::string &host,
             const std::string &path, const std::string &body, int deadline_ms);
// The same on a new connection to the Outbound address of node NUMBER.
Result call_node (int number, const std::string &method, const std::string &host,
                  const std::string &path, const std::string &body, int deadline_ms);

std::string new_attempt_id ();

struct Route
{
  std::string name, prefix, service;
  bool idempotent;
  int timeout_ms, target_ms, priority, max_attempts;
};

std::string make_config (int version, const std::vector<Route> &routes,
                         const std::vector<std::string> &services);

constexpr const char *kHostName = "shop.example";

// Prepares record.txt, temporary folder and addresses; exits with kCannotRun if it can't.
void begin_case (int argc, char **argv);
// Ends all nodes, removes the folder and ends the process.
[[noreturn]] void end_case (int code);
[[noreturn]] void cannot_run (const char *reason);

} // namespace review
